package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/shares"
)

// fleetDay is a lock-step group under load at many entries: each of them sees what it
// placed itself, and hears of the others only what targets tell now and then.
type fleetDay struct {
	entries, zones, targets, slots, degree int
	perSecond                              float64
	// unevenness is the spread of how many callers entries have.
	unevenness float64
	// step is how long a step takes, and longStep how long in the last longFor of each longEvery.
	step, longStep, longEvery, longFor time.Duration
	gap, aim, patience                 time.Duration
	// tellEvery is how often a target tells its load to the entries that use it.
	tellEvery time.Duration
	length    time.Duration
	settings  dispatch.Settings
}

// busyFleet is a group of 129 ranks behind 39 entries, near what it bears.
func busyFleet() fleetDay {
	return fleetDay{
		entries: 39, zones: 5, targets: 129, slots: 6, degree: 20, perSecond: 260, unevenness: 0.4,
		step: 105 * time.Millisecond, longStep: 210 * time.Millisecond, longEvery: 3600 * time.Millisecond, longFor: 1200 * time.Millisecond,
		gap: 200 * time.Millisecond, aim: 600 * time.Millisecond, patience: 2400 * time.Millisecond,
		tellEvery: 100 * time.Millisecond, length: 6 * time.Second, settings: dispatch.DefaultSettings(),
	}
}

// job is one draft on its way through the fleet.
type job struct {
	entry            *fleetEntry
	placed           dispatch.Action
	arrived, eventAt time.Time
	// passes is how many steps it takes still, prompt of them until its first event.
	passes, prompt int
	late, begun    bool
}

type fleetEntry struct {
	*dispatch.Dispatcher

	zone    string
	weight  float64
	waiting map[uint64]*job
	uses    map[string]shares.Share
}

type fleetTarget struct {
	dispatch.Target

	running, queued []*job
	users           []*fleetEntry
	placed          int
}

// fleetRun is one play of a fleetDay.
type fleetRun struct {
	fleetDay

	r       *rand.Rand
	id      uint64
	entry   []*fleetEntry
	target  []*fleetTarget
	byID    map[string]*fleetTarget
	arrived int
	// queuedFor is how many drafts waited at a target for more than a step.
	inTime, late, refused, left, queuedFor int
}

func (f fleetDay) play(seed uint64) *fleetRun {
	x := &fleetRun{fleetDay: f, r: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*fleetTarget{}}
	entries, places := x.places("e", f.entries), x.places("t", f.targets)

	for i, p := range places {
		t := &fleetTarget{Target: dispatch.Target{ID: p.ID, Service: "drafts", Zone: p.Zone, Group: "g", Slots: f.slots}}
		x.target, x.byID[places[i].ID] = append(x.target, t), t
	}

	for _, p := range entries {
		e := &fleetEntry{
			zone: p.Zone, weight: math.Exp(f.unevenness * x.r.NormFloat64()), waiting: map[uint64]*job{},
			uses:       shares.Subsetter{Size: f.degree}.Targets(p, entries, places),
			Dispatcher: &dispatch.Dispatcher{Settings: f.settings, Zone: p.Zone, Rand: rand.New(rand.NewPCG(seed, x.r.Uint64()))},
		}

		var targets []dispatch.Target

		for _, t := range x.target {
			if s, ok := e.uses[t.ID]; ok {
				t.users = append(t.users, e)
				mine := t.Target
				mine.Share = s
				targets = append(targets, mine)
			}
		}

		x.entry = append(x.entry, e)
		x.take(begin, e, e.Update(begin, []dispatch.Service{{Name: "drafts", Streams: true}}, targets))
	}

	x.run()

	return x
}

func (x *fleetRun) places(kind string, n int) []shares.Node {
	var out []shares.Node
	for i := range n {
		out = append(out, shares.Node{ID: fmt.Sprintf("%s%03d", kind, i), Zone: fmt.Sprint(i % x.zones)})
	}

	return out
}

func (x *fleetRun) run() {
	const tick = 5 * time.Millisecond

	stepAt := begin.Add(x.step)

	for n := range int(x.length / tick) {
		now := begin.Add(time.Duration(n) * tick)

		for range x.poisson(x.perSecond * tick.Seconds()) {
			x.arrive(now)
		}

		if !now.Before(stepAt) {
			x.endStep(now)

			stepAt = now.Add(x.stepLength(now))
		}

		x.tell(now, n, int(x.tellEvery/tick))

		if n%4 == 0 {
			for _, e := range x.entry {
				x.take(now, e, e.Tick(now))
			}
		}
	}
}

func (x *fleetRun) poisson(mean float64) int {
	n, p, least := 0, x.r.Float64(), math.Exp(-mean)
	for ; p > least; n++ {
		p *= x.r.Float64()
	}

	return n
}

func (x *fleetRun) stepLength(now time.Time) time.Duration {
	if now.Sub(begin)%x.longEvery > x.longEvery-x.longFor {
		return x.longStep
	}

	return x.step
}

