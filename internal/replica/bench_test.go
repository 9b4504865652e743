package replica_test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/replica"
)

// BenchmarkPropose measures commits a second through the leader, over HTTP on
// loopback and real disks, by how many callers wait at a time. Without group
// sync (batch=1) is the baseline.
func BenchmarkPropose(b *testing.B) {
	for _, n := range []int{1, 3} {
		for _, batch := range []int{1, 512} {
			for _, callers := range []int{1, 64, 512} {
				b.Run(fmt.Sprintf("replicas=%d/batch=%d/callers=%d", n, batch, callers), func(b *testing.B) {
					propose(b, n, batch, callers)
				})
			}
		}
	}
}

func propose(b *testing.B, n, batch, callers int) {
	g := newHTTPGroup(b, n, func(r *replica.Replica) {
		r.MaxBatch = batch
		r.Apply = func(uint64, []byte) []byte { return nil }
		r.Snapshot = func() []byte { return nil }
		r.HeartbeatInterval, r.ElectionTimeout = quorum.DefaultHeartbeatInterval, quorum.DefaultElectionTimeout
	})
	defer g.stop()

	leader := g.leader(b)
	before := leader.Status().Disk
	command := make([]byte, 200)
	work := make(chan struct{}, callers)

	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			for range work {
				if _, _, err := leader.Propose(within(30*time.Second), command); err != nil {
					b.Error(err)
				}
			}
		})
	}

	b.ResetTimer()

	for range b.N {
		work <- struct{}{}
	}

	close(work)
	done.Wait()
	b.StopTimer()

	after := leader.Status().Disk
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(after.Bytes-before.Bytes)/float64(b.N), "bytes/commit")
	b.ReportMetric(float64(after.Syncs-before.Syncs)/float64(b.N), "syncs/commit")
}

func (g *httpGroup) leader(t testing.TB) *replica.Replica {
	_, _, err := g.nodes[0].Propose(within(30*time.Second), []byte("first"))
	require.NoError(t, err)

	for {
		for _, r := range g.nodes {
			if r.Status().State == "Leader" {
				return r
			}
		}
	}
}

// BenchmarkRead measures reads a second that are shown as current, at the leader
// and at a follower.
func BenchmarkRead(b *testing.B) {
	for _, at := range []string{"leader", "follower"} {
		b.Run(at, func(b *testing.B) {
			g := newHTTPGroup(b, 3, nil)
			defer g.stop()

			r := g.leader(b)
			for _, other := range g.nodes {
				if at == "follower" && other.Status().State != "Leader" {
					r = other
				}
			}

			b.SetParallelism(16)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, _, err := r.ReadIndex(within(10 * time.Second)); err != nil {
						b.Error(err)
					}
				}
			})
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
		})
	}
}

// BenchmarkCatchUp measures how long a new learner takes to hold the whole
// state, over HTTP on loopback, by the size of the state.
func BenchmarkCatchUp(b *testing.B) {
	for _, mib := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("MiB=%d", mib), func(b *testing.B) {
			state := make([]byte, mib<<20)

			for b.Loop() {
				b.StopTimer()

				g := newHTTPGroup(b, 2, func(r *replica.Replica) {
					if r.ID == "vm1" {
						r.Founders = nil
					} else {
						r.Founders = r.Founders[:1]
					}

					r.SnapshotThreshold, r.CatchUpEntries = 2, 1
					r.Snapshot = func() []byte { return state }
					r.Restore = func([]byte) error { return nil }
					r.HeartbeatInterval, r.ElectionTimeout = quorum.DefaultHeartbeatInterval, quorum.DefaultElectionTimeout
				})
				leader := g.leader(b)
				_, _, err := leader.Propose(within(10*time.Second), []byte("second"))
				require.NoError(b, err)
				b.StartTimer()

				learner := g.nodes[1]
				require.NoError(b, leader.AddLearner(within(10*time.Second), quorum.Member{ID: learner.ID, Addr: learner.Addr}))

				for learner.Status().Applied < leader.Status().Commit {
					time.Sleep(time.Millisecond)
				}

				b.StopTimer()
				g.stop()
				b.StartTimer()
			}
		})
	}
}

// BenchmarkIdle measures what a group costs while nothing happens: a second of
// it is one operation. Bytes and processor time are for the whole group.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 7} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			g := newHTTPGroup(b, n, func(r *replica.Replica) {
				r.HeartbeatInterval, r.ElectionTimeout = quorum.DefaultHeartbeatInterval, quorum.DefaultElectionTimeout
			})
			defer g.stop()

			g.leader(b)
			time.Sleep(time.Second)

			cpu, bytes := processorTime(b), g.passed()

			b.ResetTimer()

			for range b.N {
				time.Sleep(time.Second)
			}

			b.StopTimer()

			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(g.passed()-bytes)/seconds, "bytes/s")
			b.ReportMetric(100*(processorTime(b)-cpu).Seconds()/seconds, "%core")
		})
	}
}

func (g *httpGroup) passed() int64 {
	n := int64(0)
	for _, r := range g.relays {
		n += r.passed.Load()
	}

	return n
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage

	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
