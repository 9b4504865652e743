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

// Switcher switches a group from one map to another. If the directing agent fails during a
// switch, its successor finds one of these states and recovers from it:
//
//	prepared at some ranks   nothing is armed or held: nothing to do
//	held, none or some armed the hold keeps the step from beginning: hold it at a
//	                         second rank, disarm all ranks, then lift both holds
//	held, all armed          the same
//	go order in flight       the same: the second hold remains when the order arrives
//	go order carried out     not held: all ranks switch by themselves
//
// Ranks are armed only while the holder holds the step of the switch. The hold is lifted only
// once every rank has reported that it is armed, or that it is disarmed under a higher fencing
// number. No step can therefore begin with two maps, whichever agent fails.
type Switcher struct {
	Group    GroupClient
	Settings Settings
	Logger   *slog.Logger

	fence uint64
	// stepClock predicts when steps begin. commitTimes estimates the time from the order to
	// hold a step until its hold is seen lifted.
	stepClock   stepClock
	commitTimes latency.Estimator
	// pollTimes estimates the time that a poll takes. missedRounds counts consecutive rounds of
	// polls that most ranks did not answer in time.
	pollTimes    latency.Estimator
	missedRounds int
	// answerTimes estimates the time until ranks answer orders sent directly, fanOutTimes the
	// time for orders sent by fan-out.
	answerTimes answerTimes
	fanOutTimes answerTimes
	// longLead is set if steps with the old map remain short enough for a long lead.
	longLead bool
	// fenced is set once an engine has refused a fencing number as too low.
	fenced atomic.Bool
	// claimed is set once all ranks have a fencing number of this agent.
	claimed bool
}

// Errors of a switch that did not take place. Nothing has changed then.
var (
	errMissingAnswers = errors.New("lockstep: not all ranks answered")
	errNotReady       = errors.New("lockstep: the ranks are not ready for a switch")
	errPrepare        = errors.New("lockstep: not all ranks have prepared the map")
	errHold           = errors.New("lockstep: the step could not be held")
	errArm            = errors.New("lockstep: not all ranks are armed")
	errNotReleased    = errors.New("lockstep: hold not lifted yet")
)

// Switch distributes m to all ranks, as a version higher than the given one, and switches them to
// it in the same step. It returns that version.
func (s *Switcher) Switch(ctx context.Context, above uint64, m Map) (uint64, error) {
	if err := s.claim(ctx, above); err != nil {
		return above, err
	}

	reports, err := s.pollReports(ctx)
	if err != nil {
		return above, err
	}

	if err = checkReady(reports); err != nil {
		return above, err
	}

	version := newVersion(max(above, highestVersion(reports)), 1)

	return version, s.switchTo(ctx, version, m)
}

// switchTo switches all ranks to m, as version.
func (s *Switcher) switchTo(ctx context.Context, version uint64, m Map) error {
	fence := s.nextFence()

	err := s.prepare(ctx, fence, version, m)
	if err != nil && s.fenced.Load() {
		fence = s.nextFence()
		err = s.prepare(ctx, fence, version, m)
	}

	if err != nil {
		return err
	}

	if err = s.commit(ctx, fence, version); err != nil {
		s.Logger.Warn("Map switch aborted; releasing its hold.", "version", version, "error", err)

		return errors.Join(err, s.ReleaseHolds(ctx))
	}

	return nil
}

// checkReady returns an error unless a switch may begin.
func checkReady(reports []Report) error {
	for i := range reports {
		r := &reports[i]
		if !r.Open || r.Armed != 0 || r.Holds || r.Map != reports[0].Map {
			return fmt.Errorf("%w: rank %d: %+v", errNotReady, i, *r)
		}
	}

	return nil
}

// prepare makes all ranks copy the experts that are new to them and waits until they have done
// so.
func (s *Switcher) prepare(ctx context.Context, fence, version uint64, m Map) error {
	o := s.order(wire.EngineOrderKind_EngineOrderPrepare, fence, version, 0)
	SetMap(o, m)

	ctx, cancel := context.WithTimeout(ctx, s.Settings.PrepareTimeout)
	defer cancel()

	return s.orderAll(ctx, errPrepare, func(int) *wire.EngineOrder { return o },
		func(r *Report) bool { return r.Prepared == version })
}

// commit holds a step, arms all ranks for it, and lifts the hold.
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
	// commitTimeWindow is the number of switches in the running mean of commit times,
	// commitTimeMargin the number of mean deviations above the mean that a commit may take.
	commitTimeWindow = 8
	commitTimeMargin = 3
	// longLeadMargin is that margin for a long lead. A few commits with unanswered orders among
	// others are much longer than the mean.
	longLeadMargin = 6
)

// stepLead returns how far ahead the step of a switch should be. A step that is due before all
// ranks are armed and the hold is lifted is delayed, and every stream of the group with it. A
// step further ahead means more steps with the old map.
func (s *Switcher) stepLead() time.Duration {
	if s.longLead {
		bound, _ := s.commitTimes.UpperBound(longLeadMargin)

		return min(max(bound, s.Settings.MinLongLead), s.Settings.MaxLongLead)
	}

	bound, _ := s.commitTimes.UpperBound(commitTimeMargin)

	return min(max(bound, s.Settings.MinStepLead), s.Settings.MaxStepLead)
}

// armAll holds a step and arms all ranks for it. It returns the step once the reports confirm
// both.
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
		return 0, fmt.Errorf("%w: report of the holder: %+v", errHold, report)
	}

	return step, nil
}

// holder is the rank that holds the step of a switch. It is not the rank of the directing
// agent: the agent beside the holder relays these orders, and if that agent fails, the director
// can still lift the hold.
func (s *Switcher) holder() int { return min(1, s.Group.Size-1) }

// hold makes the holder hold a step in the near future and returns that step once the holder
// reports it.
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

		// The report of the engine decides, not its answer: an unanswered order may have been
		// carried out, and then any held step that has not begun yet will do.
		poll, err = s.pollWithRetry(ctx, s.holder())
		if err == nil && poll.Report.Holds && poll.Report.Held > poll.Report.Step {
			return poll.Report.Held, nil
		}

		if result == wire.EngineResult_EngineFenced {
			break
		}
	}

	return 0, fmt.Errorf("%w: report of the holder: %+v", errHold, poll.Report)
}

// maxHoldAttempts is how many steps the director tries to hold.
const maxHoldAttempts = 4

// minStepLength is a lower bound of the estimated duration of a step.
const minStepLength = 15 * time.Millisecond

// liftHold lifts the hold of a rank. It repeats the order until the rank reports that the hold
// is lifted, because the group may be stopped until then. If it times out, the next poll
// detects the hold again. It returns immediately if the order is fenced: repeating the order
// would not help, and the agent with the higher fencing number releases the hold.
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
		case !pauses.Sleep(ctx, s.Settings.SwitchPollInterval):
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

// ExpertSetToWire returns the wire form of a rank's experts of one set.
func ExpertSetToWire(experts []uint16) *wire.ExpertSet {
	set := &wire.ExpertSet{Experts: make([]uint32, 0, len(experts))}
	for _, e := range experts {
		set.Experts = append(set.Experts, uint32(e))
	}

	return set
}
