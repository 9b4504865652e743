package dispatch_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dispatch"
)

// groupConfig is a lock-step group under load, as one entry drives it: a model in which all
// drafts get an event each step, and a step takes longer the more drafts run, the more of
// a prompt is read in it, and the worse the expert map fits the demand.
type groupConfig struct {
	ranks, slots int
	// fixed is what a step takes without drafts, perDraft what each draft of a rank adds,
	// perToken what a prompt's token does at a rank of its own.
	fixed, perRequest, perToken    time.Duration
	perSecond                      float64
	maxGap, latencyTarget, timeout time.Duration
	// skew is how many times longer than by a perfect map the experts take; for the last
	// shiftFor of each shiftEvery it is shifted, while copies make steps longer by the
	// part copying.
	skew, shiftedSkew            float64
	copyOverhead                 float64
	shiftInterval, shiftDuration time.Duration
	duration                     time.Duration
	settings                     dispatch.Settings
}

// busyGroup is a busy group whose demand shifts each three seconds.
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

// groupSim is one play of a groupDay.
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
	x := &groupSim{
		groupConfig: g, r: rand.New(rand.NewPCG(seed, 1)), waiting: map[uint64]*groupRequest{},
		d: &dispatch.Dispatcher{Settings: g.settings, Rand: rand.New(rand.NewPCG(seed, 2))},
	}

	var targets []dispatch.Target
	for i := range g.ranks {
		targets = append(targets, dispatch.Target{ID: string(rune('a' + i)), Service: "drafts", Group: "g", Slots: g.slots})
	}

	x.apply(startTime, x.d.Update(startTime, []dispatch.Service{{Name: "drafts", Streams: true}}, targets))
	x.run()

	return x
}

// run plays one step after the other, with the arrivals in between.
func (x *groupSim) run() {
	const tick = 20 * time.Millisecond

	end := startTime.Add(x.duration)
	arrives := startTime
	ticks := startTime

	for now := startTime; now.Before(end); {
		until := now.Add(x.stepLength(now))

		for at := arrives; at.Before(until); at = arrives {
			for ; ticks.Before(at); ticks = ticks.Add(tick) {
				x.apply(ticks, x.d.Tick(ticks))
			}

			x.arrive(at)
			arrives = at.Add(time.Duration(x.r.ExpFloat64() / x.perSecond * float64(time.Second)))
		}

		now = until
		x.endStep(now)
	}
}

func (x *groupSim) arrive(now time.Time) {
	x.id++
	x.waiting[x.id] = &groupRequest{
		arrived: now, tokens: min(3000, 550*math.Exp(0.9*x.r.NormFloat64())), eventsLeft: 1 + int(min(66, 20*math.Exp(0.7*x.r.NormFloat64()))),
	}
	x.apply(now, x.d.Submit(now, dispatch.Request{ID: x.id, Service: "drafts", SoftDeadline: now.Add(x.latencyTarget), Deadline: now.Add(x.timeout)}))
}

func (x *groupSim) apply(now time.Time, actions []dispatch.Action) {
	for _, a := range actions {
		w := x.waiting[a.ID]
		delete(x.waiting, a.ID)

		if !a.Placed {
			x.refused++

			continue
		}

		w.placed, w.eventAt = a, now
		x.running = append(x.running, w)
	}
}

// stepLength is how long the step that begins at now takes.
func (x *groupSim) stepLength(now time.Time) time.Duration {
	skew, factor := x.skew, 1.0
	if now.Sub(startTime)%x.shiftInterval > x.shiftInterval-x.shiftDuration {
		skew, factor = x.shiftedSkew, 1+x.copyOverhead
	}

	work := 0.0

	for _, w := range x.running {
		work += float64(x.perRequest)

		if !w.promptRead {
			work += w.tokens * float64(x.perToken)
		}
	}

	return time.Duration(factor * (float64(x.fixed) + work/float64(x.ranks)*(0.15+0.85*skew)))
}

// endStep ends a step: all drafts that were in it get an event.
func (x *groupSim) endStep(now time.Time) {
	var continuing []*groupRequest

	for _, w := range x.running {
		gap := now.Sub(w.eventAt)

		if w.promptRead {
			w.late = w.late || gap > x.maxGap
			x.d.ReportEventGap(now, w.placed, float64(gap)/float64(x.maxGap))
		} else {
			w.promptRead = true
			w.late = now.Sub(w.arrived) > x.latencyTarget
			x.d.ReportFirstAnswer(w.placed, gap)
		}

		w.eventAt = now

		if w.eventsLeft--; w.eventsLeft > 0 {
			continuing = append(continuing, w)

			continue
		}

		if w.late {
			x.late++
		} else {
			x.inTime++
		}
	}

	ended := x.running
	x.running = continuing

	for _, w := range ended {
		if w.eventsLeft == 0 {
			x.apply(now, x.d.Finish(now, w.placed, 1, dispatch.Completed))
		}
	}
}

// missedFraction is the share of drafts that are late or refused, in the mean of some days.
func (g groupConfig) missedFraction() float64 {
	const runs = 5

	fraction := 0.0

	for seed := range uint64(runs) {
		x := g.simulate(seed)
		fraction += float64(x.late+x.refused) / float64(x.inTime+x.late+x.refused) / runs
	}

	return fraction
}

// withoutStartLimit is the same day where no starts are held back.
func (g groupConfig) withoutStartLimit() groupConfig {
	g.settings.LongStepGap, g.settings.NoStartGap = math.MaxFloat64/2, math.MaxFloat64

	return g
}

// Demand shifts each three seconds in a busy group, and its steps are long until the next
// map comes. The bound on what targets are given fell for that half second, and rose by a
// small step after it, so that callers waited for seconds before a group that had room:
// one draft in five was late. At most one in ten may be.
func TestDemandShiftsMakeFewRequestsLate(t *testing.T) {
	t.Parallel()

	missedFraction := busyGroup().missedFraction()
	t.Logf("late or refused %.3f", missedFraction)
	require.Less(t, missedFraction, 0.1)
}

// The demand of a busy group shifts further than usual. Drafts that started in the long
// steps until the next map made these steps longer than callers bear, and every draft of
// the group late. Held back for that half second, most of them are in time, and so are
// those that run: a third of the late drafts at least are spared.
func TestStartLimitReducesLateRequestsInLongSteps(t *testing.T) {
	t.Parallel()

	g := busyGroup()
	g.shiftedSkew, g.perSecond = 4, 72
	with, without := g.missedFraction(), g.withoutStartLimit().missedFraction()
	t.Logf("late or refused %.3f, without holding back %.3f", with, without)
	require.Less(t, with, without*2/3)
}

// The same shifts in a group with a tenth less work, whose long steps everyone bears.
// Who is held back there is late for nothing: hardly anyone may be.
func TestStartLimitCostsLittleWhenLongStepsAreTolerable(t *testing.T) {
	t.Parallel()

	g := busyGroup()
	g.perSecond *= 0.9
	with, without := g.missedFraction(), g.withoutStartLimit().missedFraction()
	t.Logf("late or refused %.3f, without holding back %.3f", with, without)
	require.Less(t, with, without+0.02)
}
