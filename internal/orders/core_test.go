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

// TestMain fixes the random seed. The flag -rapid.seed overrides it.
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

// Guards against an engine that runs an old adapter or map which a later order had
// replaced. Orders arrive late, twice or with equal numbers, across restarts of the
// agent and the engine, and answers are lost.
func TestSubmit(t *testing.T) {
	t.Parallel()

	done := Result{Done: true}
	send := Decision{Action: ActionSend, Highest: 5}
	rejected := func(cause Cause, highest uint64) Decision {
		return Decision{Action: ActionReject, Result: Result{Cause: cause}, Highest: highest}
	}
	// ran submits order 5 and completes it.
	ran := func(c *Core) {
		c.ObserveNumber(4)
		c.Submit(start, order(5, "v5"))
		c.Completed(start, 5, done)
	}
	running := func(c *Core) {
		c.ObserveNumber(4)
		c.Submit(start, order(5, "v5"))
	}
	afterTimeout := start.Add(DefaultUnsettledTimeout)

	cases := []struct {
		name   string
		before func(c *Core)
		at     time.Time
		submit Order
		want   Decision
	}{
		{"highest number unknown after a restart", func(*Core) {}, start, order(5, "v5"), rejected(CauseHighestUnknown, 0)},
		{"highest number received from control", func(c *Core) { c.ObserveNumber(4) }, start, order(5, "v5"), send},
		{"highest number received from the engine", func(c *Core) {
			c.Report(start, Report{BootID: "boot-1", Highest: 4, HasHighest: true})
		}, start, order(5, "v5"), send},
		{"observed number used again", func(c *Core) { c.ObserveNumber(5) }, start, order(5, "v5"), rejected(CauseAnswerLost, 5)},
		{"lower than the observed number", func(c *Core) { c.ObserveNumber(6) }, start, order(5, "v5"), rejected(CauseFenced, 6)},
		{"control lags behind the engine", func(c *Core) {
			c.Report(start, Report{BootID: "boot-1", Highest: 6, HasHighest: true})
			c.ObserveNumber(2)
		}, start, order(5, "v5"), rejected(CauseFenced, 6)},
		{"lower than a completed order", ran, start, order(4, "v4"), rejected(CauseFenced, 5)},
		{"resend of a completed order", ran, start, order(5, "v5"), Decision{Action: ActionAnswer, Result: done, Highest: 5}},
		{"resend of a running order", running, start, order(5, "v5"), Decision{Action: ActionJoin, Highest: 5}},
		{"same number and other content, after completion", ran, start, order(5, "v6"), rejected(CauseConflict, 5)},
		{"same number and other content, while running", running, start, order(5, "v6"), rejected(CauseConflict, 5)},
		{"higher number while an order runs", running, start, order(6, "v6"), rejected(CauseBusy, 6)},
		{"lower than an order rejected as busy", func(c *Core) {
			running(c)
			c.Submit(start, order(7, "v7"))
			c.Completed(start, 5, done)
		}, start, order(6, "v6"), rejected(CauseFenced, 7)},
		{"resend of an order rejected as busy", func(c *Core) {
			running(c)
			c.Submit(start, order(7, "v7"))
			c.Completed(start, 5, done)
		}, start, order(7, "v7"), Decision{Action: ActionSend, Highest: 7}},
		{"earlier incarnation", ran, start, func() Order {
			o := order(6, "v6")
			o.Incarnation = 2

			return o
		}(), rejected(CauseIncarnation, 5)},
		{"other agent", ran, start, func() Order {
			o := order(6, "v6")
			o.AgentID = "agent-2"

			return o
		}(), rejected(CauseIncarnation, 5)},
		{"no fencing number", ran, start, order(0, "v"), rejected(CauseMalformed, 5)},
		{"before the timeout of an unanswered order", func(c *Core) {
			running(c)
			c.Unanswered(start, 5)
		}, afterTimeout.Add(-1), order(6, "v6"), rejected(CauseUnsettled, 6)},
		{"after the timeout of an unanswered order", func(c *Core) {
			running(c)
			c.Unanswered(start, 5)
		}, afterTimeout, order(6, "v6"), Decision{Action: ActionSend, Highest: 6}},
		{"resend of an unanswered order", func(c *Core) {
			running(c)
			c.Unanswered(start, 5)
		}, start, order(5, "v5"), Decision{Action: ActionAnswer, Result: Result{Cause: CauseUnanswered}, Highest: 5}},
		{"unanswered, one idle report that may be older", func(c *Core) {
			running(c)
			c.Unanswered(start.Add(1), 5)
			c.Report(start.Add(2), Report{BootID: "boot-1", Idle: true})
		}, start.Add(2), order(6, "v6"), rejected(CauseUnsettled, 6)},
		{"unanswered, second idle report", func(c *Core) {
			running(c)
			c.Unanswered(start.Add(1), 5)
			c.Report(start.Add(2), Report{BootID: "boot-1", Idle: true})
			c.Report(start.Add(3), Report{BootID: "boot-1", Idle: true})
		}, start.Add(3), order(6, "v6"), Decision{Action: ActionSend, Highest: 6}},
		{"unanswered, engine enforces fencing", func(c *Core) {
			running(c)
			c.Unanswered(start, 5)
			c.Report(start, Report{BootID: "boot-1", EnforcesFencing: true})
		}, start, order(6, "v6"), Decision{Action: ActionSend, Highest: 6}},
		{"engine restarted while the order ran", func(c *Core) {
			running(c)
			c.Report(start, Report{BootID: "boot-2"})
		}, start, order(5, "v5"), Decision{Action: ActionAnswer, Result: Result{Cause: CauseEngineRestarted}, Highest: 5}},
		{"lower number after the engine restarted", func(c *Core) {
			ran(c)
			c.Report(start, Report{BootID: "boot-2", HasHighest: true})
		}, start, order(4, "v4"), rejected(CauseFenced, 5)},
		{"late answer to an unanswered order", func(c *Core) {
			running(c)
			c.Unanswered(start, 5)
			c.Report(start, Report{BootID: "boot-1", Idle: true})
			c.Submit(start, order(6, "v6"))
			c.Completed(start, 5, done)
		}, start, order(6, "v6"), Decision{Action: ActionJoin, Highest: 6}},
		{"agent draining", func(c *Core) {
			ran(c)
			c.Drain()
		}, start, order(6, "v6"), rejected(CauseLeaving, 5)},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			c := newCore()
			tc.before(c)
			require.Equal(t, tc.want, c.Submit(tc.at, tc.submit))
		})
	}
}

// The agent died while its engine, which ignores fencing numbers, was working on an
// order. If the restarted agent sent the next order immediately, the earlier one could
// take effect after it and the engine would run an old version.
func TestRestartedAgentWaitsForUnsettledOrder(t *testing.T) {
	t.Parallel()

	c := &Core{AgentID: "agent-1", Incarnation: 3}
	c.Report(start, Report{BootID: "boot-1"})
	c.ObserveNumber(4)
	require.Equal(t, CauseUnsettled, c.Submit(start, order(5, "v5")).Result.Cause)
	require.Equal(t, ActionSend, c.Submit(start.Add(DefaultUnsettledTimeout), order(5, "v5")).Action)
}

// Checks under random events that an older order never takes effect after a later one.
// The model engine ignores fencing numbers and carries out an order at any later
// time, or never.
func TestOlderOrderNeverOverridesLaterOne(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		now := start
		c := newCore()
		c.ObserveNumber(0)

		var (
			atEngine     []uint64 // sent and not yet carried out
			applied      uint64
			unansweredAt time.Time
			idle         bool // Idle in the next report
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
			// An unanswered order is carried out within UnsettledTimeout, or never.
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
				// The agent restarts and receives the highest number from control.
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
