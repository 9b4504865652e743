package fairness_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/parsleygate/parsleygate/internal/fairness"
)

// BenchmarkMemory measures the memory of a queue with 13,000 workspaces that have one
// waiting request each.
func BenchmarkMemory(b *testing.B) {
	const workspaces = 13_000

	for range b.N {
		var before, after runtime.MemStats

		runtime.GC()
		runtime.ReadMemStats(&before)

		q := newQueue(1)
		q.Settings.MaxWaiting = workspaces
		q.SetCapacity(epoch, 1)

		for id := range uint64(workspaces + 1) {
			q.Submit(epoch, fairness.Item{ID: id, Workspace: fmt.Sprintf("workspace-%d", id)})
		}

		runtime.GC()
		runtime.ReadMemStats(&after)

		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/workspaces, "B/workspace")
		b.ReportMetric(float64(q.State().Waiting), "waiting")
		b.ReportMetric(0, "ns/op")
	}
}
