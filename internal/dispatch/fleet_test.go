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

// fleetConfig is a lock-step group under load at many entries: each of them sees what it
// placed itself, and hears of the others only what targets tell now and then.
type fleetConfig struct {
	entries, zones, targets, slots, degree int
	perSecond                              float64
	// callerSigma is the spread of how many callers entries have.
	callerSigma float64
	// step is how long a step takes, and longStep how long in the last longFor of each longEvery.
	step, longStep, longStepInterval, longStepDuration time.Duration
	maxGap, latencyTarget, timeout                     time.Duration
	// reportInterval is how often a target tells its load to the entries that use it.
	reportInterval time.Duration
	duration       time.Duration
	settings       dispatch.Settings
}

// busyFleet is a group of 129 ranks behind 39 entries, near what it bears.
func busyFleet() fleetConfig {
	return fleetConfig{
		entries: 39, zones: 5, targets: 129, slots: 6, degree: 20, perSecond: 260, callerSigma: 0.4,
		step: 105 * time.Millisecond, longStep: 210 * time.Millisecond, longStepInterval: 3600 * time.Millisecond, longStepDuration: 1200 * time.Millisecond,
		maxGap: 200 * time.Millisecond, latencyTarget: 600 * time.Millisecond, timeout: 2400 * time.Millisecond,
		reportInterval: 100 * time.Millisecond, duration: 6 * time.Second, settings: dispatch.DefaultSettings(),
	}
}

// fleetRequest is one draft on its way through the fleet.
type fleetRequest struct {
	entry            *fleetEntry
	placed           dispatch.Action
	arrived, eventAt time.Time
	// stepsLeft is how many steps it takes still, prompt of them until its first event.
	stepsLeft, promptStepsLeft int
	late, started              bool
}

type fleetEntry struct {
	*dispatch.Dispatcher

	zone    string
	weight  float64
	waiting map[uint64]*fleetRequest
	subset  map[string]shares.Share
}

type fleetTarget struct {
	dispatch.Target

	running, queued []*fleetRequest
	users           []*fleetEntry
	placed          int
}

// fleetSim is one play of a fleetDay.
type fleetSim struct {
	fleetConfig

	r       *rand.Rand
	id      uint64
	entry   []*fleetEntry
	target  []*fleetTarget
	byID    map[string]*fleetTarget
	arrived int
	// queuedFor is how many drafts waited at a target for more than a step.
	inTime, late, refused, canceled, queuedLong int
}

func (f fleetConfig) simulate(seed uint64) *fleetSim {
	x := &fleetSim{fleetConfig: f, r: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*fleetTarget{}}
	entries, nodes := x.nodes("e", f.entries), x.nodes("t", f.targets)

	for i, p := range nodes {
		t := &fleetTarget{Target: dispatch.Target{ID: p.ID, Service: "drafts", Zone: p.Zone, Group: "g", Slots: f.slots}}
		x.target, x.byID[nodes[i].ID] = append(x.target, t), t
	}

	for _, p := range entries {
		e := &fleetEntry{
			zone: p.Zone, weight: math.Exp(f.callerSigma * x.r.NormFloat64()), waiting: map[uint64]*fleetRequest{},
			subset:     shares.Subsetter{Size: f.degree}.Targets(p, entries, nodes),
			Dispatcher: &dispatch.Dispatcher{Settings: f.settings, Zone: p.Zone, Rand: rand.New(rand.NewPCG(seed, x.r.Uint64()))},
		}

		var targets []dispatch.Target

		for _, t := range x.target {
			if s, ok := e.subset[t.ID]; ok {
				t.users = append(t.users, e)
				own := t.Target
				own.Share = s
				targets = append(targets, own)
			}
		}

		x.entry = append(x.entry, e)
		x.apply(startTime, e, e.Update(startTime, []dispatch.Service{{Name: "drafts", Streams: true}}, targets))
	}

	x.run()

	return x
}

func (x *fleetSim) nodes(kind string, n int) []shares.Node {
	var out []shares.Node
	for i := range n {
		out = append(out, shares.Node{ID: fmt.Sprintf("%s%03d", kind, i), Zone: fmt.Sprint(i % x.zones)})
	}

	return out
}

func (x *fleetSim) run() {
	const tick = 5 * time.Millisecond

	stepAt := startTime.Add(x.step)

	for n := range int(x.duration / tick) {
		now := startTime.Add(time.Duration(n) * tick)

		for range x.poisson(x.perSecond * tick.Seconds()) {
			x.arrive(now)
		}

		if !now.Before(stepAt) {
			x.endStep(now)

			stepAt = now.Add(x.stepLength(now))
		}

		x.reportLoads(now, n, int(x.reportInterval/tick))

		if n%4 == 0 {
			for _, e := range x.entry {
				x.apply(now, e, e.Tick(now))
			}
		}
	}
}

func (x *fleetSim) poisson(mean float64) int {
	n, p, threshold := 0, x.r.Float64(), math.Exp(-mean)
	for ; p > threshold; n++ {
		p *= x.r.Float64()
	}

	return n
}

