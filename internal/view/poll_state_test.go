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

// A zone is taken out at version 9. Answers that then arrive late, duplicated, or for
// another version must not bring the zone back.
func TestLateAndUnrelatedAnswersAreIgnored(t *testing.T) {
	t.Parallel()

	cases := map[string]struct {
		known  uint64
		answer *wire.PollResponse
	}{
		"older, full":                    {0, zoneAnswer(5, true, false)},
		"older delta":                    {4, zoneAnswer(5, false, false)},
		"duplicate":                      {5, zoneAnswer(9, false, true)},
		"delta for another version":      {5, zoneAnswer(12, false, false)},
		"older, from a stale control VM": {9, &wire.PollResponse{Version: 5, Stale: true}},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			reader := newPollState(4 * time.Second)
			require.Equal(t, outcomeChanged, reader.applyAnswer(start, 0, zoneAnswer(5, true, false)))
			require.Equal(t, outcomeChanged, reader.applyAnswer(start, 5, zoneAnswer(9, false, true)))
			require.NotEqual(t, outcomeChanged, reader.applyAnswer(start.Add(time.Hour), c.known, c.answer))
			require.Equal(t, uint64(9), reader.snapshot.Version)
			require.False(t, reader.snapshot.ZoneInUse("a"))
		})
	}
}

// A control VM whose state is some time old answers a poll at once, or holds it, and
// messages are delayed. The lease must not end later than its length after the state
// was certainly current.
func TestLeaseStartsWhenStateWasCurrent(t *testing.T) {
	t.Parallel()

	cases := map[string]struct {
		answer *wire.PollResponse
		want   time.Duration
	}{
		"current":               {&wire.PollResponse{Version: 1}, 4 * time.Second},
		"aged":                  {&wire.PollResponse{Version: 1, AgeMillis: 300}, 3700 * time.Millisecond},
		"held":                  {&wire.PollResponse{Version: 1, AgeMillis: 300, HeldMillis: 1000}, 4700 * time.Millisecond},
		"shorter lease granted": {&wire.PollResponse{Version: 1, LeaseMillis: 2500}, 2500 * time.Millisecond},
		"longer lease granted":  {&wire.PollResponse{Version: 1, LeaseMillis: 9000}, 4 * time.Second},
		"stale, no lease":       {&wire.PollResponse{Version: 1, Stale: true}, 0},
		"older than the lease":  {&wire.PollResponse{Version: 1, AgeMillis: 5000}, -time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			reader := newPollState(4 * time.Second)
			reader.applyAnswer(start, 0, c.answer)

			until := reader.snapshot.ValidUntil
			if c.answer.GetStale() {
				require.True(t, until.IsZero())
				return
			}

			require.Equal(t, c.want, until.Sub(start))
			reader.applyAnswer(start.Add(-time.Second), 1, c.answer)
			require.Equal(t, until, reader.snapshot.ValidUntil, "an answer to an earlier poll does not shorten the lease")
		})
	}
}

// A process numbers its reports, so that a late poll never undoes a newer one.
func TestReportNumberGrowsWithEachChange(t *testing.T) {
	t.Parallel()

	reader := newPollState(time.Second)
	first := reader.numberReport(&wire.Node{ID: "a", BootID: "1"})
	require.Equal(t, first.GetReport(), reader.numberReport(&wire.Node{ID: "a", BootID: "1"}).GetReport())
	require.Greater(t, reader.numberReport(&wire.Node{ID: "a", BootID: "2"}).GetReport(), first.GetReport())
}

// A reader misses hundreds of changes, polls control VMs of which some lag behind, and
// gets answers late, duplicated, reordered or not at all. Its version must never fall,
// and after a last poll it must hold the complete state.
func TestReaderConverges(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		limits := ledger.DefaultLimits()
		limits.MaxTombstones = 8
		state := ledger.New(limits)
		history := []ledger.Records{state.Records()}
		reader := newPollState(4 * time.Second)

		var inFlight []answerInFlight

		for i := range rapid.IntRange(1, 300).Draw(rt, "changes") {
			state.Apply(uint64(i+1), drawReport(rt))
			history = append(history, state.Records())

			switch rapid.IntRange(0, 5).Draw(rt, "event") {
			case 0, 1:
				lag := rapid.IntRange(0, min(3, len(history)-1)).Draw(rt, "lag")
				inFlight = append(inFlight, poll(reader, history[len(history)-1-lag]))
			case 2, 3:
				if len(inFlight) > 0 {
					before := reader.snapshot.Version
					f := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(rt, "answer")]
					reader.applyAnswer(start, f.known, f.answer)
					require.GreaterOrEqual(rt, reader.snapshot.Version, before)
				}
			}
		}

		f := poll(reader, state.Records())
		reader.applyAnswer(start, f.known, f.answer)

		all := state.Records().All()
		require.Equal(rt, state.Records().Version, reader.snapshot.Version)
		require.Len(rt, reader.snapshot.Nodes(), len(all))

		for _, r := range all {
			node, _ := reader.snapshot.Node(r.GetNode().GetID())
			require.True(rt, proto.Equal(r.GetNode(), node))
		}
	})
}

// answerInFlight is an answer that has not arrived yet.
type answerInFlight struct {
	known  uint64
	answer *wire.PollResponse
}

func poll(p *pollState, records ledger.Records) answerInFlight {
	known := p.snapshot.Version
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

// Each reason for excluding a target suffices alone.
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

	reader := newPollState(time.Second)
	reader.applyAnswer(start, 0, answer)
	require.Len(t, reader.snapshot.Targets("s"), 7)

	for _, target := range reader.snapshot.Targets("s") {
		require.Equal(t, target.Node.GetID() == "good", target.Admissible(), target.Node.GetID())
	}
}
