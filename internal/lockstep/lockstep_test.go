package lockstep_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/lockstep"
)

var smallShape = lockstep.Shape{Sets: 2, Experts: 12, Ranks: 4, Slots: 5, SpareSlots: 2}

// runDirector runs a directing agent until it is killed or d has passed.
func runDirector(g *fakeGroup, killAt int, d time.Duration) {
	runAgent(&agent{group: g, killAt: killAt}, d)
}

func runAgent(a *agent, d time.Duration) {
	g := a.group
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()

	done := make(chan struct{})

	go func() {
		defer close(done)

		cfg := lockstep.DefaultSettings()
		cfg.CountAggregators = g.countAggregators
		(&lockstep.Director{Shape: g.shape, Group: a.groupClient(), Settings: cfg, Logger: slog.New(slog.NewTextHandler(g.logs, nil))}).Run(ctx)
	}()

	for a.alive(false) && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}

	if ctx.Err() == nil {
		// The agent was killed: whatever it still does has no effect.
		return
	}

	<-done
}

// requireConsistent checks the invariants that hold some time after the last fault.
func (g *fakeGroup) requireConsistent(t *testing.T, what string) {
	t.Helper()

	g.mu.Lock()
	defer g.mu.Unlock()

	require.Empty(t, g.violation, what)

	for i, k := range g.ranks {
		require.False(t, k.holds, "%s: rank %d still holds step %d", what, i, k.heldStep)
	}
}

// A few experts get most of the load under the initial map. The director must detect that and
// switch to a map that balances the ranks.
func TestDirectorBalancesRanks(t *testing.T) {
	t.Parallel()

	synctest.Test(t, func(t *testing.T) {
		g := newGroup(smallShape, skewed(smallShape, 1))

		ctx, stop := context.WithCancel(t.Context())
		go g.run(ctx)

		runDirector(g, 0, 5*time.Second)
		g.requireConsistent(t, "after 5 s")

		m := g.currentMap()
		before := lockstep.InitialMap(smallShape.Sets, smallShape.Experts, smallShape.Ranks).Skew(g.weight)
		require.Greater(t, before, 1.4)
		require.Less(t, m.Skew(g.weight), 1.1)
		require.NotZero(t, g.ranks[0].version)
		require.Less(t, g.heldTime, 50*time.Millisecond, "switches hardly delay steps")
		stop()
		time.Sleep(10 * time.Second)
	})
}

// A rank of a large group becomes slow. The director polls a few ranks only, which sum the
// counts of the others. Guards against slowdowns that are not reported through them, with which
// the whole group waits for the slow rank until it recovers.
func TestDirectorDetectsSlowRankThroughAggregators(t *testing.T) {
	t.Parallel()

	for rank := range smallShape.Ranks {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(smallShape, skewed(smallShape, 1))
			g.countAggregators = 2

			var logged bytes.Buffer

			g.logs = &logged
			slowdowns := make(lockstep.Slowdowns, smallShape.Ranks)
			slowdowns[rank] = 5

			ctx, stop := context.WithCancel(t.Context())
			go g.run(ctx)

			var balanced lockstep.Map

			time.AfterFunc(5*time.Second, func() {
				balanced = g.currentMap()

				g.mu.Lock()
				defer g.mu.Unlock()

				g.ranks[rank].slowdown = 5
			})
			runDirector(g, 0, 10*time.Second)
			g.requireConsistent(t, "after the rank became slow")
			require.Equal(t, 1, strings.Count(logged.String(), "A rank is slow"), "reported once, with its rank")
			require.Contains(t, logged.String(), fmt.Sprintf("rank=%d pace=5", rank))
			require.Less(t, g.currentMap().SkewWithSlowdowns(g.weight, slowdowns), balanced.SkewWithSlowdowns(g.weight, slowdowns)*0.75)
			stop()
			time.Sleep(10 * time.Second)
		})
	}
}

// currentMap returns the map that the ranks use.
func (g *fakeGroup) currentMap() lockstep.Map {
	g.mu.Lock()
	defer g.mu.Unlock()

	m := make(lockstep.Map, g.shape.Sets)
	for s := range m {
		for _, k := range g.ranks {
			m[s] = append(m[s], k.expertSets[s])
		}
	}

	return m
}