func (x *fleetSim) stepLength(now time.Time) time.Duration {
	if now.Sub(startTime)%x.longStepInterval > x.longStepInterval-x.longStepDuration {
		return x.longStep
	}

	return x.step
}

// arrive brings a draft to one of the entries, by how many callers they have.
func (x *fleetSim) arrive(now time.Time) {
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
	promptStepsLeft := 2 + x.r.IntN(2)
	e.waiting[x.id] = &fleetRequest{entry: e, arrived: now, promptStepsLeft: promptStepsLeft, stepsLeft: promptStepsLeft + 1 + int(min(37, 12*math.Exp(0.7*x.r.NormFloat64())))}
	x.apply(now, e, e.Submit(now, dispatch.Request{ID: x.id, Service: "drafts", SoftDeadline: now.Add(x.latencyTarget), Deadline: now.Add(x.timeout)}))
}

func (x *fleetSim) apply(now time.Time, e *fleetEntry, actions []dispatch.Action) {
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
func (x *fleetSim) endStep(now time.Time) {
	for _, t := range x.target {
		var continuing []*fleetRequest

		for _, j := range t.running {
			if x.advance(now, j) {
				continuing = append(continuing, j)
			}
		}

		t.running = continuing
		t.queued = slices.DeleteFunc(t.queued, func(j *fleetRequest) bool { return x.cancelIfTimedOut(now, j) })

		for len(t.running) < t.Slots && len(t.queued) > 0 {
			j := t.queued[0]
			t.running, t.queued = append(t.running, j), t.queued[1:]

			if now.Sub(j.eventAt) > x.longStep {
				x.queuedLong++
			}
		}
	}
}

// cancelIfTimedOut reports whether the caller of a draft without an event has left.
func (x *fleetSim) cancelIfTimedOut(now time.Time, j *fleetRequest) bool {
	if j.started || now.Sub(j.arrived) <= x.timeout {
		return false
	}

	x.canceled++
	x.apply(now, j.entry, j.entry.Finish(now, j.placed, 1, dispatch.Canceled))

	return true
}

// advance gives a draft its step, and reports whether it needs more.
func (x *fleetSim) advance(now time.Time, j *fleetRequest) bool {
	if x.cancelIfTimedOut(now, j) {
		return false
	}

	j.stepsLeft--
	j.promptStepsLeft--

	if j.promptStepsLeft >= 0 {
		return true
	}

	gap := now.Sub(j.eventAt)

	if j.started {
		j.late = j.late || gap > x.maxGap+50*time.Millisecond
		j.entry.ReportEventGap(now, j.placed, float64(gap)/float64(x.maxGap))
	} else {
		j.started = true
		j.late = now.Sub(j.arrived) > x.latencyTarget
		j.entry.ReportFirstAnswer(j.placed, gap)
	}

	j.eventAt = now

	if j.stepsLeft > 0 {
		return true
	}

	if j.late {
		x.late++
	} else {
		x.inTime++
	}

	x.apply(now, j.entry, j.entry.Finish(now, j.placed, 1, dispatch.Completed))

	return false
}

// reportLoads lets each target whose turn it is tell its load to its users.
func (x *fleetSim) reportLoads(now time.Time, n, interval int) {
	for i, t := range x.target {
		if (n+i)%interval != 0 {
			continue
		}

		for _, e := range t.users {
			x.apply(now, e, e.ReportLoad(now, "drafts", t.ID, dispatch.Load{Running: len(t.running), Waiting: len(t.queued), Slowdown: 1}))
		}
	}
}

// maxToMeanPlaced is how many drafts the busiest target got, against the mean.
func (x *fleetSim) maxToMeanPlaced() float64 {
	maximum, total := 0, 0
	for _, t := range x.target {
		maximum, total = max(maximum, t.placed), total+t.placed
	}

	return float64(maximum) * float64(len(x.target)) / float64(total)
}

// queuedFraction is the part of the drafts that waited at a target for more than a step.
func (x *fleetSim) queuedFraction() float64 { return float64(x.queuedLong) / float64(x.arrived) }

// withoutShares is the same day where each entry uses all targets, and gives each as much as it
// seems to have room for.
func (f fleetConfig) withoutShares() fleetConfig {
	f.degree = f.targets
	f.settings.BorrowReserve = -float64(f.slots)

	return f
}

// Steps grow long near what 129 ranks bear behind 39 entries. Guards against entries that all
// choose the same targets as the freest, where drafts wait until their callers leave.
func TestRequestsDoNotQueueAtTargets(t *testing.T) {
	t.Parallel()

	f := busyFleet()
	with, without := f.simulate(1), f.withoutShares().simulate(1)
	t.Logf("waited at a target %.3f, %.3f where all entries use all targets; busiest %.2f, %.2f", with.queuedFraction(), without.queuedFraction(), with.maxToMeanPlaced(), without.maxToMeanPlaced())
	require.Less(t, with.queuedFraction(), 0.02)
	require.Less(t, with.queuedFraction(), without.queuedFraction()/4)
}
