package journal_test

import (
	"fmt"
	"testing"

	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/quorum"
)

const commandSize = 200

// BenchmarkWrite measures commits per second and bytes per commit, by the number of
// commits that share one sync. One commit per sync is the baseline.
func BenchmarkWrite(b *testing.B) {
	for _, group := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("group=%d", group), func(b *testing.B) {
			j := &journal.Journal{Dir: b.TempDir(), Cluster: "bench", ID: "vm0", NewCreationID: func() uint64 { return 1 }}
			if _, err := j.Open(); err != nil {
				b.Fatal(err)
			}

			before := j.Stats()
			index := uint64(0)

			for b.Loop() {
				entries := make([]quorum.Entry, group)
				for i := range entries {
					index++
					entries[i] = quorum.Entry{Index: index, Term: 1, Command: make([]byte, commandSize)}
				}

				if err := j.Write(quorum.Persist{Entries: entries}); err != nil {
					b.Fatal(err)
				}
			}

			after := j.Stats()
			b.ReportMetric(float64(index)/b.Elapsed().Seconds(), "commits/s")
			b.ReportMetric(float64(after.Bytes-before.Bytes)/float64(index), "bytes/commit")
		})
	}
}

// BenchmarkSnapshot measures the replacement of the snapshot and the log, and the time to
// open both, by the size of the state.
func BenchmarkSnapshot(b *testing.B) {
	for _, mib := range []int{1, 8, 64} {
		data := make([]byte, mib<<20)
		snap := quorum.Persist{State: &quorum.HardState{Term: 1}, Snapshot: &quorum.Snapshot{Index: 1, Term: 1, Data: data}}

		b.Run(fmt.Sprintf("write/MiB=%d", mib), func(b *testing.B) {
			j := &journal.Journal{Dir: b.TempDir(), Cluster: "bench", ID: "vm0", NewCreationID: func() uint64 { return 1 }}
			if _, err := j.Open(); err != nil {
				b.Fatal(err)
			}

			for b.Loop() {
				if err := j.Write(snap); err != nil {
					b.Fatal(err)
				}
			}
		})

		b.Run(fmt.Sprintf("open/MiB=%d", mib), func(b *testing.B) {
			j := &journal.Journal{Dir: b.TempDir(), Cluster: "bench", ID: "vm0", NewCreationID: func() uint64 { return 1 }}
			if _, err := j.Open(); err != nil {
				b.Fatal(err)
			}

			if err := j.Write(snap); err != nil {
				b.Fatal(err)
			}

			for b.Loop() {
				if err := j.Close(); err != nil {
					b.Fatal(err)
				}

				if _, err := j.Open(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
