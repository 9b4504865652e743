package dispatch_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dispatch"
)

// groupConfig describes a simulated lock-step group under load from one entry. All running
// requests get an event in each step. A step takes longer the more requests run, the more
// prompt tokens it reads, and the worse the expert map fits the demand.
type groupConfig struct {
	ranks, slots int
	// fixed is the duration of a step without requests, perRequest the time that each
	// request of a rank adds, and perToken the time that each prompt token adds, if a
	// single rank reads it.
	fixed, perRequest, perToken    time.Duration
	perSecond                      float64
	maxGap, latencyTarget, timeout time.Duration
	// skew is how many times longer the experts take than with a perfect expert map. During
	// the last shiftDuration of each shiftInterval it is shiftedSkew, and copying experts
	// lengthens the steps by the fraction copyOverhead.
	skew, shiftedSkew            float64
	copyOverhead                 float64
	shiftInterval, shiftDuration time.Duration
	duration                     time.Duration
	settings                     dispatch.Settings
}

// busyGroup is a busy group whose demand shifts about every three seconds.
func busyGroup() groupConfig {
	return groupConfig{
		ranks: 12, slots: 12, fixed: 29 * time.Millisecond, perRequest: 2200 * time.Microsecond, perToken: 13 * time.Microsecond,
		perSecond: 74, maxGap: 120 * time.Millisecond, latencyTarget: 400 * time.Millisecond, timeout: 2 * time.Second,
		skew: 1.25, shiftedSkew: 3.5, copyOverhead: 0.15, shiftInterval: 3200 * time.Millisecond, shiftDuration: 450 * time.Millisecond,
		duration: 60 * time.Second, settings: dispatch.DefaultSettings(),
	}
}

type groupRequest struct {
	arrived    time.Time
	tokens     float64
	eventsLeft int
	placed     dispatch.Action
	eventAt    time.Time
	late       bool
	promptRead bool
}

// groupSim is a run of the simulation.
type groupSim struct {
	groupConfig

	d       *dispatch.Dispatcher
	r       *rand.Rand
	id      uint64
	waiting map[uint64]*groupRequest
	running []*groupRequest

	inTime, late, refused int
}

func (g groupConfig) simulate(seed uint64) *groupSim {
	sim := &groupSim{
		groupConfig: g, r: rand.New(rand.NewPCG(seed, 1)), waiting: map[uint64]*groupRequest{},
		d: &dispatch.Dispatcher{Settings: g.settings, Rand: rand.New(rand.NewPCG(seed, 2))},
	}

	var targets []dispatch.Target
	for i := range g.ranks {
		targets = append(targets, dispatch.Target{ID: string(rune('a' + i)), Service: "drafts", Group: "g", Slots: g.slots})
	}

	sim.apply(startTime, sim.d.Update(startTime, []dispatch.Service{{Name: "drafts", Streams: true}}, targets))
	sim.run()

	return sim
}

// run simulates one step after another, with the arrivals in between.
func (sim *groupSim) run() {
	const tick = 20 * time.Millisecond

	end := startTime.Add(sim.duration)
	arrives := startTime
	ticks := startTime

	for now := startTime; now.Before(end); {
		until := now.Add(sim.stepLength(now))

		for at := arrives; at.Before(until); at = arrives {
			for ; ticks.Before(at); ticks = ticks.Add(tick) {
				sim.apply(ticks, sim.d.Tick(ticks))
			}

			sim.arrive(at)
			arrives = at.Add(time.Duration(sim.r.ExpFloat64() / sim.perSecond * float64(time.Second)))
		}

		now = until
		sim.endStep(now)
	}
}

func (sim *groupSim) arrive(now time.Time) {
	sim.id++
	sim.waiting[sim.id] = &groupRequest{
		arrived: now, tokens: min(3000, 550*math.Exp(0.9*sim.r.NormFloat64())), eventsLeft: 1 + int(min(66, 20*math.Exp(0.7*sim.r.NormFloat64()))),
	}
	sim.apply(now, sim.d.Submit(now, dispatch.Request{ID: sim.id, Service: "drafts", SoftDeadline: now.Add(sim.latencyTarget), Deadline: now.Add(sim.timeout)}))
}

