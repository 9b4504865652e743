package orders

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// TestMain fixes the seed, unless the command line names another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}

	os.Exit(m.Run())
}

func newCore() *Core {
	c := &Core{AgentID: "agent-1", Incarnation: 3}
	c.Report(start, Report{BootID: "boot-1", Idle: true})
	c.Report(start, Report{BootID: "boot-1", Idle: true})

	return c
}

func order(number uint64, version string) Order {
	return Order{
		AgentID: "agent-1", Incarnation: 3, FencingNumber: number,
		Kind: KindLoadAdapter, Subject: "staves", Version: version,
	}
}

// An engine would run an old adapter or map that a later order had replaced. Orders
// come late, twice, with equal numbers, across restarts of agent and engine, or
// their answers are lost.
func TestSubmit(t *testing.T) {
	t.Parallel()

	done := Result{Done: true}
	send := Decision{Action: ActionSend, Highest: 5}
	rejected := func(cause Cause, highest uint64) Decision {
		return Decision{Action: ActionRefuse, Result: Result{Cause: cause}, Highest: highest}
	}
	// ran has order 5 sent and answered.
	ran := func(c *Core) {
		c.ObserveNumber(4)
		c.Submit(start, order(5, "v5"))
		c.Completed(start, 5, done)
	}
	running := func(c *Core) {
		c.ObserveNumber(4)
		c.Submit(start, order(5, "v5"))
	}
	late := start.Add(DefaultUnsettledTimeout)

	cases := []struct {
		name   string
		before func(c *Core)
		at     time.Time
		give   Order
		want   Decision
	}{
		{"number not learnt after a restart", func(*Core) {}, start, order(5, "v5"), rejected(CauseHighestUnknown, 0)},
		{"learnt from control", func(c *Core) { c.ObserveNumber(4) }, start, order(5, "v5"), send},
		{"learnt from the engine", func(c *Core) {
			c.Report(start, Report{BootID: "boot-1", Highest: 4, HasHighest: true})
		}, start, order(5, "v5"), send},
		{"learnt number used again", func(c *Core) { c.ObserveNumber(5) }, start, order(5, "v5"), rejected(CauseAnswerLost, 5)},
		{"lower than learnt", func(c *Core) { c.ObserveNumber(6) }, start, order(5, "v5"), rejected(CauseFenced, 6)},
		{"control lags behind the engine", func(c *Core) {
			c.Report(start, Report{BootID: "boot-1", Highest: 6, HasHighest: true})
			c.ObserveNumber(2)
		}, start, order(5, "v5"), rejected(CauseFenced, 6)},
		{"lower than one that ran", ran, start, order(4, "v4"), rejected(CauseFenced, 5)},
		{"resend after it ran", ran, start, order(5, "v5"), Decision{Action: ActionAnswer, Result: done, Highest: 5}},
		{"resend while it runs", running, start, order(5, "v5"), Decision{Action: ActionJoin, Highest: 5}},
		{"same number, other content, after", ran, start, order(5, "v6"), rejected(CauseConflict, 5)},
		{"same number, other content, during", running, start, order(5, "v6"), rejected(CauseConflict, 5)},
		{"higher while one runs", running, start, order(6, "v6"), rejected(CauseBusy, 6)},
		{"lower than one refused as busy", func(c *Core) {
			running(c)
			c.Submit(start, order(7, "v7"))
			c.Completed(start, 5, done)
		}, start, order(6, "v6"), rejected(CauseFenced, 7)},
		{"resend of one refused as busy", func(c *Core) {
			running(c)
			c.Submit(start, order(7, "v7"))
			c.Completed(start, 5, done)
		}, start, order(7, "v7"), Decision{Action: ActionSend, Highest: 7}},
		{"earlier incarnation", ran, start, func() Order {
			o := order(6, "v6")
			o.Incarnation = 2

			return o
		}(), rejected(CauseIncarnation, 5)},
		{"another agent", ran, start, func() Order {
			o := order(6, "v6")
			o.AgentID = "agent-2"

			return o
		}(), rejected(CauseIncarnation, 5)},
		{"no number", ran, start, order(0, "v"), rejected(CauseMalformed, 5)},
		{"after an order without answer", func(c *Core) {
			running(c)
			c.Unanswered(start, 5)
		}, late.Add(-1), order(6, "v6"), rejected(CauseUnsettled, 6)},
		{"long after an order without answer", func(c *Core) {
			running(c)
			c.Unanswered(start, 5)
		}, late, order(6, "v6"), Decision{Action: ActionSend, Highest: 6}},
		{"resend of an order without answer", func(c *Core) {
			running(c)
			c.Unanswered(start, 5)
		}, start, order(5, "v5"), Decision{Action: ActionAnswer, Result: Result{Cause: CauseUnanswered}, Highest: 5}},
		{"no answer, and a report on its way says idle", func(c *Core) {
			running(c)
			c.Unanswered(start.Add(1), 5)
			c.Report(start.Add(2), Report{BootID: "boot-1", Idle: true})
		}, start.Add(2), order(6, "v6"), rejected(CauseUnsettled, 6)},
		{"no answer, but the engine says it is idle", func(c *Core) {
			running(c)
			c.Unanswered(start.Add(1), 5)
			c.Report(start.Add(2), Report{BootID: "boot-1", Idle: true})
			c.Report(start.Add(3), Report{BootID: "boot-1", Idle: true})
		}, start.Add(3), order(6, "v6"), Decision{Action: ActionSend, Highest: 6}},
		{"no answer, but the engine refuses old numbers", func(c *Core) {
			running(c)
			c.Unanswered(start, 5)
			c.Report(start, Report{BootID: "boot-1", EnforcesFencing: true})
		}, start, order(6, "v6"), Decision{Action: ActionSend, Highest: 6}},
		{"engine restarted while it ran", func(c *Core) {
			running(c)
			c.Report(start, Report{BootID: "boot-2"})
		}, start, order(5, "v5"), Decision{Action: ActionAnswer, Result: Result{Cause: CauseEngineRestarted}, Highest: 5}},
		{"old number after the engine restarted", func(c *Core) {
			ran(c)
			c.Report(start, Report{BootID: "boot-2", HasHighest: true})
		}, start, order(4, "v4"), rejected(CauseFenced, 5)},
		{"late answer of an order given up", func(c *Core) {
			running(c)
			c.Unanswered(start, 5)
			c.Report(start, Report{BootID: "boot-1", Idle: true})
			c.Submit(start, order(6, "v6"))
			c.Completed(start, 5, done)
		}, start, order(6, "v6"), Decision{Action: ActionJoin, Highest: 6}},
		{"agent leaving", func(c *Core) {
			ran(c)
			c.Drain()
		}, start, order(6, "v6"), rejected(CauseLeaving, 5)},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			c := newCore()
			tc.before(c)
			require.Equal(t, tc.want, c.Submit(tc.at, tc.give))
		})
	}
}

