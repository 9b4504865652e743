package lockstep

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/parsleygate/parsleygate/internal/latency"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Switcher switches a group from one map to another. The points of a switch, and
// what an agent that starts anew finds and does at each:
//
//	prepared at some ranks   nothing is armed or held: nothing to do
//	held, none or some armed the hold keeps the step from beginning: hold it at a
//	                         second rank, disarm all, then let both go on
//	held, all armed          the same
//	go on its way            the same: the second hold outlasts it
//	go carried out           not held: all ranks switch by themselves
//
// Ranks are armed only while the holding rank holds the step of the switch, and the hold is
// lifted only where every rank was seen armed, or every rank was seen disarmed
// under a higher fencing number. So no step begins with two maps, whoever dies.
type Switcher struct {
	Group    GroupClient
	Settings Settings
	Logger   *slog.Logger

	fence uint64
	// stepClock is when steps begin, commits how long it takes from the order to hold a step
	// until it is known not to be held any more.
	stepClock   stepClock
	commitTimes latency.Estimator
	// pollTimes is how long a look at a rank takes, unseen how many looks in a row most ranks
	// did not answer in time.
	pollTimes    latency.Estimator
	missedRounds int
	// answerTimes is how soon single ranks answer orders, spread how soon those that are
	// brought to many of them are answered.
	answerTimes answerTimes
	fanOutTimes answerTimes
	// fenced is set once an engine refused a fencing number as too low.
	fenced atomic.Bool
}

// Errors of a switch that did not come about. Nothing has changed then.
var (
	errMissingAnswers = errors.New("lockstep: not all ranks answered")
	errNotReady       = errors.New("lockstep: the ranks are not ready for a switch")
	errPrepare        = errors.New("lockstep: not all ranks have the experts")
	errHold           = errors.New("lockstep: the step could not be held")
	errArm            = errors.New("lockstep: not all ranks are armed")
	errNotReleased    = errors.New("lockstep: a hold is not lifted yet")
)

// Switch brings m, as version, to all ranks and switches them in one step.
func (s *Switcher) Switch(ctx context.Context, version uint64, m Map) error {
	fence := s.nextFence()

	reports, err := s.pollReports(ctx)
	if err != nil {
		return err
	}

	if err := checkReady(reports); err != nil {
		return err
	}

	err = s.prepare(ctx, fence, version, m)
	if err != nil && s.fenced.Load() {
		fence = s.nextFence()
		err = s.prepare(ctx, fence, version, m)
	}

	if err != nil {
		return err
	}

	if err = s.commit(ctx, fence, version); err != nil {
		s.Logger.Warn("Switch given up.", "version", version, "error", err)

		return errors.Join(err, s.ReleaseHolds(ctx))
	}

	return nil
}

// checkReady reports whether a switch may begin.
func checkReady(reports []Report) error {
	for i := range reports {
		r := &reports[i]
		if !r.Open || r.Armed != 0 || r.Holds || r.Map != reports[0].Map {
			return fmt.Errorf("%w: rank %d: %+v", errNotReady, i, *r)
		}
	}

	return nil
}

// prepare lets all ranks copy what is new to them, and waits until they have it.
func (s *Switcher) prepare(ctx context.Context, fence, version uint64, m Map) error {
	o := s.order(wire.EngineOrderKind_EngineOrderPrepare, fence, version, 0)
	SetMap(o, m)

	ctx, cancel := context.WithTimeout(ctx, s.Settings.PrepareTimeout)
	defer cancel()

	return s.orderAll(ctx, errPrepare, func(int) *wire.EngineOrder { return o },
		func(r *Report) bool { return r.Prepared == version })
}

// commit holds a step, arms all ranks for it, and lets it begin.
func (s *Switcher) commit(ctx context.Context, fence, version uint64) error {
	began := time.Now()

	step, err := s.armAll(ctx, fence, version)
	if err != nil {
		return err
	}

	err = s.liftHold(ctx, s.holder(), fence, step)
	s.commitTimes.Observe(time.Since(began), commitTimeWindow)

	return err
}

const (
	// commitTimeWindow is over how many switches the time of a commit is averaged, and
	// commitMargin how many mean distances above that mean a commit may take.
	commitTimeWindow = 8
	commitTimeMargin = 3
)

