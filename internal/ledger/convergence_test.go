package ledger_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// readerCopy is a reader's copy of the records, updated by deltas.
type readerCopy struct {
	version uint64
	records map[string]*wire.Record
}

func (c *readerCopy) update(records ledger.Records) {
	d := records.DeltaSince(c.version)
	if d.Full {
		c.records = map[string]*wire.Record{}
	}

	for _, key := range d.Removed {
		delete(c.records, key)
	}

	for _, r := range d.Changed {
		c.records[r.GetKey()] = r
	}

	c.version = d.Version
}

// Readers miss any number of changes, including removals whose tombstones were
// dropped, and control VMs take snapshots and restart at different times. Every reader
// must end with the same records whichever VM it polls, and the VMs must produce equal
// results and snapshots.
func TestReadersAndReplicasConverge(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		limits := ledger.DefaultLimits()
		limits.MaxTombstones = 1
		limits.MaxDecisions = 4
		limits.MaxPlans = 3
		limits.MaxDeparted = 3
		limits.MaxClaims = 5

		continuous, restarting := newHarness(rt, limits), newHarness(rt, limits)
		readers := []*readerCopy{{}, {}, {}}

		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			cmd := drawCommand(rt, continuous)
			require.True(rt, proto.Equal(continuous.apply(cmd), restarting.apply(cmd)))

			if rapid.Bool().Draw(rt, "restart") {
				restarting.restart(limits)
			}

			i := rapid.IntRange(0, 9).Draw(rt, "reader")
			if i < len(readers) {
				readers[i].update(restarting.ledger.Records())
			}
		}

		require.Equal(rt, continuous.ledger.Snapshot(), restarting.ledger.Snapshot())

		latest := &readerCopy{}
		latest.update(continuous.ledger.Records())

		for _, r := range readers {
			r.update(restarting.ledger.Records())
			require.Len(rt, r.records, len(latest.records))

			for key, record := range latest.records {
				require.True(rt, proto.Equal(record, r.records[key]), key)
			}
		}
	})
}

func drawCommand(rt *rapid.T, h *harness) *wire.Command {
	name := fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "name"))
	n := rapid.Uint64Range(1, 6).Draw(rt, "n")
	node := agent(name, n/3, n)

	switch rapid.IntRange(0, 6).Draw(rt, "kind") {
	case 0:
		return &wire.Command{Kind: &wire.Command_Tick{Tick: &wire.Tick{After: h.ledger.TickIndex(), ElapsedMillis: n * 9000}}}
	case 1:
		return &wire.Command{Kind: &wire.Command_NodeReports{NodeReports: &wire.NodeReports{
			Reports: []*wire.NodeReport{{Node: node, Gone: n == 6}},
		}}}
	case 2:
		return &wire.Command{Kind: &wire.Command_Expiry{Expiry: &wire.Expiry{
			Nodes: []*wire.NodeName{{ID: name, Incarnation: n / 3}},
		}}}
	case 3:
		plan := h.zonePlan(name, n%2 == 0)
		if n > 4 {
			plan.Changes[0].Kind = wire.ChangeKind_ChangeRemove
		}

		return &wire.Command{Kind: &wire.Command_StorePlan{StorePlan: plan}}
	case 4:
		return &wire.Command{Kind: &wire.Command_Decision{Decision: &wire.Decision{
			Operator: name, Number: n + h.index/8, PlanID: fmt.Sprintf("P%d", h.index),
		}}}
	case 5:
		return &wire.Command{Kind: &wire.Command_Claim{Claim: &wire.ClaimRequest{
			Key: name, BodyDigest: []byte("b"), Holder: &wire.ClaimHolder{AttemptID: fmt.Sprint(n)},
		}}}
	default:
		return &wire.Command{Kind: &wire.Command_ExpertMap{ExpertMap: &wire.ExpertMap{
			Group: name, MapVersion: n, Committed: n%2 == 0,
		}}}
	}
}
