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
				if !bn.core.Arrive(bn.now, Arrival{AttemptID: ids[i], Credit: *c, Service: "assist"}).Admitted {
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
				bn.core.Grant(bn.now, GrantAsk{EntryID: ids[i%entries], Wanted: 1})
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
			bn.core.Arrive(bn.now, r)
			bn.ran(r, nil)
		}

		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/attempt")
		runtime.KeepAlive(bn)
	}
}
