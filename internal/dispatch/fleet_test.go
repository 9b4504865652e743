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

// fleetConfig describes a simulated lock-step group under load from many entries. Each
// entry sees the requests that it has placed itself, and those of the other entries only
// through the periodic load reports of the targets.
type fleetConfig struct {
	entries, zones, targets, slots, subsetSize int
	perSecond                                  float64
	// callerSigma is the standard deviation of the logarithm of the number of callers per
	// entry.
	callerSigma float64
	// step is the duration of a step, longStep the duration during the last
	// longStepDuration of each longStepInterval.
	step, longStep, longStepInterval, longStepDuration time.Duration
	maxGap, latencyTarget, timeout                     time.Duration
	// reportInterval is the interval at which a target reports its load to the entries that use
	// it.
	reportInterval time.Duration
	duration       time.Duration
	settings       dispatch.Settings
	// levels is set for a prioritized service.
	levels *levelLoad
	// skew is set if callers open their connections unevenly.
	skew *skewLoad
}

// busyFleet is a group of 129 ranks with 39 entries, close to its capacity.
func busyFleet() fleetConfig {
	return fleetConfig{
		entries: 39, zones: 5, targets: 129, slots: 6, subsetSize: 20, perSecond: 260, callerSigma: 0.4,
		step: 105 * time.Millisecond, longStep: 210 * time.Millisecond, longStepInterval: 3600 * time.Millisecond, longStepDuration: 1200 * time.Millisecond,
		maxGap: 200 * time.Millisecond, latencyTarget: 600 * time.Millisecond, timeout: 2400 * time.Millisecond,
		reportInterval: 100 * time.Millisecond, duration: 6 * time.Second, settings: dispatch.DefaultSettings(),
	}
}

// fleetRequest is a request in the simulated fleet.
type fleetRequest struct {
	entry            *fleetEntry
	placed           dispatch.Action
	arrived, eventAt time.Time
	// stepsLeft is the number of remaining steps, promptStepsLeft the number of steps until
	// the first event.
	stepsLeft, promptStepsLeft int
	late, started              bool
	caller                     levelCaller
	counts                     *skewCounts
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
	usedBy          []*fleetEntry
	placed          int
}

// fleetSim is a run of the simulation.
type fleetSim struct {
	fleetConfig

	r       *rand.Rand
	id      uint64
	entry   []*fleetEntry
	target  []*fleetTarget
	byID    map[string]*fleetTarget
	arrived int
	// queuedLong counts the requests that waited at a target for longer than a step.
	inTime, late, refused, canceled, queuedLong int
	levelSim
	skewed *skewSim
}

func (f fleetConfig) simulate(seed uint64) *fleetSim {
	sim := &fleetSim{fleetConfig: f, r: rand.New(rand.NewPCG(seed, 1)), byID: map[string]*fleetTarget{}}
	if f.skew != nil {
		sim.skewed = newSkewSim(*f.skew, f.entries)
	}

	entries, nodes := sim.nodes("e", f.entries), sim.nodes("t", f.targets)
	subsets := shares.Subsetter{Size: f.subsetSize}.Match(entries, nodes)

	for i, p := range nodes {
		t := &fleetTarget{Target: dispatch.Target{ID: p.ID, Service: "drafts", Zone: p.Zone, Group: "g", Slots: f.slots}}
		sim.target, sim.byID[nodes[i].ID] = append(sim.target, t), t
	}

	for _, p := range entries {
		e := &fleetEntry{
			zone: p.Zone, weight: math.Exp(f.callerSigma * sim.r.NormFloat64()), waiting: map[uint64]*fleetRequest{},
			subset:     subsets.Targets(p.ID),
			Dispatcher: &dispatch.Dispatcher{Settings: f.settings, Zone: p.Zone, Rand: rand.New(rand.NewPCG(seed, sim.r.Uint64()))},
		}

		var targets []dispatch.Target

		for _, t := range sim.target {
			if s, ok := e.subset[t.ID]; ok {
				t.usedBy = append(t.usedBy, e)
				own := t.Target
				own.Share = s
				targets = append(targets, own)
			}
		}

		sim.entry = append(sim.entry, e)
		sim.apply(startTime, e, e.Update(startTime, []dispatch.Service{{Name: "drafts", Streams: true, Prioritized: f.levels != nil}}, targets))
	}

	sim.run()

	return sim
}

