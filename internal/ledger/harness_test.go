package ledger_test

import (
	"crypto/sha256"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// harness applies commands to one ledger at increasing log indexes.
type harness struct {
	t      require.TestingT
	ledger *ledger.Ledger
	index  uint64
}

func newHarness(t require.TestingT, limits ledger.Limits) *harness {
	return &harness{t: t, ledger: ledger.New(limits)}
}

func (h *harness) apply(cmd *wire.Command) *wire.Result {
	data, err := proto.Marshal(cmd)
	require.NoError(h.t, err)

	h.index++
	result := &wire.Result{}
	require.NoError(h.t, proto.Unmarshal(h.ledger.Apply(h.index, data), result))
	require.Empty(h.t, result.GetFault())

	return result
}

// restart replaces the ledger by one that is restored from its snapshot.
func (h *harness) restart(limits ledger.Limits) {
	data := h.ledger.Snapshot()
	h.ledger = ledger.New(limits)
	require.NoError(h.t, h.ledger.Restore(data))
	require.Equal(h.t, data, h.ledger.Snapshot())
}

func (h *harness) tick(ms uint64) {
	h.apply(&wire.Command{Kind: &wire.Command_Tick{Tick: &wire.Tick{After: h.ledger.TickIndex(), ElapsedMillis: ms}}})
}

func (h *harness) report(nodes ...*wire.Node) uint32 {
	reports := &wire.NodeReports{}
	for _, node := range nodes {
		reports.Reports = append(reports.Reports, &wire.NodeReport{Node: node})
	}

	return h.apply(&wire.Command{Kind: &wire.Command_NodeReports{NodeReports: reports}}).GetCount()
}

func (h *harness) reportEnded(node *wire.Node) {
	h.apply(&wire.Command{Kind: &wire.Command_NodeReports{NodeReports: &wire.NodeReports{
		Reports: []*wire.NodeReport{{Node: node, Gone: true}},
	}}})
}

func (h *harness) expire(names ...*wire.NodeName) uint32 {
	return h.apply(&wire.Command{Kind: &wire.Command_Expiry{Expiry: &wire.Expiry{Nodes: names}}}).GetCount()
}

func (h *harness) node(id string) *wire.Node { return h.ledger.Records().Get("Node/" + id).GetNode() }

func (h *harness) plan(p *wire.Plan) string {
	return h.apply(&wire.Command{Kind: &wire.Command_StorePlan{StorePlan: p}}).GetPlanID()
}

func (h *harness) decide(operator string, number uint64, plan string) *wire.DecisionAnswer {
	return h.apply(&wire.Command{Kind: &wire.Command_Decision{Decision: &wire.Decision{
		Operator: operator, Number: number, PlanID: plan, AtUnixMillis: int64(h.index),
	}}}).GetDecision()
}

// zonePlan returns a plan against the current state that takes a zone out or back in.
func (h *harness) zonePlan(zone string, out bool) *wire.Plan {
	key := "Zone/" + zone
	text := key + " in"

	if out {
		text = key + " out"
	}

	digest := sha256.Sum256([]byte(text))

	return &wire.Plan{
		BaseVersion:  h.ledger.Records().Version,
		IntentDigest: digest[:],
		Changes: []*wire.Change{{
			Key: key, Text: text, Before: h.ledger.Records().Get(key),
			After: &wire.Record{Key: key, Value: &wire.Record_Zone{Zone: &wire.Zone{Name: zone, Out: out}}},
		}},
	}
}

func (h *harness) claim(key, attempt, body, replaces string) *wire.ClaimResponse {
	return h.apply(&wire.Command{Kind: &wire.Command_Claim{Claim: &wire.ClaimRequest{
		Workspace: "w", Service: "job-desk", Key: key, BodyDigest: []byte(body),
		Holder: &wire.ClaimHolder{AttemptID: attempt}, Replaces: replaces,
	}}}).GetClaim()
}

func (h *harness) lookUp(key, body string) *wire.ClaimResponse {
	return h.apply(&wire.Command{Kind: &wire.Command_Claim{Claim: &wire.ClaimRequest{
		Workspace: "w", Service: "job-desk", Key: key, BodyDigest: []byte(body),
	}}}).GetClaim()
}

func (h *harness) settle(key, attempt string, verdict wire.Verdict, answer string) wire.ClaimState {
	r := &wire.SettleRequest{Workspace: "w", Service: "job-desk", Key: key, AttemptID: attempt, Verdict: verdict}
	if verdict == wire.Verdict_Ran {
		r.Answer = &wire.Answer{Status: 200, Body: []byte(answer)}
	}

	return h.apply(&wire.Command{Kind: &wire.Command_Settle{Settle: r}}).GetSettle().GetState()
}

func agent(id string, incarnation, report uint64) *wire.Node {
	return &wire.Node{
		ID: id, Kind: wire.NodeKind_NodeAgent, Zone: "ayutthaya", Service: "cooper-assist",
		Incarnation: incarnation, Report: report, BootID: "boot", Capacity: 10,
	}
}

func TestEmptyLedgerIsRestored(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	h.restart(ledger.DefaultLimits())
	require.Error(t, h.ledger.Restore([]byte{0xff, 0xff}))
}
