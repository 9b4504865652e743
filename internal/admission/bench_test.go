package admission

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// BenchmarkAdmitFinish is one request through the core, with its share of ticks
// and, for each, the credit that rides on the answer.
func BenchmarkAdmitFinish(b *testing.B) {
	for _, entries := range []int{1, 4, 410} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			bn := newBench(b, 64, 64)
			credits := make([]Credit, entries)
			ids := make([]string, b.N)

			for i := range ids {
				ids[i] = "attempt-" + strconv.Itoa(i)
			}

			for i := range credits {
				credits[i] = bn.grant("entry-"+strconv.Itoa(i), 1)
			}

			refused := 0

			b.ReportAllocs()
			b.ResetTimer()

			for i := range b.N {
				bn.now = bn.now.Add(100 * time.Microsecond)
				bn.core.target.announcedAt = bn.now

				if i%1000 == 0 {
					bn.core.Tick(bn.now)
				}

				c := &credits[i%entries]
				if !bn.core.Admit(bn.now, Request{AttemptID: ids[i], Credit: *c, Service: "assist"}).Admitted {
					refused++
				}

				bn.core.FirstToken(bn.now, ids[i])
				bn.core.Finish(bn.now, ids[i], Outcome{Verdict: verdict.Ran})
				*c = bn.core.Renew(bn.now, c.EntryID).Credit
			}

			b.ReportMetric(float64(refused)/float64(b.N), "refused/op")
		})
	}
}

// BenchmarkAsk is one of many entries asking at a full target.
func BenchmarkAsk(b *testing.B) {
	for _, entries := range []int{4, 410, 4000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			bn := newBench(b, 2, 2)
			bn.admit()
			bn.admit()

			ids := make([]string, entries)
			for i := range ids {
				ids[i] = "entry-" + strconv.Itoa(i)
			}

			b.ReportAllocs()
			b.ResetTimer()

			for i := range b.N {
				bn.now = bn.now.Add(50 * time.Millisecond / time.Duration(entries))
				bn.core.target.announcedAt = bn.now
				bn.core.Grant(bn.now, GrantRequest{EntryID: ids[i%entries], Wanted: 1})
			}
		})
	}
}

// BenchmarkRememberedAttempt reports the memory of one remembered attempt.
func BenchmarkRememberedAttempt(b *testing.B) {
	const n = 50_000

	for range b.N {
		bn := newBench(b, 64, 64)

		var before, after runtime.MemStats

		runtime.GC()
		runtime.ReadMemStats(&before)

		for range n {
			r := bn.arrival(bn.grant("entry-1", 8))
			r.AttemptID = fmt.Sprintf("00000000-0000-0000-0000-%012d", bn.n)
			bn.core.Admit(bn.now, r)
			bn.ran(r, nil)
		}

		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/attempt")
		runtime.KeepAlive(bn)
	}
}

// BenchmarkRamp reports how long a saturated target takes from a limit of 2 to 32.
func BenchmarkRamp(b *testing.B) {
	for _, takes := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
		b.Run(takes.String(), func(b *testing.B) {
			for range b.N {
				bn := newBench(b, 2, 32)
				bn.announce("boot-2", false)

				begun := bn.now
				ends := map[time.Time][]Request{}

				for bn.core.Load().Cold {
					for _, r := range ends[bn.now] {
						bn.core.FirstToken(bn.now, r.AttemptID)
						bn.ran(r, nil)
					}

					delete(ends, bn.now)

					for {
						r := bn.arrival(bn.grant("entry-1", 64))
						if !bn.core.Admit(bn.now, r).Admitted {
							break
						}

						ends[bn.now.Add(takes)] = append(ends[bn.now.Add(takes)], r)
					}

					bn.pass(10 * time.Millisecond)
				}

				b.ReportMetric(bn.now.Sub(begun).Seconds(), "s-to-warm")
			}
		})
	}
}
