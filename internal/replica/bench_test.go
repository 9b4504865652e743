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

// BenchmarkPropose measures commits per second through the leader, over HTTP on loopback
// and with real disks, for several numbers of concurrent callers. The baseline is batch=1,
// where each request has its own disk sync.
func BenchmarkPropose(b *testing.B) {
	for _, n := range []int{1, 3} {
		for _, batch := range []int{1, 512} {
			for _, callers := range []int{1, 64, 512} {
				b.Run(fmt.Sprintf("replicas=%d/batch=%d/callers=%d", n, batch, callers), func(b *testing.B) {
					benchmarkPropose(b, n, batch, callers)
				})
			}
		}
	}
}

func benchmarkPropose(b *testing.B, n, batch, callers int) {
	g := newHTTPGroup(b, n, func(r *replica.Replica) {
		r.MaxBatch = batch
		r.Apply = func(uint64, []byte) []byte { return nil }
		r.Snapshot = func() []byte { return nil }
		r.HeartbeatInterval, r.ElectionTimeout = quorum.DefaultHeartbeatInterval, quorum.DefaultElectionTimeout
	})
	defer g.stop()

	leader := g.waitForLeader(b)
	before := leader.Status().Disk
	command := make([]byte, 200)
	requests := make(chan struct{}, callers)

	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for range requests {
				if _, _, err := leader.Propose(timeoutContext(30*time.Second), command); err != nil {
					b.Error(err)
				}
			}
		})
	}

	b.ResetTimer()

	for range b.N {
		requests <- struct{}{}
	}

	close(requests)
	workers.Wait()
	b.StopTimer()

	after := leader.Status().Disk
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	b.ReportMetric(float64(after.Bytes-before.Bytes)/float64(b.N), "bytes/commit")
	b.ReportMetric(float64(after.Syncs-before.Syncs)/float64(b.N), "syncs/commit")
}

// waitForLeader commits a first command and returns the leader.
func (g *httpGroup) waitForLeader(t testing.TB) *replica.Replica {
	_, _, err := g.nodes[0].Propose(timeoutContext(30*time.Second), []byte("first"))
	require.NoError(t, err)

	for {
		for _, r := range g.nodes {
			if r.Status().State == "Leader" {
				return r
			}
		}
	}
}

// BenchmarkRead measures linearizable reads per second, at the leader and at a follower.
func BenchmarkRead(b *testing.B) {
	for _, at := range []string{"leader", "follower"} {
		b.Run(at, func(b *testing.B) {
			g := newHTTPGroup(b, 3, nil)
			defer g.stop()

			r := g.waitForLeader(b)
			for _, other := range g.nodes {
				if at == "follower" && other.Status().State != "Leader" {
					r = other
				}
			}

			b.SetParallelism(16)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, _, err := r.ReadIndex(timeoutContext(10 * time.Second)); err != nil {
						b.Error(err)
					}
				}
			})
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "reads/s")
		})
	}
}

// BenchmarkCatchUp measures the time until a new learner has the entire state, over HTTP
// on loopback, for several sizes of the state.
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
				leader := g.waitForLeader(b)
				_, _, err := leader.Propose(timeoutContext(10*time.Second), []byte("second"))
				require.NoError(b, err)
				b.StartTimer()

				learner := g.nodes[1]
				require.NoError(b, leader.AddLearner(timeoutContext(10*time.Second), quorum.Member{ID: learner.ID, Addr: learner.Addr}))

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

// BenchmarkIdle measures the network and CPU use of an idle group. One operation is one
// second. Bytes and CPU time are totals of the group.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{3, 7} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			g := newHTTPGroup(b, n, func(r *replica.Replica) {
				r.HeartbeatInterval, r.ElectionTimeout = quorum.DefaultHeartbeatInterval, quorum.DefaultElectionTimeout
			})
			defer g.stop()

			g.waitForLeader(b)
			time.Sleep(time.Second)

			cpu, bytes := cpuTime(b), g.proxiedBytes()

			b.ResetTimer()

			for range b.N {
				time.Sleep(time.Second)
			}

			b.StopTimer()

			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(g.proxiedBytes()-bytes)/seconds, "bytes/s")
			b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/seconds, "%core")
		})
	}
}

// proxiedBytes returns the number of bytes that all proxies have read.
func (g *httpGroup) proxiedBytes() int64 {
	n := int64(0)
	for _, p := range g.proxies {
		n += p.bytes.Load()
	}

	return n
}

// cpuTime returns the CPU time of this process.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage

	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