// The directing agent is killed before each of its orders in turn: while ranks copy experts,
// while a step is held, between two arm orders, and before and after the hold is lifted. Its
// successor continues from the state that it finds. Guards against a step with two maps and
// against a step that stays held.
func TestDirectorKilledBeforeEachOrder(t *testing.T) {
	t.Parallel()

	for killAt := 1; killAt <= 34; killAt++ {
		t.Run(fmt.Sprint(killAt), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(smallShape, skewed(smallShape, 2))

				ctx, stop := context.WithCancel(t.Context())
				go g.run(ctx)

				runDirector(g, killAt, 6*time.Second)
				time.Sleep(500 * time.Millisecond)
				runDirector(g, 0, 6*time.Second)
				g.requireConsistent(t, fmt.Sprintf("killed before order %d", killAt))
				require.NotZero(t, g.ranks[0].version, "the successor still switches maps")
				require.Less(t, g.heldTime, 1200*time.Millisecond, "500 ms without a director, plus the release by its successor")
				stop()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// Each order in turn is lost, loses its answer, or is carried out seconds after newer ones, in
// some runs with the director killed as well. Guards against a late arm order that switches a
// single rank, and a late hold order that stops the group.
func TestSingleOrderLostOrLate(t *testing.T) {
	t.Parallel()

	for _, f := range []fault{faultLost, faultAnswerLost, faultLate, faultLateAccepted} {
		for n := 1; n <= 32; n++ {
			for _, killAfter := range []int{0, 1, 5} {
				t.Run(fmt.Sprintf("%d at %d, killed after %d", f, n, killAfter), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { testOrderFault(t, newGroup(smallShape, skewed(smallShape, 3)), f, n, killAfter) })
				})
			}
		}
	}
}

func testOrderFault(t *testing.T, g *fakeGroup, f fault, n, killAfter int) {
	t.Helper()

	g.fault = func(i int) fault {
		if i == n {
			return f
		}

		return faultNone
	}

	ctx, stop := context.WithCancel(t.Context())
	go g.run(ctx)

	if killAfter > 0 {
		runDirector(g, n+killAfter, 6*time.Second)
		time.Sleep(300 * time.Millisecond)
	}

	runDirector(g, 0, 6*time.Second)
	g.requireConsistent(t, "after the faulty order")
	stop()
	time.Sleep(10 * time.Second)
}

// The director is killed just after it sent the order to lift the hold. That order is still in
// flight while its successor, which sees the step held, disarms the ranks one after the other.
// Guards against the step beginning while only some of them are disarmed.
func TestLateGoWhileSuccessorDisarms(t *testing.T) {
	t.Parallel()

	const goOrder = 3*4 + 2 // the order after claiming, preparing, holding and arming four ranks

	for delayMillis := 440; delayMillis <= 560; delayMillis++ {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(smallShape, skewed(smallShape, 3))
			g.lateDelay = time.Duration(delayMillis) * time.Millisecond
			g.orderDelayPerRank = 6 * time.Millisecond

			testOrderFault(t, g, faultLateAccepted, goOrder, 1)
		})
	}
}

// A third of all orders is lost or late, in every way, while directors are killed repeatedly
// and the group is idle at times. With an idle group, the step of a late order may not have
// begun yet.
func TestManyOrdersLostOrLate(t *testing.T) {
	t.Parallel()

	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(smallShape, skewed(smallShape, seed))
				// Orders draw random numbers from another goroutine than the test.
				faults, r := newRandom(seed), newRandom(^seed)
				g.fault = func(int) fault {
					if faults.IntN(3) > 0 {
						return faultNone
					}

					return fault(1 + faults.IntN(4))
				}

				ctx, stop := context.WithCancel(t.Context())
				go g.run(ctx)

				for range 6 {
					g.setIdle(r.IntN(3) == 0)
					runDirector(g, 5+r.IntN(40), 3*time.Second)
					time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
				}

				g.mu.Lock()
				g.fault = func(int) fault { return faultNone }
				g.mu.Unlock()
				g.setIdle(false)
				runDirector(g, 0, 12*time.Second)
				g.requireConsistent(t, "after all faults")
				stop()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// The group loses a rank during a switch and is formed again: map 0 is in use, and nothing is
// prepared, armed or held. Orders of the earlier epoch must have no effect.
func TestNewEpochDuringSwitch(t *testing.T) {
	t.Parallel()

	for after := 1; after <= 24; after++ {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(smallShape, skewed(smallShape, 4))

			ctx, stop := context.WithCancel(t.Context())
			go g.run(ctx)

			g.fault = func(i int) fault {
				if i == after {
					go g.restart()
				}

				return faultNone
			}

			runDirector(g, 0, 2*time.Second)

			// The epoch may also begin while a later director claims the group.
			for range 4 {
				runDirector(g, 0, 3*time.Second)
			}

			g.requireConsistent(t, fmt.Sprintf("new epoch after order %d", after))
			require.NotZero(t, g.ranks[0].version)
			stop()
			time.Sleep(10 * time.Second)
		})
	}
}