func (sim *fleetSim) nodes(kind string, n int) []shares.Node {
	var out []shares.Node
	for i := range n {
		out = append(out, shares.Node{ID: fmt.Sprintf("%s%03d", kind, i), Zone: fmt.Sprint(i % sim.zones)})
	}

	return out
}

func (sim *fleetSim) run() {
	const tick = 5 * time.Millisecond

	stepAt := startTime.Add(sim.step)

	for n := range int(sim.duration / tick) {
		now := startTime.Add(time.Duration(n) * tick)

		for range sim.poisson(sim.perSecond * sim.skewed.loadAt(now) * tick.Seconds()) {
			sim.arrive(now)
		}

		sim.skewed.tick(now)

		if !now.Before(stepAt) {
			sim.endStep(now)

			stepAt = now.Add(sim.stepLength(now))
		}

		sim.reportLoads(now, n, int(sim.reportInterval/tick))
		sim.exchangeLevels(now, n, tick)

		if n%4 == 0 {
			for _, e := range sim.entry {
				sim.apply(now, e, e.Tick(now))
			}
		}
	}
}

func (sim *fleetSim) poisson(mean float64) int { return poisson(sim.r, mean) }

// poisson returns a random number of events whose mean number is given.
func poisson(r *rand.Rand, mean float64) int {
	n, p, threshold := 0, r.Float64(), math.Exp(-mean)
	for ; p > threshold; n++ {
		p *= r.Float64()
	}

	return n
}

func (sim *fleetSim) stepLength(now time.Time) time.Duration {
	if now.Sub(startTime)%sim.longStepInterval > sim.longStepInterval-sim.longStepDuration {
		return sim.longStep
	}

	return sim.step
}

// arrive submits a new request.
func (sim *fleetSim) arrive(now time.Time) {
	sim.arrived++
	promptStepsLeft := 2 + sim.r.IntN(2)
	req := &fleetRequest{arrived: now, counts: sim.skewed.counts(now, sim.timeout), promptStepsLeft: promptStepsLeft, stepsLeft: promptStepsLeft + 1 + int(min(37, 12*math.Exp(0.7*sim.r.NormFloat64())))}
	req.counts.arrived++
	sim.newCaller(req)
	sim.submit(now, req)
}

// submit submits a request to an entry chosen in proportion to its callers.
func (sim *fleetSim) submit(now time.Time, req *fleetRequest) {
	total := 0.0
	for _, e := range sim.entry {
		total += e.weight
	}

	at := sim.r.Float64() * total
	i := slices.IndexFunc(sim.entry, func(e *fleetEntry) bool {
		at -= e.weight

		return at <= 0
	})

	sim.connect(now, sim.skewed.choose(now, sim.r, max(i, 0)), 0, req)
}

// connect submits a request to entry i on a new connection. attempt counts those that were declined.
func (sim *fleetSim) connect(now time.Time, i, attempt int, req *fleetRequest) {
	e := sim.entry[i]

	redial := func(now time.Time) {
		sim.connect(now, (i+1+sim.r.IntN(len(sim.entry)-1))%len(sim.entry), attempt+1, req)
	}
	if !sim.skewed.accept(now, i, e.Waiting(), attempt, req.counts, redial) {
		return
	}

	sim.id++
	req.entry = e
	e.waiting[sim.id] = req
	sim.apply(now, e, e.Submit(now, dispatch.Request{
		ID: sim.id, Service: "drafts", Workspace: fmt.Sprint(req.caller.workspace), Priority: uint32(req.caller.level), Level: req.caller.level,
		SoftDeadline: now.Add(sim.latencyTarget), Deadline: req.arrived.Add(sim.timeout),
	}))
}

func (sim *fleetSim) apply(now time.Time, e *fleetEntry, actions []dispatch.Action) {
	for _, a := range actions {
		req := e.waiting[a.ID]
		delete(e.waiting, a.ID)

		if !a.Placed {
			sim.refused++
			sim.skewed.refuse(now, slices.Index(sim.entry, e), req.counts)
			req.counts = &skewCounts{} // A retry is not the first attempt.
			sim.refuse(now, req, a)

			continue
		}

		req.placed, req.eventAt = a, now
		t := sim.byID[a.Target.ID]
		t.queued = append(t.queued, req)
		t.placed++
	}
}

