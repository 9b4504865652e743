package lockstep

import (
	"context"
	"errors"
	"fmt"

	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// secondHolder is the rank that holds a step in addition to the holder while ranks are
// disarmed.
func (s *Switcher) secondHolder() int { return min(2, s.Group.Size-1) }

// ReleaseHolds lifts holds that no switch needs any more. It first disarms all ranks under a
// higher fencing number, which invalidates arm orders in flight. It leaves a group without
// holds alone: either all of its ranks are armed, or none.
func (s *Switcher) ReleaseHolds(ctx context.Context) error {
	for {
		err := s.releaseOnce(ctx)
		// The fencing numbers of another agent are unknown and may be higher. Each refusal
		// doubles this agent's number, so a few attempts suffice.
		if err == nil || !s.fenced.Load() || !pauses.Sleep(ctx, s.Settings.SwitchPollInterval) {
			return err
		}
	}
}

func (s *Switcher) releaseOnce(ctx context.Context) error {
	reports, err := s.pollReports(ctx)
	if err != nil {
		return err
	}

	s.RaiseFence(highestVersion(reports))

	fence := s.nextFence()

	step, held := heldStep(reports)
	if !held {
		// An unanswered hold order may still be in flight.
		s.orderWithRetry(ctx, s.holder(), s.order(wire.EngineOrderKind_EngineOrderGo, fence, 0, reports[0].Step), maxOrderAttempts)

		return nil
	}

	if err := s.holdAtTwoRanks(ctx, fence, step); err != nil {
		return err
	}

	if err := s.disarmAll(ctx, fence, reports); err != nil {
		return err
	}

	if err := s.supersede(ctx, fence, reports); err != nil {
		return err
	}

	s.Logger.Warn("Lifting the hold of a step that no switch needs.", "step", step, "fence", fence)

	for rank := range reports {
		if rank != s.holder() && rank != s.secondHolder() && !reports[rank].Holds {
			continue
		}

		if err := s.liftHold(ctx, rank, fence, step); err != nil {
			return err
		}
	}

	return nil
}

// holdAtTwoRanks makes two ranks hold the step. The predecessor may have sent the order to lift
// the hold just before it died. If that order is still in flight, the step could otherwise
// begin while only some ranks are disarmed.
func (s *Switcher) holdAtTwoRanks(ctx context.Context, fence, step uint64) error {
	for _, rank := range []int{s.secondHolder(), s.holder()} {
		if result := s.orderWithRetry(ctx, rank, s.order(wire.EngineOrderKind_EngineOrderHold, fence, 0, step), maxOrderAttempts); result != wire.EngineResult_EngineDone {
			return fmt.Errorf("%w: hold order to rank %d: %s", errNotReleased, rank, result)
		}

		poll, err := s.Group.Poll(ctx, rank, PollRequest{})
		if err != nil {
			return err
		}

		if r := poll.Report; !r.Holds || r.Held != step || r.Step >= step {
			return fmt.Errorf("%w: rank %d does not hold the step: %+v", errNotReleased, rank, r)
		}
	}

	return nil
}

// disarmAll disarms all ranks and verifies that none is armed.
func (s *Switcher) disarmAll(ctx context.Context, fence uint64, reports []Report) error {
	disarm := func(rank int) *wire.EngineOrder {
		// A rank that is not armed receives the order only for its fencing number, with a
		// version that it does not have.
		version := reports[rank].Armed
		if version == 0 {
			version = max(reports[rank].Map, reports[rank].Prepared) + 1
		}

		return s.order(wire.EngineOrderKind_EngineOrderDisarm, fence, version, 0)
	}

	ctx, cancel := context.WithTimeout(ctx, s.Settings.GoTimeout)
	defer cancel()

	if err := s.orderAll(ctx, errNotReleased, disarm, nil); err != nil {
		return err
	}

	reportsAfter, err := s.pollReports(ctx)
	if err != nil {
		return err
	}

	for i := range reportsAfter {
		if reportsAfter[i].Armed != 0 {
			return fmt.Errorf("%w: rank %d is still armed", errNotReleased, i)
		}
	}

	return nil
}

// heldStep returns the step that some rank holds, if any.
func heldStep(reports []Report) (uint64, bool) {
	for i := range reports {
		if reports[i].Holds {
			return reports[i].Held, true
		}
	}

	return 0, false
}

func highestVersion(reports []Report) uint64 {
	highest := uint64(0)
	for i := range reports {
		highest = max(highest, reports[i].Map, reports[i].Prepared, reports[i].Armed)
	}

	return highest
}

// supersede makes all ranks prepare their current map under a later version, which copies
// nothing. If an engine accepted an arm order before it received the higher fencing number and
// carries it out later, it no longer finds that version prepared.
func (s *Switcher) supersede(ctx context.Context, fence uint64, reports []Report) error {
	polls, err := s.PollAll(ctx, PollRequest{Experts: true})
	if err != nil {
		return err
	}

	version := newVersion(highestVersion(reports), supersedeGenerations)
	m, err := mapFromPolls(polls)
	if err != nil {
		return err
	}

	if err := s.prepare(ctx, fence, version, m); err != nil {
		return errors.Join(errNotReleased, err)
	}

	return nil
}

// supersedeGenerations is the increase of the version. It skips versions that were prepared at
// only some of the ranks.
const supersedeGenerations = 16