// requireMapFollowsShift shifts demand and requires a new map to be in use within maxTime.
func requireMapFollowsShift(t *testing.T, g *fakeGroup, maxTime time.Duration) {
	t.Helper()
	require.LessOrEqual(t, timeToFollowShift(t, g), maxTime)
}

// timeToFollowShift shifts demand and returns how long it takes until a new map is in use.
func timeToFollowShift(t *testing.T, g *fakeGroup) time.Duration {
	t.Helper()

	const (
		pollInterval = time.Millisecond
		settleTime   = 10 * time.Second
	)

	ctx, stop := context.WithCancel(t.Context())
	go g.run(ctx)

	go runDirector(g, 0, 5*time.Second+settleTime)
	time.Sleep(5 * time.Second)

	g.mu.Lock()
	g.weight = skewed(smallShape, 77)
	g.mu.Unlock()

	before, began := g.version(), time.Now()
	for g.version() == before && time.Since(began) < settleTime/2 {
		time.Sleep(pollInterval)
	}

	took := time.Since(began)

	time.Sleep(settleTime)
	stop()
	time.Sleep(10 * time.Second)
	g.requireConsistent(t, "after the shift")

	return took
}

// version returns the version of the map in use.
func (g *fakeGroup) version() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.ranks[0].version
}

// Demand shifts to other experts. Guards against counts of the last second that hide the shift
// for as long: the new map must be in use within 600 ms, which includes a few copies.
func TestMapFollowsDemandShift(t *testing.T) {
	t.Parallel()

	synctest.Test(t, func(t *testing.T) {
		requireMapFollowsShift(t, newGroup(smallShape, skewed(smallShape, 5)), 600*time.Millisecond)
	})
}

// oneInTenOrdersLate leaves one order in ten unanswered and carries it out later.
func oneInTenOrdersLate(seed uint64) func(int) fault {
	r := newRandom(seed)

	return func(int) fault {
		if r.IntN(10) > 0 {
			return faultNone
		}

		return faultLate
	}
}

// One order in ten is unanswered and carried out two seconds later. Guards against waiting for
// a fixed timeout for each order, which kept the wrong map in use for a second: the map must
// follow demand nearly as soon as without lost answers.
func TestMapFollowsDemandShiftWithUnansweredOrders(t *testing.T) {
	t.Parallel()

	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(smallShape, skewed(smallShape, 5))
				g.fault = oneInTenOrdersLate(seed)

				requireMapFollowsShift(t, g, 700*time.Millisecond)
			})
		})
	}
}

