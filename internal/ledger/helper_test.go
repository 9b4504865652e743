package ledger_test

import (
	"crypto/sha256"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// bed drives one ledger with commands at growing indexes.
type bed struct {
	t      require.TestingT
	ledger *ledger.Ledger
	index  uint64
}

func newBed(t require.TestingT, limits ledger.Limits) *bed {
	return &bed{t: t, ledger: ledger.New(limits)}
}

func (b *bed) apply(cmd *wire.Command) *wire.Result {
	data, err := proto.Marshal(cmd)
	require.NoError(b.t, err)

	b.index++
	result := &wire.Result{}
	require.NoError(b.t, proto.Unmarshal(b.ledger.Apply(b.index, data), result))
	require.Empty(b.t, result.GetFault())

	return result
}

// restart replaces the ledger by one that is restored from its snapshot.
func (b *bed) restart(limits ledger.Limits) {
	data := b.ledger.Snapshot()
	b.ledger = ledger.New(limits)
	require.NoError(b.t, b.ledger.Restore(data))
	require.Equal(b.t, data, b.ledger.Snapshot())
}

func (b *bed) tick(ms uint64) {
	b.apply(&wire.Command{Kind: &wire.Command_Tick{Tick: &wire.Tick{After: b.ledger.TickIndex(), ElapsedMillis: ms}}})
}

func (b *bed) report(nodes ...*wire.Node) uint32 {
	reports := &wire.NodeReports{}
	for _, node := range nodes {
		reports.Reports = append(reports.Reports, &wire.NodeReport{Node: node})
	}

	return b.apply(&wire.Command{Kind: &wire.Command_NodeReports{NodeReports: reports}}).GetCount()
}

func (b *bed) gone(node *wire.Node) {
	b.apply(&wire.Command{Kind: &wire.Command_NodeReports{NodeReports: &wire.NodeReports{
		Reports: []*wire.NodeReport{{Node: node, Gone: true}},
	}}})
}

func (b *bed) expire(names ...*wire.NodeName) uint32 {
	return b.apply(&wire.Command{Kind: &wire.Command_Expiry{Expiry: &wire.Expiry{Nodes: names}}}).GetCount()
}

func (b *bed) node(id string) *wire.Node { return b.ledger.Records().Get("Node/" + id).GetNode() }

func (b *bed) plan(p *wire.Plan) string {
	return b.apply(&wire.Command{Kind: &wire.Command_StorePlan{StorePlan: p}}).GetPlanID()
}

func (b *bed) decide(operator string, number uint64, plan string) *wire.DecisionAnswer {
	return b.apply(&wire.Command{Kind: &wire.Command_Decision{Decision: &wire.Decision{
		Operator: operator, Number: number, PlanID: plan, AtUnixMillis: int64(b.index),
	}}}).GetDecision()
}

// zonePlan is the plan, made now, to put a zone in or out of use.
func (b *bed) zonePlan(zone string, out bool) *wire.Plan {
	key := "Zone/" + zone
	text := key + " in"

	if out {
		text = key + " out"
	}

	digest := sha256.Sum256([]byte(text))

	return &wire.Plan{
		BaseVersion:  b.ledger.Records().Version,
		IntentDigest: digest[:],
		Changes: []*wire.Change{{
			Key: key, Text: text, Before: b.ledger.Records().Get(key),
			After: &wire.Record{Key: key, Value: &wire.Record_Zone{Zone: &wire.Zone{Name: zone, Out: out}}},
		}},
	}
}

func (b *bed) claim(key, attempt, body, replaces string) *wire.ClaimResponse {
	return b.apply(&wire.Command{Kind: &wire.Command_Claim{Claim: &wire.ClaimRequest{
		Workspace: "w", Service: "job-desk", Key: key, BodyDigest: []byte(body),
		Holder: &wire.ClaimHolder{AttemptID: attempt}, Replaces: replaces,
	}}}).GetClaim()
}

func (b *bed) look(key, body string) *wire.ClaimResponse {
	return b.apply(&wire.Command{Kind: &wire.Command_Claim{Claim: &wire.ClaimRequest{
		Workspace: "w", Service: "job-desk", Key: key, BodyDigest: []byte(body),
	}}}).GetClaim()
}

func (b *bed) settle(key, attempt string, verdict wire.Verdict, answer string) wire.ClaimState {
	r := &wire.SettleRequest{Workspace: "w", Service: "job-desk", Key: key, AttemptID: attempt, Verdict: verdict}
	if verdict == wire.Verdict_Ran {
		r.Answer = &wire.Answer{Status: 200, Body: []byte(answer)}
	}

	return b.apply(&wire.Command{Kind: &wire.Command_Settle{Settle: r}}).GetSettle().GetState()
}

func agent(id string, incarnation, report uint64) *wire.Node {
	return &wire.Node{
		ID: id, Kind: wire.NodeKind_NodeAgent, Zone: "ayutthaya", Service: "cooper-assist",
		Incarnation: incarnation, Report: report, BootID: "boot", Capacity: 10,
	}
}

func TestEmptyLedgerIsRestored(t *testing.T) {
	t.Parallel()

	b := newBed(t, ledger.DefaultLimits())
	b.restart(ledger.DefaultLimits())
	require.Error(t, b.ledger.Restore([]byte{0xff, 0xff}))
}
