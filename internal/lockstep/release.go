package lockstep

import (
	"context"
	"errors"
	"fmt"

	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// secondHolder is the rank that holds a step beside the holder while ranks are disarmed.
func (s *Switcher) secondHolder() int { return min(2, s.Group.Size-1) }

// ReleaseHolds lifts holds that no switch needs any more. Before that, all ranks are
// disarmed under a higher fencing number, so that arms on their way no longer
// count. A group that is not held is left alone: its ranks are all armed, or none.
func (s *Switcher) ReleaseHolds(ctx context.Context) error {
	for {
		err := s.releaseOnce(ctx)
		// Another agent's numbers may be higher than can be known. Each refusal
		// doubles them, so a few tries are enough.
		if err == nil || !s.fenced.Load() || !pauses.For(ctx, s.Settings.SwitchPollInterval) {
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
		// A hold that nobody answered may still be on its way.
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

	s.Logger.Warn("Hold lifted.", "step", step, "fence", fence)

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

// holdAtTwoRanks lets two ranks hold the step. The predecessor may have let the holder go
// on just before it died, and that order may still be on its way: the step would
// begin while some ranks are disarmed and others are not.
func (s *Switcher) holdAtTwoRanks(ctx context.Context, fence, step uint64) error {
	for _, rank := range []int{s.secondHolder(), s.holder()} {
		if result := s.orderWithRetry(ctx, rank, s.order(wire.EngineOrderKind_EngineOrderHold, fence, 0, step), maxOrderAttempts); result != wire.EngineResult_EngineDone {
			return fmt.Errorf("%w: rank %d: %s", errNotReleased, rank, result)
		}

		poll, err := s.Group.Poll(ctx, rank, PollRequest{})
		if err != nil {
			return err
		}

		if r := poll.Report; !r.Holds || r.Held != step || r.Step >= step {
			return fmt.Errorf("%w: rank %d: %+v", errNotReleased, rank, r)
		}
	}

	return nil
}

// disarmAll disarms all ranks and sees that none is armed.
func (s *Switcher) disarmAll(ctx context.Context, fence uint64, reports []Report) error {
	disarm := func(rank int) *wire.EngineOrder {
		// A rank that is not armed is given the order for its fencing number alone,
		// and for a version that it cannot use.
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
			return fmt.Errorf("%w: rank %d is armed", errNotReleased, i)
		}
	}

	return nil
}

// heldStep returns the step that some rank holds.
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

// supersede lets all ranks prepare a later version of the map that they use, which
// copies nothing. An arm on its way that an engine took in before it saw the higher
// fencing number, and carries out later, then no longer finds its version prepared.
func (s *Switcher) supersede(ctx context.Context, fence uint64, reports []Report) error {
	polls, err := s.PollAll(ctx, PollRequest{Experts: true})
	if err != nil {
		return err
	}

	version := highestVersion(reports) + supersedeVersionGap
	m, err := mapFromPolls(polls)
	if err != nil {
		return err
	}

	if err := s.prepare(ctx, fence, version, m); err != nil {
		return errors.Join(errNotReleased, err)
	}

	return nil
}

// supersedeVersionGap is how far the version goes up: a rank may have had some that were
// prepared at others only.
const supersedeVersionGap = 16