// endStep ends a step of the whole group. All running requests advance, and requests queued
// at a target take its free slots.
func (sim *fleetSim) endStep(now time.Time) {
	for _, t := range sim.target {
		var continuing []*fleetRequest

		for _, req := range t.running {
			if sim.advance(now, req) {
				continuing = append(continuing, req)
			}
		}

		t.running = continuing
		t.queued = slices.DeleteFunc(t.queued, func(req *fleetRequest) bool { return sim.cancelIfTimedOut(now, req) })

		for len(t.running) < t.Slots && len(t.queued) > 0 {
			req := t.queued[0]
			t.running, t.queued = append(t.running, req), t.queued[1:]

			if now.Sub(req.eventAt) > sim.longStep {
				sim.queuedLong++
			}
		}
	}
}

// cancelIfTimedOut cancels a request without any event if its deadline has passed, and
// reports whether it did.
func (sim *fleetSim) cancelIfTimedOut(now time.Time, req *fleetRequest) bool {
	if req.started || now.Sub(req.arrived) <= sim.timeout {
		return false
	}

	sim.canceled++
	sim.skewed.refuse(now, slices.Index(sim.entry, req.entry), req.counts)
	sim.apply(now, req.entry, req.entry.Finish(now, req.placed, 1, dispatch.Canceled))

	return true
}

// advance advances a request by one step and reports whether it needs more.
func (sim *fleetSim) advance(now time.Time, req *fleetRequest) bool {
	if sim.cancelIfTimedOut(now, req) {
		return false
	}

	req.stepsLeft--
	req.promptStepsLeft--

	if req.promptStepsLeft >= 0 {
		return true
	}

	gap := now.Sub(req.eventAt)

	if req.started {
		req.late = req.late || gap > sim.maxGap+50*time.Millisecond
		req.entry.ReportEventGap(now, req.placed, float64(gap)/float64(sim.maxGap))
	} else {
		req.started = true
		req.late = now.Sub(req.arrived) > sim.latencyTarget
		req.entry.ReportFirstAnswer(req.placed, gap)
	}

	req.eventAt = now

	if req.stepsLeft > 0 {
		return true
	}

	if req.late {
		sim.late++
	} else {
		sim.inTime++
	}

	req.counts.finish(req.late)
	sim.recordAnswer(req)

	sim.apply(now, req.entry, req.entry.Finish(now, req.placed, 1, dispatch.Completed))

	return false
}

// reportLoads reports the loads of the targets that are due to the entries that use them.
func (sim *fleetSim) reportLoads(now time.Time, n, interval int) {
	for i, t := range sim.target {
		if (n+i)%interval != 0 {
			continue
		}

		for _, e := range t.usedBy {
			sim.apply(now, e, e.ReportLoad(now, "drafts", t.ID, dispatch.Load{Running: len(t.running), Waiting: len(t.queued), Slowdown: 1}))
		}
	}
}

// maxToMeanPlaced returns the maximum number of requests placed at a target, relative to
// the mean.
func (sim *fleetSim) maxToMeanPlaced() float64 {
	maximum, total := 0, 0
	for _, t := range sim.target {
		maximum, total = max(maximum, t.placed), total+t.placed
	}

	return float64(maximum) * float64(len(sim.target)) / float64(total)
}

// queuedFraction returns the fraction of requests that waited at a target for longer than a
// step.
func (sim *fleetSim) queuedFraction() float64 { return float64(sim.queuedLong) / float64(sim.arrived) }

// withoutShares returns the configuration in which each entry uses all targets, and fills
// each of them up to the capacity it sees.
func (f fleetConfig) withoutShares() fleetConfig {
	f.subsetSize = f.targets
	f.settings.BorrowReserve = -float64(f.slots)

	return f
}

// Steps are long because 129 ranks run close to their capacity, with 39 entries. Guards
// against all entries choosing the same targets as the least loaded, where requests then
// wait until their callers disconnect.
func TestRequestsDoNotQueueAtTargets(t *testing.T) {
	t.Parallel()

	f := busyFleet()
	with, without := f.simulate(1), f.withoutShares().simulate(1)
	t.Logf("queued at a target for longer than a step: %.3f, %.3f if all entries use all targets; maximum to mean placed: %.2f, %.2f", with.queuedFraction(), without.queuedFraction(), with.maxToMeanPlaced(), without.maxToMeanPlaced())
	require.Less(t, with.queuedFraction(), 0.02)
	require.Less(t, with.queuedFraction(), without.queuedFraction()/4)
}
