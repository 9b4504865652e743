package ledger_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// A report of an agent is delayed while the agent sends newer ones. If the late report
// were applied, entries would send requests to an old address, an old boot ID or a
// drained target. Each case applies the late report after the newer one.
func TestLateReportsAreIgnored(t *testing.T) {
	t.Parallel()

	leaving := agent("a", 2, 1)
	leaving.Leaving = true

	cases := map[string]struct{ newer, late *wire.Node }{
		"earlier incarnation":                    {agent("a", 2, 1), agent("a", 1, 9)},
		"same incarnation":                       {agent("a", 2, 2), agent("a", 2, 1)},
		"sent before the process began to leave": {leaving, agent("a", 2, 1)},
		"earlier incarnation that was leaving":   {agent("a", 3, 1), leaving},
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

// An agent changes and changes back between two polls. The higher report number must
// be stored although the content is the same; otherwise a late report from in between
// would be applied.
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

// One agent ends; another is expired while it is cut off. A late report must not bring
// back the one that ended, but the next poll must bring back the expired one.
func TestExpiredProcessReturnsAndEndedOneDoesNot(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	h.report(agent("ended", 2, 1), agent("cut-off", 2, 1))
	h.reportEnded(agent("ended", 2, 1))
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
	require.EqualValues(t, 0, h.expire(&wire.NodeName{ID: "cut-off", Incarnation: 1}), "an expiry of an earlier incarnation is ignored")
}

// The control VMs' own network fails and they receive no polls. If they expired all
// processes, the directory would be empty and every request refused. A zone that
// really failed must still be removed within minutes.
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

// A planned stop names one incarnation. If it were kept after the process restarted,
// the new incarnation would be drained immediately.
func TestStopIsRemovedAtNextIncarnation(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	h.report(agent("a", 1, 1))

	stop := &wire.Record{Key: "Stop/a", Value: &wire.Record_Stop{Stop: &wire.Stop{NodeID: "a", Incarnation: 1}}}
	id := h.plan(&wire.Plan{BaseVersion: h.ledger.Records().Version, Changes: []*wire.Change{{Key: "Stop/a", After: stop}}})
	require.Equal(t, wire.DecisionState_DecisionMade, h.decide("may", 1, id).GetState())

	h.report(agent("a", 1, 2))
	require.NotNil(t, h.ledger.Records().Get("Stop/a"))
	h.reportEnded(agent("a", 1, 3))
	require.NotNil(t, h.ledger.Records().Get("Stop/a"))
	h.report(agent("a", 2, 1))
	require.Nil(t, h.ledger.Records().Get("Stop/a"))
}