func (sim *groupSim) apply(now time.Time, actions []dispatch.Action) {
	for _, a := range actions {
		req := sim.waiting[a.ID]
		delete(sim.waiting, a.ID)

		if !a.Placed {
			sim.refused++

			continue
		}

		req.placed, req.eventAt = a, now
		sim.running = append(sim.running, req)
	}
}

// stepLength returns the duration of the step that begins at now.
func (sim *groupSim) stepLength(now time.Time) time.Duration {
	skew, factor := sim.skew, 1.0
	if now.Sub(startTime)%sim.shiftInterval > sim.shiftInterval-sim.shiftDuration {
		skew, factor = sim.shiftedSkew, 1+sim.copyOverhead
	}

	work := 0.0

	for _, req := range sim.running {
		work += float64(sim.perRequest)

		if !req.promptRead {
			work += req.tokens * float64(sim.perToken)
		}
	}

	return time.Duration(factor * (float64(sim.fixed) + work/float64(sim.ranks)*(0.15+0.85*skew)))
}

// endStep ends a step, in which each running request gets an event.
func (sim *groupSim) endStep(now time.Time) {
	var continuing []*groupRequest

	for _, req := range sim.running {
		gap := now.Sub(req.eventAt)

		if req.promptRead {
			req.late = req.late || gap > sim.maxGap
			sim.d.ReportEventGap(now, req.placed, float64(gap)/float64(sim.maxGap))
		} else {
			req.promptRead = true
			req.late = now.Sub(req.arrived) > sim.latencyTarget
			sim.d.ReportFirstAnswer(req.placed, gap)
		}

		req.eventAt = now

		if req.eventsLeft--; req.eventsLeft > 0 {
			continuing = append(continuing, req)

			continue
		}

		if req.late {
			sim.late++
		} else {
			sim.inTime++
		}
	}

	ended := sim.running
	sim.running = continuing

	for _, req := range ended {
		if req.eventsLeft == 0 {
			sim.apply(now, sim.d.Finish(now, req.placed, 1, dispatch.Completed))
		}
	}
}

// missedFraction returns the fraction of requests that are late or refused, averaged over
// several runs.
func (g groupConfig) missedFraction() float64 {
	const runs = 5

	fraction := 0.0

	for seed := range uint64(runs) {
		sim := g.simulate(seed)
		fraction += float64(sim.late+sim.refused) / float64(sim.inTime+sim.late+sim.refused) / runs
	}

	return fraction
}

// withoutStartLimit returns the configuration in which no starts are delayed.
func (g groupConfig) withoutStartLimit() groupConfig {
	g.settings.LongStepGap, g.settings.NoStartGap = math.MaxFloat64/2, math.MaxFloat64

	return g
}

// In a busy group, demand shifts about every three seconds, and steps are long until the
// next expert map is active half a second later. Guards against a concurrency limit that
// falls during that time and rises too slowly afterwards: requests waited for seconds
// although the group had capacity, and one in five was late. At most one in ten may be.
func TestDemandShiftsMakeFewRequestsLate(t *testing.T) {
	t.Parallel()

	missedFraction := busyGroup().missedFraction()
	t.Logf("late or refused: %.3f", missedFraction)
	require.Less(t, missedFraction, 0.1)
}

// The demand of a busy group shifts further than normal. Requests that started in the long
// steps before the next expert map lengthened these steps beyond what callers accept, and
// made every request of the group late. With starts delayed for that half second, at least
// a third of the late requests must be avoided.
func TestStartLimitReducesLateRequestsInLongSteps(t *testing.T) {
	t.Parallel()

	g := busyGroup()
	g.shiftedSkew, g.perSecond = 4, 72
	with, without := g.missedFraction(), g.withoutStartLimit().missedFraction()
	t.Logf("late or refused: %.3f, without start limit: %.3f", with, without)
	require.Less(t, with, without*2/3)
}

// The same shifts occur in a group with 10% less load, where the long steps are within what
// callers accept. Delaying starts makes requests late there without a benefit, so hardly
// any may be delayed.
func TestStartLimitCostsLittleWhenLongStepsAreTolerable(t *testing.T) {
	t.Parallel()

	g := busyGroup()
	g.perSecond *= 0.9
	with, without := g.missedFraction(), g.withoutStartLimit().missedFraction()
	t.Logf("late or refused: %.3f, without start limit: %.3f", with, without)
	require.Less(t, with, without+0.02)
}
