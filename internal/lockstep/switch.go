package lockstep

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

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
	Ranks    Ranks
	Settings Settings
	Logger   *slog.Logger

	fence uint64
	// armTook is how long it takes to arm all ranks.
	armTook time.Duration
	// stepTime is how long a step took lately, by the step that was seen at sawAt.
	stepTime time.Duration
	sawStep  uint64
	sawAt    time.Time
	// fenced is set once an engine refused a fencing number as too low.
	fenced atomic.Bool
}

// Errors of a switch that did not come about. Nothing has changed then.
var (
	errNotAll   = errors.New("lockstep: not all ranks answered")
	errState    = errors.New("lockstep: the ranks are not ready for a switch")
	errPrepare  = errors.New("lockstep: not all ranks have the experts")
	errHold     = errors.New("lockstep: the step could not be held")
	errArm      = errors.New("lockstep: not all ranks are armed")
	errNotFreed = errors.New("lockstep: a hold is not lifted yet")
)

// fenceShift leaves room for a random part: a directing agent that starts anew
// does not know its predecessor's numbers, and must not use an equal one.
const fenceShift = 24

// Begin sets the first fencing number above all that a predecessor can have used
// for maps up to version: it used two for each at most.
func (s *Switcher) Begin(version uint64) {
	s.fence = max(s.fence, (version*fencesPerMap+fenceMargin)<<fenceShift)
}

const (
	fencesPerMap = 4
	fenceMargin  = 16
)

// nextFence returns a number above all that this agent has used, and far above
// one that was refused as too low.
func (s *Switcher) nextFence() uint64 {
	if s.fenced.Swap(false) {
		s.fence *= 2
	}

	s.fence = (s.fence>>fenceShift+1)<<fenceShift | rand.Uint64N(1<<fenceShift)

	return s.fence
}

// Switch brings m, as version, to all ranks and switches them in one step.
func (s *Switcher) Switch(ctx context.Context, version uint64, m Map) error {
	fence := s.nextFence()

	reports, err := s.lookAll(ctx)
	if err != nil {
		return err
	}

	if err := ready(reports); err != nil {
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

		return errors.Join(err, s.Free(ctx))
	}

	return nil
}