// An engine would run an old version: the agent died while its engine, which
// ignores numbers, worked on an order, and a new agent sends the next one at once.
func TestRestartedAgentWaitsForUnsettledOrder(t *testing.T) {
	t.Parallel()

	c := &Core{AgentID: "agent-1", Incarnation: 3}
	c.Report(start, Report{BootID: "boot-1"})
	c.ObserveNumber(4)
	require.Equal(t, CauseUnsettled, c.Submit(start, order(5, "v5")).Result.Cause)
	require.Equal(t, ActionSend, c.Submit(start.Add(DefaultUnsettledTimeout), order(5, "v5")).Action)
}

// The engine's state would go back, under any order of events. The model engine
// ignores numbers, and carries out what it was sent at any later time, or never.
func TestOlderOrderNeverOverridesLaterOne(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		now := start
		c := newCore()
		c.ObserveNumber(0)

		var (
			atEngine     []uint64 // sent, not carried out
			applied      uint64
			unansweredAt time.Time
			idle         bool // what the next report will say
			incarnation  = uint64(3)
		)

		apply := func() {
			if len(atEngine) == 0 {
				return
			}

			n := atEngine[0]
			atEngine = atEngine[1:]

			require.GreaterOrEqual(t, n, applied, "an older order undid a later one")
			applied = n

			c.Completed(now, n, Result{Done: true})
		}

		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "s")) * time.Second)
			// An order that nobody waits for is carried out within SettleFor, or never.
			if len(atEngine) > 0 && c.Running() == 0 && now.Sub(unansweredAt) >= DefaultUnsettledTimeout {
				atEngine = nil
			}

			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0, 1, 2, 3, 4:
				o := order(rapid.Uint64Range(1, 30).Draw(t, "number"), "v")
				o.Incarnation = incarnation - rapid.Uint64Range(0, 1).Draw(t, "old")*rapid.Uint64Range(0, 1).Draw(t, "older")

				if c.Submit(now, o).Action == ActionSend {
					require.Empty(t, atEngine, "two orders at a time")
					atEngine = append(atEngine, o.FencingNumber)
				}
			case 5, 6:
				apply()
			case 7:
				if c.Running() != 0 {
					c.Unanswered(now, c.Running())
					unansweredAt = now
				}
			case 8:
				c.Report(now, Report{BootID: "boot-1", Idle: idle})
				idle = len(atEngine) == 0
			default:
				// The agent restarts and learns the number from control.
				if c.Running() != 0 {
					unansweredAt = now
				}

				highest := c.Highest()
				incarnation++
				c = &Core{AgentID: "agent-1", Incarnation: incarnation}
				c.Report(now, Report{BootID: "boot-1", Idle: idle})
				idle = len(atEngine) == 0
				c.ObserveNumber(highest)
			}
		}
	})
}