// The steps of a busy group take nearly as long as the event gap that callers tolerate, because
// a shift of demand has doubled their duration, and one order in ten is unanswered. Guards
// against switches that hold their step until the last rank is armed: the added delay made
// every stream of the group late.
func TestSwitchRarelyHoldsLongSteps(t *testing.T) {
	t.Parallel()

	const (
		// maxHold is the tolerable delay of a step of 100 ms if callers tolerate an event gap
		// of 120 ms.
		maxHold = 20 * time.Millisecond
		shifts  = 20
	)

	synctest.Test(t, func(t *testing.T) {
		g := newGroup(smallShape, skewed(smallShape, 5))
		g.stepTime = 100 * time.Millisecond
		g.orderDelayPerRank = 3 * time.Millisecond
		g.fault = oneInTenOrdersLate(1)

		ctx, stop := context.WithCancel(t.Context())
		go g.run(ctx)

		go runDirector(g, 0, 3*shifts*time.Second)

		for seed := range uint64(shifts) {
			time.Sleep(3 * time.Second)
			g.mu.Lock()
			g.weight = skewed(smallShape, seed)
			g.mu.Unlock()
		}

		g.mu.Lock()
		long := slices.DeleteFunc(slices.Clone(g.holdTimes), func(d time.Duration) bool { return d <= maxHold })
		version := g.ranks[0].version
		g.mu.Unlock()

		time.Sleep(8 * time.Second)
		stop()
		time.Sleep(10 * time.Second)
		g.requireConsistent(t, "after all shifts")
		require.GreaterOrEqual(t, version, uint64(shifts))
		require.LessOrEqual(t, len(long), shifts/10, "one switch in ten may lose two answers: %v", long)
	})
}

// The links of a zone lose packets, and one poll in seven of a rank on another VM is not
// answered in time. Guards against dropping polls that lack one rank, and against polling all
// ranks again until all answer at once: the map then followed demand a second later, while the
// step of the switch was held. It must usually follow as soon as without lost packets.
func TestMapFollowsDemandShiftWithLostPolls(t *testing.T) {
	t.Parallel()

	const seeds = 30

	var times []time.Duration

	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			g := newGroup(smallShape, skewed(smallShape, 5))

			// Each rank draws from its own random source, because concurrent polls arrive in
			// any order.
			var losses []*rand.Rand
			for rank := range smallShape.Ranks {
				losses = append(losses, newRandom(seed*100+uint64(rank)))
			}

			g.pollLost = func(rank int) bool { return rank > 0 && losses[rank].IntN(7) == 0 }
			times = append(times, timeToFollowShift(t, g))
		})
	}

	slices.Sort(times)
	require.LessOrEqual(t, times[seeds/2], 600*time.Millisecond, "median, with the bound for no lost polls: %v", times)
	require.LessOrEqual(t, times[seeds-1], 2*time.Second, "maximum: %v", times)
}

// The directing VM becomes slow, and polls take ten times as long as before. The poll timeout
// is estimated from answered polls. Guards against a timeout that never grows because no poll
// is answered in time, with which the director received no reports as long as the VM was slow.
func TestPollTimeoutAdaptsToSlowerPolls(t *testing.T) {
	t.Parallel()

	synctest.Test(t, func(t *testing.T) {
		g := newGroup(smallShape, skewed(smallShape, 5))
		g.pollTime = 4 * time.Millisecond

		time.AfterFunc(4*time.Second, func() {
			g.mu.Lock()
			defer g.mu.Unlock()

			g.pollTime = 60 * time.Millisecond
		})

		requireMapFollowsShift(t, g, 3*time.Second)
	})
}

// The VM of the director of a large group is unresponsive for a moment, and the standby begins
// to release the hold with a higher fencing number, but gets no further. Guards against a
// director that resends its refused order to lift the hold for two seconds, while the group is
// stopped and callers disconnect: it must release the hold itself immediately.
func TestFencedDirectorReleasesHold(t *testing.T) {
	t.Parallel()

	synctest.Test(t, func(t *testing.T) {
		g := newGroup(smallShape, skewed(smallShape, 3))
		raised := false

		// fault is called before each order, with g.mu held.
		g.fault = func(int) fault {
			for _, k := range g.ranks {
				if k.armed == 0 {
					return faultNone
				}
			}

			if !raised {
				raised = true

				for _, k := range g.ranks {
					k.fence = 1 << 40
				}
			}

			return faultNone
		}

		ctx, stop := context.WithCancel(t.Context())
		go g.run(ctx)
		runDirector(g, 0, 6*time.Second)

		g.mu.Lock()
		require.True(t, raised)
		require.Less(t, g.heldTime, 500*time.Millisecond)
		g.mu.Unlock()
		g.requireConsistent(t, "after the director was fenced")
		stop()
		time.Sleep(10 * time.Second)
	})
}