// ready reports whether a switch may begin.
func ready(reports []Report) error {
	for i := range reports {
		r := &reports[i]
		if !r.Open || r.Armed != 0 || r.Holds || r.Map != reports[0].Map {
			return fmt.Errorf("%w: rank %d: %+v", errState, i, *r)
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

	return s.drive(ctx, errPrepare, func(int) *wire.EngineOrder { return o },
		func(r *Report) bool { return r.Prepared == version })
}

// drive gives an order to all ranks until each of them has taken it and, where seen
// is given, its report says so. An order without an answer may be lost, carried out
// already, or be carried out seconds later: it is given again, and what the reports
// say counts. A rank that refuses the first one that reaches it will not take it.
func (s *Switcher) drive(ctx context.Context, failure error, order func(rank int) *wire.EngineOrder, seen func(*Report) bool) error {
	ranks := make([]driven, s.Ranks.Size)

	for {
		if refused := s.orderMissing(ctx, ranks, order); len(refused) > 0 {
			return fmt.Errorf("%w: refused by ranks %v", failure, refused)
		}

		missing := 0
		reports, err := s.seen(ctx, seen)

		switch {
		case errors.Is(err, errState):
			return err
		case err != nil:
			missing++
		}

		for rank := range ranks {
			if !ranks[rank].taken || seen != nil && err == nil && !seen(&reports[rank]) {
				missing++
			}
		}

		switch {
		case missing == 0:
			return nil
		case !pause(ctx, s.Settings.PollEvery):
			return fmt.Errorf("%w: %d ranks are missing", failure, missing)
		}
	}
}

// seen looks at all ranks where that tells something.
func (s *Switcher) seen(ctx context.Context, seen func(*Report) bool) ([]Report, error) {
	if seen == nil {
		return nil, nil
	}

	return s.lookAll(ctx)
}

// driven is what became of an order at one rank.
type driven struct {
	// taken is set once the rank has, or must have, taken it; unsure once an order
	// got no answer.
	taken, unsure bool
}

// orderMissing gives the order to the ranks that have not taken it yet, and returns
// those that refuse it.
func (s *Switcher) orderMissing(ctx context.Context, ranks []driven, order func(rank int) *wire.EngineOrder) []int {
	results := make([]wire.EngineResult, len(ranks))

	var g sync.WaitGroup

	for rank := range ranks {
		if !ranks[rank].taken {
			g.Go(func() { results[rank] = s.orderAt(ctx, rank, order(rank), 1) })
		}
	}

	g.Wait()

	var refused []int

	for rank := range ranks {
		d := &ranks[rank]

		switch {
		case d.taken:
		case results[rank] == wire.EngineResult_EngineDone, results[rank] == wire.EngineResult_EngineMisfit && d.unsure:
			// One that no longer fits was taken when it got no answer.
			d.taken = true
		case results[rank] == wire.EngineResult_EngineUnknown:
			d.unsure = true
		default:
			refused = append(refused, rank)
		}
	}

	return refused
}

// orderTries is how often an order to one rank is given where no answer comes.
const orderTries = 4

// commit holds a step, arms all ranks for it, and lets it begin.
func (s *Switcher) commit(ctx context.Context, fence, version uint64) error {
	step, err := s.armAll(ctx, fence, version)
	if err != nil {
		return err
	}

	return s.goOn(ctx, s.holder(), fence, step)
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

	began := time.Now()
	defer func() { s.armTook += (time.Since(began) - s.armTook) / armMemory }()

	arm := s.order(wire.EngineOrderKind_EngineOrderArm, fence, version, step)
	armed := func(r *Report) bool { return r.Armed == version }

	if err := s.drive(ctx, errArm, func(int) *wire.EngineOrder { return arm }, armed); err != nil {
		return 0, err
	}

	look, err := s.Ranks.Look(ctx, s.holder(), Question{})
	if err != nil {
		return 0, err
	}

	if h := look.Report; !h.Holds || h.Held != step {
		return 0, fmt.Errorf("%w: %+v", errHold, h)
	}

	return step, nil
}

// holder is the rank that holds the step of a switch. It is not the directing
// agent's own: the agent beside it gives these orders, and where that one dies the
// director still lets the group go on.
func (s *Switcher) holder() int { return min(1, s.Ranks.Size-1) }

// guard is the rank that holds a step beside the holder while ranks are disarmed.
func (s *Switcher) guard() int { return min(2, s.Ranks.Size-1) }

// hold lets the holder hold a step that is near, and returns it once that is seen.
func (s *Switcher) hold(ctx context.Context, fence uint64) (uint64, error) {
	look, err := s.Ranks.Look(ctx, s.holder(), Question{})

	for range holdTries {
		if err != nil {
			return 0, err
		}

		ahead := max(s.Settings.Ahead, s.armTook*armMargin/10)
		step := look.Report.Step + leastAhead + uint64(ahead/max(s.stepTime, shortestStep))
		got := s.orderAt(ctx, s.holder(), s.order(wire.EngineOrderKind_EngineOrderHold, fence, 0, step), 1)

		// What the engine reports counts, not what it answered: an order without an
		// answer may have been carried out, and then any step that is still to come will do.
		look, err = s.Ranks.Look(ctx, s.holder(), Question{})
		if err == nil && look.Report.Holds && look.Report.Held > look.Report.Step {
			return look.Report.Held, nil
		}

		if got == wire.EngineResult_EngineFenced {
			break
		}
	}

	return 0, fmt.Errorf("%w: %+v", errHold, look.Report)
}

const (
	// armMemory is over how many switches the time of arming is averaged, and
	// armMargin how much longer, in tenths, the step is to be away: a step that comes
	// before all are armed waits, and every stream of the group with it.
	armMemory = 3
	armMargin = 13
)

// holdTries is how many steps are tried to be held.
const holdTries = 4

const (
	// leastAhead is how many steps lie at least between now and a switch.
	leastAhead = 1
	// shortestStep bounds from below how long a step is thought to take.
	shortestStep = 15 * time.Millisecond
)

// Saw takes in that step was the last one begun at now.
func (s *Switcher) Saw(now time.Time, step uint64) {
	if steps := step - s.sawStep; s.sawStep != 0 && step > s.sawStep {
		s.stepTime = now.Sub(s.sawAt) / time.Duration(steps)
	}

	s.sawStep, s.sawAt = step, now
}

// goOn lifts the hold of a rank. While that is not seen, the group may stand
// still, so it is tried until it is seen. One that is given up is found again by
// the next look.
func (s *Switcher) goOn(ctx context.Context, rank int, fence, step uint64) error {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.GoTimeout)
	defer cancel()

	for {
		s.orderAt(ctx, rank, s.order(wire.EngineOrderKind_EngineOrderGo, fence, 0, step), 1)

		look, err := s.Ranks.Look(ctx, rank, Question{})

		switch {
		case err == nil && (!look.Report.Holds || look.Report.Held != step || look.Report.Epoch != s.Ranks.Epoch):
			return nil
		case !pause(ctx, s.Settings.PollEvery):
			return errNotFreed
		}
	}
}

// Free lifts holds that no switch needs any more. Before that, all ranks are
// disarmed under a higher fencing number, so that arms on their way no longer
// count. A group that is not held is left alone: its ranks are all armed, or none.
func (s *Switcher) Free(ctx context.Context) error {
	for {
		err := s.freeOnce(ctx)
		// Another agent's numbers may be higher than can be known. Each refusal
		// doubles them, so a few tries are enough.
		if err == nil || !s.fenced.Load() || !pause(ctx, s.Settings.PollEvery) {
			return err
		}
	}
}

func (s *Switcher) freeOnce(ctx context.Context) error {
	reports, err := s.lookAll(ctx)
	if err != nil {
		return err
	}

	s.Begin(highestVersion(reports))

	fence := s.nextFence()

	step, held := heldStep(reports)
	if !held {
		// A hold that nobody answered may still be on its way.
		s.orderAt(ctx, s.holder(), s.order(wire.EngineOrderKind_EngineOrderGo, fence, 0, reports[0].Step), orderTries)

		return nil
	}

	if err := s.holdTwice(ctx, fence, step); err != nil {
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
		if rank != s.holder() && rank != s.guard() && !reports[rank].Holds {
			continue
		}

		if err := s.goOn(ctx, rank, fence, step); err != nil {
			return err
		}
	}

	return nil
}

// holdTwice lets two ranks hold the step. The predecessor may have let the holder go
// on just before it died, and that order may still be on its way: the step would
// begin while some ranks are disarmed and others are not.
func (s *Switcher) holdTwice(ctx context.Context, fence, step uint64) error {
	for _, rank := range []int{s.guard(), s.holder()} {
		if got := s.orderAt(ctx, rank, s.order(wire.EngineOrderKind_EngineOrderHold, fence, 0, step), orderTries); got != wire.EngineResult_EngineDone {
			return fmt.Errorf("%w: rank %d: %s", errNotFreed, rank, got)
		}

		look, err := s.Ranks.Look(ctx, rank, Question{})
		if err != nil {
			return err
		}

		if r := look.Report; !r.Holds || r.Held != step || r.Step >= step {
			return fmt.Errorf("%w: rank %d: %+v", errNotFreed, rank, r)
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

	if err := s.drive(ctx, errNotFreed, disarm, nil); err != nil {
		return err
	}

	after, err := s.lookAll(ctx)
	if err != nil {
		return err
	}

	for i := range after {
		if after[i].Armed != 0 {
			return fmt.Errorf("%w: rank %d is armed", errNotFreed, i)
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
	looks, err := s.LookAll(ctx, Question{Lists: true})
	if err != nil {
		return err
	}

	version := highestVersion(reports) + supersedeBy
	m, err := mapOf(looks)
	if err != nil {
		return err
	}

	if err := s.prepare(ctx, fence, version, m); err != nil {
		return errors.Join(errNotFreed, err)
	}

	return nil
}

// supersedeBy is how far the version goes up: a rank may have had some that were
// prepared at others only.
const supersedeBy = 16

// mapOf returns the map in use by the ranks' own lists.
func mapOf(looks []Look) (Map, error) {
	m := make(Map, len(looks[0].Lists))

	for r := range looks {
		l := &looks[r]
		if l.ListsOf != looks[0].ListsOf || len(l.Lists) != len(m) || len(m) == 0 {
			return nil, fmt.Errorf("%w: rank %d does not tell its experts", errState, r)
		}

		for s := range m {
			m[s] = append(m[s], slices.Sorted(slices.Values(l.Lists[s])))
		}
	}

	return m, nil
}

func (s *Switcher) order(kind wire.EngineOrderKind, fence, version, step uint64) *wire.EngineOrder {
	return &wire.EngineOrder{Kind: kind, Epoch: s.Ranks.Epoch, Fence: fence, Version: version, Step: step}
}

// orderAt gives an order, again while nobody can tell what became of it.
func (s *Switcher) orderAt(ctx context.Context, rank int, o *wire.EngineOrder, tries int) wire.EngineResult {
	got := wire.EngineResult_EngineUnknown

	timeout := s.Settings.OrderTimeout
	if o.GetKind() == wire.EngineOrderKind_EngineOrderPrepare {
		// The whole group's maps share the directing VM's link.
		timeout += time.Duration(s.Ranks.Size) * s.Settings.MapTime
	}

	for range tries {
		one, cancel := context.WithTimeout(ctx, timeout)
		got = s.Ranks.Order(one, rank, o)

		cancel()

		if got != wire.EngineResult_EngineUnknown || ctx.Err() != nil {
			break
		}
	}

	if got == wire.EngineResult_EngineFenced {
		s.fenced.Store(true)
	}

	if got != wire.EngineResult_EngineDone {
		s.Logger.Info("Order not taken.", "rank", rank, "order", o.GetKind().String(), "result", got.String(),
			"version", o.GetVersion(), "step", o.GetStep(), "fence", o.GetFence(), "epoch", o.GetEpoch())
	}

	return got
}

// lookAll returns all ranks' reports of the epoch.
func (s *Switcher) lookAll(ctx context.Context) ([]Report, error) {
	looks, err := s.LookAll(ctx, Question{})
	if err != nil {
		return nil, err
	}

	return reportsOf(looks), nil
}

func reportsOf(looks []Look) []Report {
	out := make([]Report, 0, len(looks))
	for _, l := range looks {
		out = append(out, l.Report)
	}

	return out
}

// LookAll looks at all ranks at once. All must answer, in the same epoch.
func (s *Switcher) LookAll(ctx context.Context, q Question) ([]Look, error) {
	return s.LookSome(ctx, func(int) (Question, bool) { return q, true })
}

// LookSome looks at some ranks at once. All of them must answer, in the same epoch;
// the others' looks are empty.
func (s *Switcher) LookSome(ctx context.Context, ask func(rank int) (Question, bool)) ([]Look, error) {
	looks := make([]Look, s.Ranks.Size)
	errs := make([]error, s.Ranks.Size)
	asked := make([]bool, s.Ranks.Size)

	ctx, cancel := context.WithTimeout(ctx, s.Settings.OrderTimeout)
	defer cancel()

	var g sync.WaitGroup

	for rank := range looks {
		var q Question

		if q, asked[rank] = ask(rank); asked[rank] {
			g.Go(func() { looks[rank], errs[rank] = s.Ranks.Look(ctx, rank, q) })
		}
	}

	g.Wait()

	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotAll, err)
	}

	for rank := range looks {
		if asked[rank] && looks[rank].Report.Epoch != s.Ranks.Epoch {
			return nil, fmt.Errorf("%w: another epoch has begun", errState)
		}
	}

	return looks, nil
}

func toWire(m Map) []*wire.ExpertSet {
	var out []*wire.ExpertSet

	for _, ranks := range m {
		for _, experts := range ranks {
			out = append(out, SetToWire(experts))
		}
	}

	return out
}

// SetToWire returns a rank's experts of a set as they travel.
func SetToWire(experts []uint16) *wire.ExpertSet {
	set := &wire.ExpertSet{Experts: make([]uint32, 0, len(experts))}
	for _, e := range experts {
		set.Experts = append(set.Experts, uint32(e))
	}

	return set
}

// pause waits for d and reports whether ctx still goes on.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
