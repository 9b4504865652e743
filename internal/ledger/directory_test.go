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
func TestLateReportsChangeNothing(t *testing.T) {
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

			b := newBed(t, ledger.DefaultLimits())
			require.EqualValues(t, 1, b.report(c.newer))
			before := b.node("a")
			b.restart(ledger.DefaultLimits())
			require.EqualValues(t, 0, b.report(c.late))
			require.Equal(t, before.GetIncarnation(), b.node("a").GetIncarnation())
			require.Equal(t, before.GetReport(), b.node("a").GetReport())
			require.Equal(t, before.GetLeaving(), b.node("a").GetLeaving())
		})
	}
}

// An agent changes and changes back between two polls. Its number must be kept
// though its words are the same, or the words between would win later.
func TestReportThatChangesOnlyItsNumber(t *testing.T) {
	t.Parallel()

	between := agent("a", 1, 2)
	between.BootID = "between"

	b := newBed(t, ledger.DefaultLimits())
	b.report(agent("a", 1, 1))
	b.report(agent("a", 1, 3))
	b.report(between)
	require.Equal(t, "boot", b.node("a").GetBootID())
}

// An agent ends, or is expired while it is only cut off. One that ended must not
// come back by its last words; one that was expired must, by its next poll.
func TestDepartedProcesses(t *testing.T) {
	t.Parallel()

	b := newBed(t, ledger.DefaultLimits())
	b.report(agent("ended", 2, 1), agent("cut-off", 2, 1))
	b.gone(agent("ended", 2, 1))
	b.expire(&wire.NodeName{ID: "cut-off", Incarnation: 2})
	b.restart(ledger.DefaultLimits())
	require.Nil(t, b.node("ended"))
	require.Nil(t, b.node("cut-off"))

	b.report(agent("ended", 2, 5), agent("cut-off", 1, 1))
	require.Nil(t, b.node("ended"))
	require.Nil(t, b.node("cut-off"))

	b.report(agent("ended", 3, 1), agent("cut-off", 2, 1))
	require.NotNil(t, b.node("ended"))
	require.NotNil(t, b.node("cut-off"))
	require.EqualValues(t, 0, b.expire(&wire.NodeName{ID: "cut-off", Incarnation: 1}), "an expiry decided before the restart")
}

// The control VMs' own network fails, and they hear from nobody. If they
// believed it, the directory would be empty and every request refused. A zone
// that is really gone must still leave the directory within minutes.
func TestDeathsAreBelievedSlowly(t *testing.T) {
	t.Parallel()

	b := newBed(t, ledger.DefaultLimits())

	var names []*wire.NodeName

	for i := range 100 {
		node := agent(fmt.Sprint(i), 1, 1)
		names = append(names, &wire.NodeName{ID: node.GetID(), Incarnation: 1})
		b.report(node)
	}

	require.EqualValues(t, 25, b.expire(names...))
	require.EqualValues(t, 0, b.expire(names...))
	b.restart(ledger.DefaultLimits())
	require.EqualValues(t, 0, b.expire(names...))
	b.tick(60_000)
	require.EqualValues(t, 18, b.expire(names...))
}

// A planned stop names one incarnation. If it outlived the restart, the process
// would be drained again as soon as it is back.
func TestStopEndsWithTheNextIncarnation(t *testing.T) {
	t.Parallel()

	b := newBed(t, ledger.DefaultLimits())
	b.report(agent("a", 1, 1))

	stop := &wire.Record{Key: "Stop/a", Value: &wire.Record_Stop{Stop: &wire.Stop{NodeID: "a", Incarnation: 1}}}
	id := b.plan(&wire.Plan{BaseVersion: b.ledger.Records().Version, Changes: []*wire.Change{{Key: "Stop/a", After: stop}}})
	require.Equal(t, wire.DecisionState_DecisionMade, b.decide("may", 1, id).GetState())

	b.report(agent("a", 1, 2))
	require.NotNil(t, b.ledger.Records().Get("Stop/a"))
	b.gone(agent("a", 1, 3))
	require.NotNil(t, b.ledger.Records().Get("Stop/a"))
	b.report(agent("a", 2, 1))
	require.Nil(t, b.ledger.Records().Get("Stop/a"))
}
