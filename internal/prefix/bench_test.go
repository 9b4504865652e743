package prefix_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/parsleygate/parsleygate/internal/prefix"
)

// BenchmarkMemory measures the memory of a full index, and BenchmarkMatch one lookup of
// a prompt of 16 blocks.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats

		runtime.GC()
		runtime.ReadMemStats(&before)

		x := &prefix.Index{}
		for i := range uint64(1_000_000) {
			x.RecordRouted(epoch, fmt.Sprintf("target-%d", i%30), 1, []uint64{i})
		}

		runtime.GC()
		runtime.ReadMemStats(&after)

		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(x.Size()), "B/pair")
		b.ReportMetric(float64(x.Size()), "pairs")
		b.ReportMetric(0, "ns/op")
	}
}

func BenchmarkMatch(b *testing.B) {
	x := &prefix.Index{}

	prompt := make([]uint64, 16)
	for i := range prompt {
		prompt[i] = uint64(i)
	}

	x.RecordRouted(epoch, "t1", 1, prompt[:9])
	b.ReportAllocs()

	for b.Loop() {
		x.Match(epoch, "t1", prompt)
	}
}