// stepLead returns how far away the step of a switch should be. One that comes sooner than
// all ranks are armed and the hold is lifted waits for that, and every stream of the
// group with it; each further step is one more with the old map.
func (s *Switcher) stepLead() time.Duration {
	bound, _ := s.commitTimes.UpperBound(commitTimeMargin)

	return min(max(bound, s.Settings.MinStepLead), s.Settings.MaxStepLead)
}

// armAll holds a step and arms all ranks for it, and returns the step once all of
// that is seen.
func (s *Switcher) armAll(ctx context.Context, fence, version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.ArmTimeout)
	defer cancel()

	step, err := s.hold(ctx, fence)
	if err != nil {
		return 0, err
	}

	arm := s.order(wire.EngineOrderKind_EngineOrderArm, fence, version, step)
	armed := func(r *Report) bool { return r.Armed == version }

	if err := s.orderAll(ctx, errArm, func(int) *wire.EngineOrder { return arm }, armed); err != nil {
		return 0, err
	}

	poll, err := s.pollWithRetry(ctx, s.holder())
	if err != nil {
		return 0, err
	}

	if report := poll.Report; !report.Holds || report.Held != step {
		return 0, fmt.Errorf("%w: %+v", errHold, report)
	}

	return step, nil
}

// holder is the rank that holds the step of a switch. It is not the directing
// agent's own: the agent beside it gives these orders, and where that one dies the
// director still lets the group go on.
func (s *Switcher) holder() int { return min(1, s.Group.Size-1) }

// hold lets the holder hold a step that is near, and returns it once that is seen.
func (s *Switcher) hold(ctx context.Context, fence uint64) (uint64, error) {
	poll, err := s.pollWithRetry(ctx, s.holder())

	for range maxHoldAttempts {
		if err != nil {
			return 0, err
		}

		now := time.Now()
		s.stepClock.observe(now, poll.Report.Step)
		step := s.stepClock.firstStepAfter(now, now.Add(s.stepLead()))
		result := s.orderWithRetry(ctx, s.holder(), s.order(wire.EngineOrderKind_EngineOrderHold, fence, 0, step), 1)

		// What the engine reports counts, not what it answered: an order without an
		// answer may have been carried out, and then any step that is still to come will do.
		poll, err = s.pollWithRetry(ctx, s.holder())
		if err == nil && poll.Report.Holds && poll.Report.Held > poll.Report.Step {
			return poll.Report.Held, nil
		}

		if result == wire.EngineResult_EngineFenced {
			break
		}
	}

	return 0, fmt.Errorf("%w: %+v", errHold, poll.Report)
}

// maxHoldAttempts is how many steps are tried to be held.
const maxHoldAttempts = 4

// minStepLength bounds from below how long a step is thought to take.
const minStepLength = 15 * time.Millisecond

// liftHold lifts the hold of a rank. While that is not seen, the group may stand
// still, so it is tried until it is seen. One that is given up is found again by
// the next look. One that is fenced is given up at once: no number of tries would help
// it, and who frees the group with a higher number does.
func (s *Switcher) liftHold(ctx context.Context, rank int, fence, step uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.GoTimeout)
	defer cancel()

	for {
		if result := s.orderWithRetry(ctx, rank, s.order(wire.EngineOrderKind_EngineOrderGo, fence, 0, step), 1); result == wire.EngineResult_EngineFenced {
			return errNotReleased
		}

		poll, err := s.Group.Poll(ctx, rank, PollRequest{})

		switch {
		case err == nil && (!poll.Report.Holds || poll.Report.Held != step || poll.Report.Epoch != s.Group.Epoch):
			return nil
		case !pauses.For(ctx, s.Settings.SwitchPollInterval):
			return errNotReleased
		}
	}
}

func mapToWire(m Map) []*wire.ExpertSet {
	var out []*wire.ExpertSet

	for _, ranks := range m {
		for _, experts := range ranks {
			out = append(out, ExpertSetToWire(experts))
		}
	}

	return out
}

// ExpertSetToWire returns a rank's experts of a set as they travel.
func ExpertSetToWire(experts []uint16) *wire.ExpertSet {
	set := &wire.ExpertSet{Experts: make([]uint32, 0, len(experts))}
	for _, e := range experts {
		set.Experts = append(set.Experts, uint32(e))
	}

	return set
}
