package quorum_test

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// BenchmarkWithoutLeader measures, in simulated time, how long a group of n replicas has
// no leader that commits, after its leader failed and after a leadership transfer.
func BenchmarkWithoutLeader(b *testing.B) {
	for _, n := range []int{3, 7} {
		for _, how := range []string{"lost", "handed over"} {
			b.Run(fmt.Sprintf("replicas=%d/%s", n, how), func(b *testing.B) {
				var gaps []time.Duration

				for b.Loop() {
					gaps = append(gaps, leaderlessTime(uint64(len(gaps)), n, how == "lost"))
				}

				slices.Sort(gaps)
				b.ReportMetric(gaps[len(gaps)/2].Seconds(), "p50-s")
				b.ReportMetric(gaps[len(gaps)*95/100].Seconds(), "p95-s")
				b.ReportMetric(gaps[len(gaps)-1].Seconds(), "max-s")
			})
		}
	}
}

func leaderlessTime(seed uint64, n int, lost bool) time.Duration {
	w := newSimulation(seed, n)
	for w.leader() == nil {
		w.run(time.Second)
	}

	w.run(time.Second + time.Duration(w.rng.Int64N(int64(time.Second))))

	old := w.leader()
	from := w.now

	if lost {
		w.kill(old)
	} else {
		w.transfer(old)
	}

	for i := 0; ; i++ {
		if l := w.leader(); l != nil && l != old {
			o := w.propose(l, fmt.Sprint("probe", i))
			w.run(4 * time.Millisecond)

			if o.returnTime != 0 {
				return w.now.Sub(from)
			}
		}

		w.run(time.Millisecond)
	}
}

// BenchmarkIdleMessages counts the messages of an idle group in simulated time.
func BenchmarkIdleMessages(b *testing.B) {
	for _, n := range []int{3, 7} {
		b.Run(fmt.Sprintf("replicas=%d", n), func(b *testing.B) {
			w := newSimulation(1, n)
			w.run(10 * time.Second)

			before, from := w.messages, w.now

			for b.Loop() {
				w.run(time.Second)
			}

			b.ReportMetric(float64(w.messages-before)/w.now.Sub(from).Seconds(), "messages/s")
		})
	}
}
