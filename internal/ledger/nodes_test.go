package ledger_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// A report of an agent is held up on the way while the agent moves on. If the
// late one won, entries would send to an address, a boot id or a drained target
// that is gone. Each case sends the second report after the first.
func TestLateReportsAreIgnored(t *testing.T) {
	t.Parallel()

	leaving := agent("a", 2, 1)
	leaving.Leaving = true

	cases := map[string]struct{ newer, late *wire.Node }{
		"of an earlier incarnation":          {agent("a", 2, 1), agent("a", 1, 9)},
		"of the same incarnation":            {agent("a", 2, 2), agent("a", 2, 1)},
		"from before it began to leave":      {leaving, agent("a", 2, 1)},
		"of an earlier one that was leaving": {agent("a", 3, 1), leaving},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			h := newHarness(t, ledger.DefaultLimits())
			require.EqualValues(t, 1, h.report(c.newer))
			before := h.node("a")
			h.restart(ledger.DefaultLimits())
			require.EqualValues(t, 0, h.report(c.late))
			require.Equal(t, before.GetIncarnation(), h.node("a").GetIncarnation())
			require.Equal(t, before.GetReport(), h.node("a").GetReport())
			require.Equal(t, before.GetLeaving(), h.node("a").GetLeaving())
		})
	}
}

// An agent changes and changes back between two polls. Its number must be kept
// though its words are the same, or the words between would win later.
func TestReportNumberIsKeptForUnchangedNode(t *testing.T) {
	t.Parallel()

	between := agent("a", 1, 2)
	between.BootID = "between"

	h := newHarness(t, ledger.DefaultLimits())
	h.report(agent("a", 1, 1))
	h.report(agent("a", 1, 3))
	h.report(between)
	require.Equal(t, "boot", h.node("a").GetBootID())
}

// An agent ends, or is expired while it is only cut off. One that ended must not
// come back by its last words; one that was expired must, by its next poll.
func TestExpiredProcessReturnsAndEndedOneDoesNot(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	h.report(agent("ended", 2, 1), agent("cut-off", 2, 1))
	h.reportGone(agent("ended", 2, 1))
	h.expire(&wire.NodeName{ID: "cut-off", Incarnation: 2})
	h.restart(ledger.DefaultLimits())
	require.Nil(t, h.node("ended"))
	require.Nil(t, h.node("cut-off"))

	h.report(agent("ended", 2, 5), agent("cut-off", 1, 1))
	require.Nil(t, h.node("ended"))
	require.Nil(t, h.node("cut-off"))

	h.report(agent("ended", 3, 1), agent("cut-off", 2, 1))
	require.NotNil(t, h.node("ended"))
	require.NotNil(t, h.node("cut-off"))
	require.EqualValues(t, 0, h.expire(&wire.NodeName{ID: "cut-off", Incarnation: 1}), "an expiry decided before the restart")
}

// The control VMs' own network fails, and they hear from nobody. If they
// believed it, the directory would be empty and every request refused. A zone
// that is really gone must still leave the directory within minutes.
func TestExpiriesAreRateLimited(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())

	var names []*wire.NodeName

	for i := range 100 {
		node := agent(fmt.Sprint(i), 1, 1)
		names = append(names, &wire.NodeName{ID: node.GetID(), Incarnation: 1})
		h.report(node)
	}

	require.EqualValues(t, 25, h.expire(names...))
	require.EqualValues(t, 0, h.expire(names...))
	h.restart(ledger.DefaultLimits())
	require.EqualValues(t, 0, h.expire(names...))
	h.tick(60_000)
	require.EqualValues(t, 18, h.expire(names...))
}

// A planned stop names one incarnation. If it outlived the restart, the process
// would be drained again as soon as it is back.
func TestStopIsRemovedAtNextIncarnation(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	h.report(agent("a", 1, 1))

	stop := &wire.Record{Key: "Stop/a", Value: &wire.Record_Stop{Stop: &wire.Stop{NodeID: "a", Incarnation: 1}}}
	id := h.plan(&wire.Plan{BaseVersion: h.ledger.Records().Version, Changes: []*wire.Change{{Key: "Stop/a", After: stop}}})
	require.Equal(t, wire.DecisionState_DecisionMade, h.decide("may", 1, id).GetState())

	h.report(agent("a", 1, 2))
	require.NotNil(t, h.ledger.Records().Get("Stop/a"))
	h.reportGone(agent("a", 1, 3))
	require.NotNil(t, h.ledger.Records().Get("Stop/a"))
	h.report(agent("a", 2, 1))
	require.Nil(t, h.ledger.Records().Get("Stop/a"))
}
