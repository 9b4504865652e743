package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

var start = time.Unix(1000, 0)

func zoneRecord(name string, version uint64, out bool) *wire.Record {
	return &wire.Record{
		Key: "Zone/" + name, Version: version,
		Value: &wire.Record_Zone{Zone: &wire.Zone{Name: name, Out: out}},
	}
}

func zoneAnswer(version uint64, full, out bool) *wire.PollResponse {
	return &wire.PollResponse{Version: version, Full: full, Changed: []*wire.Record{zoneRecord("a", version, out)}}
}

// A zone goes out at version 9. Then answers come that are late, doubled, or
// cannot follow what is held; none may bring the zone back.
func TestLateAndUnrelatedAnswersAreIgnored(t *testing.T) {
	t.Parallel()

	cases := map[string]struct {
		known  uint64
		answer *wire.PollResponse
	}{
		"older and full":                {0, zoneAnswer(5, true, false)},
		"an older delta":                {4, zoneAnswer(5, false, false)},
		"doubled":                       {5, zoneAnswer(9, false, true)},
		"a delta after another version": {5, zoneAnswer(12, false, false)},
		"older, of a VM that is stale":  {9, &wire.PollResponse{Version: 5, Stale: true}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			core := newPollState(4 * time.Second)
			require.Equal(t, outcomeChanged, core.applyAnswer(start, 0, zoneAnswer(5, true, false)))
			require.Equal(t, outcomeChanged, core.applyAnswer(start, 5, zoneAnswer(9, false, true)))
			require.NotEqual(t, outcomeChanged, core.applyAnswer(start.Add(time.Hour), c.known, c.answer))
			require.Equal(t, uint64(9), core.snapshot.Version)
			require.False(t, core.snapshot.ZoneInUse("a"))
		})
	}
}

// A poll is answered at once, or held, by a control VM whose state is some time
// old; messages take long on the way. The lease must never outlast the time at
// which the state was surely current by more than its length.
func TestLeaseStartsWhenStateWasCurrent(t *testing.T) {
	t.Parallel()

	cases := map[string]struct {
		answer *wire.PollResponse
		want   time.Duration
	}{
		"current":           {&wire.PollResponse{Version: 1}, 4 * time.Second},
		"aged":              {&wire.PollResponse{Version: 1, AgeMillis: 300}, 3700 * time.Millisecond},
		"held":              {&wire.PollResponse{Version: 1, AgeMillis: 300, HeldMillis: 1000}, 4700 * time.Millisecond},
		"a shorter lease":   {&wire.PollResponse{Version: 1, LeaseMillis: 2500}, 2500 * time.Millisecond},
		"a longer lease":    {&wire.PollResponse{Version: 1, LeaseMillis: 9000}, 4 * time.Second},
		"stale gives none":  {&wire.PollResponse{Version: 1, Stale: true}, 0},
		"older than leases": {&wire.PollResponse{Version: 1, AgeMillis: 5000}, -time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			core := newPollState(4 * time.Second)
			core.applyAnswer(start, 0, c.answer)

			until := core.snapshot.ValidUntil
			if c.answer.GetStale() {
				require.True(t, until.IsZero())
				return
			}

			require.Equal(t, c.want, until.Sub(start))
			core.applyAnswer(start.Add(-time.Second), 1, c.answer)
			require.Equal(t, until, core.snapshot.ValidUntil, "an answer to an earlier poll shortens nothing")
		})
	}
}

// A process numbers what it says of itself, so that a late poll never undoes a newer one.
func TestReportNumberGrowsWithEachChange(t *testing.T) {
	t.Parallel()

	core := newPollState(time.Second)
	first := core.numberReport(&wire.Node{ID: "a", BootID: "1"})
	require.Equal(t, first.GetReport(), core.numberReport(&wire.Node{ID: "a", BootID: "1"}).GetReport())
	require.Greater(t, core.numberReport(&wire.Node{ID: "a", BootID: "2"}).GetReport(), first.GetReport())
}