// arrive brings a draft to one of the entries, by how many callers they have.
func (x *fleetRun) arrive(now time.Time) {
	total := 0.0
	for _, e := range x.entry {
		total += e.weight
	}

	at := x.r.Float64() * total
	i := slices.IndexFunc(x.entry, func(e *fleetEntry) bool {
		at -= e.weight

		return at <= 0
	})
	e := x.entry[max(i, 0)]

	x.id++
	x.arrived++
	prompt := 2 + x.r.IntN(2)
	e.waiting[x.id] = &job{entry: e, arrived: now, prompt: prompt, passes: prompt + 1 + int(min(37, 12*math.Exp(0.7*x.r.NormFloat64())))}
	x.take(now, e, e.Submit(now, dispatch.Request{ID: x.id, Service: "drafts", SoftDeadline: now.Add(x.aim), Deadline: now.Add(x.patience)}))
}

func (x *fleetRun) take(now time.Time, e *fleetEntry, actions []dispatch.Action) {
	for _, a := range actions {
		j := e.waiting[a.ID]
		delete(e.waiting, a.ID)

		if !a.Placed {
			x.refused++

			continue
		}

		j.placed, j.eventAt = a, now
		t := x.byID[a.Target.ID]
		t.queued = append(t.queued, j)
		t.placed++
	}
}

// endStep ends a step of the whole group: all drafts that are in it get on, and those
// that wait at a target take the slots that are free.
func (x *fleetRun) endStep(now time.Time) {
	for _, t := range x.target {
		var left []*job

		for _, j := range t.running {
			if x.advance(now, j) {
				left = append(left, j)
			}
		}

		t.running = left
		t.queued = slices.DeleteFunc(t.queued, func(j *job) bool { return x.gone(now, j) })

		for len(t.running) < t.Slots && len(t.queued) > 0 {
			j := t.queued[0]
			t.running, t.queued = append(t.running, j), t.queued[1:]

			if now.Sub(j.eventAt) > x.longStep {
				x.queuedFor++
			}
		}
	}
}

// gone reports whether the caller of a draft without an event has left.
func (x *fleetRun) gone(now time.Time, j *job) bool {
	if j.begun || now.Sub(j.arrived) <= x.patience {
		return false
	}

	x.left++
	x.take(now, j.entry, j.entry.Finish(now, j.placed, 1, dispatch.Canceled))

	return true
}

// advance gives a draft its step, and reports whether it needs more.
func (x *fleetRun) advance(now time.Time, j *job) bool {
	if x.gone(now, j) {
		return false
	}

	j.passes--
	j.prompt--

	if j.prompt >= 0 {
		return true
	}

	pause := now.Sub(j.eventAt)

	if j.begun {
		j.late = j.late || pause > x.gap+50*time.Millisecond
		j.entry.ReportEventGap(now, j.placed, float64(pause)/float64(x.gap))
	} else {
		j.begun = true
		j.late = now.Sub(j.arrived) > x.aim
		j.entry.ReportFirstAnswer(j.placed, pause)
	}

	j.eventAt = now

	if j.passes > 0 {
		return true
	}

	if j.late {
		x.late++
	} else {
		x.inTime++
	}

	x.take(now, j.entry, j.entry.Finish(now, j.placed, 1, dispatch.Completed))

	return false
}

// tell lets each target whose turn it is tell its load to its users.
func (x *fleetRun) tell(now time.Time, n, every int) {
	for i, t := range x.target {
		if (n+i)%every != 0 {
			continue
		}

		for _, e := range t.users {
			x.take(now, e, e.ReportLoad(now, "drafts", t.ID, dispatch.Load{Running: len(t.running), Waiting: len(t.queued), Slowdown: 1}))
		}
	}
}

// busiest is how many drafts the busiest target got, against the mean.
func (x *fleetRun) busiest() float64 {
	most, total := 0, 0
	for _, t := range x.target {
		most, total = max(most, t.placed), total+t.placed
	}

	return float64(most) * float64(len(x.target)) / float64(total)
}

// waitedAtTargets is the part of the drafts that waited at a target for more than a step.
func (x *fleetRun) waitedAtTargets() float64 { return float64(x.queuedFor) / float64(x.arrived) }

// unshared is the same day where each entry uses all targets, and gives each as much as it
// seems to have room for.
func (f fleetDay) unshared() fleetDay {
	f.degree = f.targets
	f.settings.BorrowReserve = -float64(f.slots)

	return f
}

// Steps grow long near what 129 ranks bear behind 39 entries. Guards against entries that all
// choose the same targets as the freest, where drafts wait until their callers leave.
func TestDraftsDoNotWaitAtTargets(t *testing.T) {
	t.Parallel()

	f := busyFleet()
	with, without := f.play(1), f.unshared().play(1)
	t.Logf("waited at a target %.3f, %.3f where all entries use all targets; busiest %.2f, %.2f", with.waitedAtTargets(), without.waitedAtTargets(), with.busiest(), without.busiest())
	require.Less(t, with.waitedAtTargets(), 0.02)
	require.Less(t, with.waitedAtTargets(), without.waitedAtTargets()/4)
}
