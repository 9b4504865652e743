package ledger_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// newFilledHarness returns a ledger with workspaces, processes, and claims that each
// hold a recorded answer of 400 bytes.
func newFilledHarness(b *testing.B, workspaces, nodes, claims int) *harness {
	b.Helper()

	out := newHarness(b, ledger.DefaultLimits())
	plan := &wire.Plan{}

	for i := range workspaces {
		name := fmt.Sprintf("workspace-%d", i)
		plan.Changes = append(plan.Changes, &wire.Change{
			Key: "Workspace/" + name,
			After: &wire.Record{Value: &wire.Record_Workspace{
				Workspace: &wire.Workspace{Name: name, Weight: 3},
			}},
		})
	}

	require.Equal(b, wire.DecisionState_DecisionMade, out.decide("may", 1, out.plan(plan)).GetState())

	for i := range nodes {
		out.report(agent(fmt.Sprintf("agent-%d", i), 1, 1))
	}

	answer := string(make([]byte, 400))

	for i := range claims {
		key := fmt.Sprintf("kiln-slot-key-%d", i)
		require.Equal(b, wire.ClaimState_ClaimGranted, out.claim(key, "attempt-of-36-characters-like-a-uuid", "digest-of-32-bytes-like-a-sha-256", "").GetState())
		out.settle(key, "attempt-of-36-characters-like-a-uuid", wire.Verdict_Ran, answer)
	}

	return out
}

// heapInUse returns the heap bytes in use after a garbage collection.
func heapInUse() int64 {
	var stats runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&stats)

	return int64(stats.HeapAlloc)
}

// BenchmarkSnapshot measures writing and restoring a snapshot by size of the state.
func BenchmarkSnapshot(b *testing.B) {
	sizes := []struct{ workspaces, nodes, claims int }{
		{10, 20, 0}, {13000, 1010, 0}, {13000, 1010, 10000}, {13000, 1010, 100000},
	}

	for _, s := range sizes {
		name := fmt.Sprintf("workspaces=%d/nodes=%d/claims=%d", s.workspaces, s.nodes, s.claims)
		before := heapInUse()
		state := newFilledHarness(b, s.workspaces, s.nodes, s.claims)
		used := heapInUse() - before

		var data []byte

		b.Run(name+"/write", func(b *testing.B) {
			for b.Loop() {
				data = state.ledger.Snapshot()
			}

			b.ReportMetric(float64(len(data)), "B")
			b.ReportMetric(float64(used), "heap-B")
		})
		b.Run(name+"/restore", func(b *testing.B) {
			for b.Loop() {
				require.NoError(b, ledger.New(ledger.DefaultLimits()).Restore(data))
			}
		})
	}
}

// BenchmarkClaim measures a claim and its settlement.
func BenchmarkClaim(b *testing.B) {
	state := newFilledHarness(b, 13000, 1010, 0)
	limits := ledger.DefaultLimits()
	i := 0

	for b.Loop() {
		key := fmt.Sprint(i % (limits.MaxClaims - 1))
		i++

		state.claim(key, "a", "b", "")
		state.settle(key, "a", wire.Verdict_NotRun, "")
	}
}

// BenchmarkDelta measures the delta for a reader after one change, and the full
// answer.
func BenchmarkDelta(b *testing.B) {
	state := newFilledHarness(b, 13000, 1010, 0)
	before := state.ledger.Records().Version
	state.report(agent("agent-7", 2, 1))
	records := state.ledger.Records()

	b.Run("delta", func(b *testing.B) {
		for b.Loop() {
			records.DeltaSince(before)
		}
	})
	b.Run("full", func(b *testing.B) {
		for b.Loop() {
			records.DeltaSince(0)
		}
	})
}