// A reader misses hundreds of changes, asks VMs of which some lag behind, and
// gets answers late, doubled, reordered and lost. Its version never falls, and
// in the end it holds what the state holds.
func TestReaderConverges(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		limits := ledger.DefaultLimits()
		limits.MaxTombstones = 8
		state := ledger.New(limits)
		history := []ledger.Records{state.Records()}
		core := newPollState(4 * time.Second)

		var inFlight []answerInFlight

		for i := range rapid.IntRange(1, 300).Draw(rt, "changes") {
			state.Apply(uint64(i+1), drawReport(rt))
			history = append(history, state.Records())

			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0, 1:
				lag := rapid.IntRange(0, min(3, len(history)-1)).Draw(rt, "lag")
				inFlight = append(inFlight, poll(core, history[len(history)-1-lag]))
			case 2, 3:
				if len(inFlight) > 0 {
					before := core.snapshot.Version
					f := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(rt, "answer")]
					core.applyAnswer(start, f.known, f.answer)
					require.GreaterOrEqual(rt, core.snapshot.Version, before)
				}
			}
		}

		f := poll(core, state.Records())
		core.applyAnswer(start, f.known, f.answer)

		all := state.Records().All()
		require.Equal(rt, state.Records().Version, core.snapshot.Version)
		require.Len(rt, core.snapshot.Nodes(), len(all))

		for _, r := range all {
			node, _ := core.snapshot.Node(r.GetNode().GetID())
			require.True(rt, proto.Equal(r.GetNode(), node))
		}
	})
}

// answerInFlight is an answer on its way.
type answerInFlight struct {
	known  uint64
	answer *wire.PollResponse
}

func poll(c *pollState, records ledger.Records) answerInFlight {
	known := c.snapshot.Version
	answer := &wire.PollResponse{Version: records.Version}

	if known == 0 || records.Version > known {
		d := records.DeltaSince(known)
		answer.Full, answer.Changed, answer.Removed = d.Full, d.Changed, d.Removed
	}

	return answerInFlight{known: known, answer: answer}
}

func drawReport(rt *rapid.T) []byte {
	node := &wire.Node{
		ID:          fmt.Sprint(rapid.IntRange(0, 20).Draw(rt, "id")),
		Incarnation: rapid.Uint64Range(1, 50).Draw(rt, "incarnation"),
	}
	report := &wire.NodeReport{Node: node, Gone: rapid.IntRange(0, 2).Draw(rt, "gone") == 0}
	data, err := proto.Marshal(&wire.Command{Kind: &wire.Command_NodeReports{
		NodeReports: &wire.NodeReports{Reports: []*wire.NodeReport{report}},
	}})
	require.NoError(rt, err)

	return data
}

// A target is passed over for each reason alone.
func TestAdmissibleTargets(t *testing.T) {
	t.Parallel()

	node := func(id, zone string) *wire.Node {
		return &wire.Node{ID: id, Kind: wire.NodeKind_NodeAgent, Zone: zone, Service: "s", BootID: "b"}
	}
	leaving, unannounced := node("leaving", "a"), node("unannounced", "a")
	leaving.Leaving, unannounced.BootID = true, ""

	answer := &wire.PollResponse{Version: 1, Full: true, Changed: []*wire.Record{
		zoneRecord("a", 1, false), zoneRecord("b", 1, true),
		{Key: "Target/retired", Value: &wire.Record_TargetPolicy{TargetPolicy: &wire.TargetPolicy{AgentID: "retired", Retired: true}}},
		{Key: "Stop/stopping", Value: &wire.Record_Stop{Stop: &wire.Stop{NodeID: "stopping"}}},
	}}

	for _, n := range []*wire.Node{
		node("good", "a"), node("out", "b"), node("undeclared", "c"), node("retired", "a"), node("stopping", "a"), leaving, unannounced,
	} {
		answer.Changed = append(answer.Changed, &wire.Record{Key: "Node/" + n.GetID(), Value: &wire.Record_Node{Node: n}})
	}

	core := newPollState(time.Second)
	core.applyAnswer(start, 0, answer)
	require.Len(t, core.snapshot.Targets("s"), 7)

	for _, target := range core.snapshot.Targets("s") {
		require.Equal(t, target.Node.GetID() == "good", target.Admissible(), target.Node.GetID())
	}
}
