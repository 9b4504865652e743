package admission

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// BenchmarkAdmitFinish measures one request from admission to its end, including the
// renewal of the credit and a thousandth of a tick.
func BenchmarkAdmitFinish(b *testing.B) {
	for _, entries := range []int{1, 4, 410} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			h := newHarness(b, 64, 64)
			credits := make([]Credit, entries)
			ids := make([]string, b.N)

			for i := range ids {
				ids[i] = "attempt-" + strconv.Itoa(i)
			}

			for i := range credits {
				credits[i] = h.grant("entry-"+strconv.Itoa(i), 1)
			}

			rejected := 0

			b.ReportAllocs()
			b.ResetTimer()

			for i := range b.N {
				h.now = h.now.Add(100 * time.Microsecond)
				h.core.target.announcedAt = h.now

				if i%1000 == 0 {
					h.core.Tick(h.now)
				}

				c := &credits[i%entries]
				if !h.core.Admit(h.now, Request{AttemptID: ids[i], Credit: *c, Service: "assist"}).Admitted {
					rejected++
				}

				h.core.FirstToken(h.now, ids[i])
				h.core.Finish(h.now, ids[i], Outcome{Verdict: verdict.Ran})
				*c = h.core.Renew(h.now, c.EntryID).Credit
			}

			b.ReportMetric(float64(rejected)/float64(b.N), "refused/op")
		})
	}
}

// BenchmarkGrantAtFullTarget measures a credit request of one of many entries at a full
// target.
func BenchmarkGrantAtFullTarget(b *testing.B) {
	for _, entries := range []int{4, 410, 4000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			h := newHarness(b, 2, 2)
			h.admit()
			h.admit()

			ids := make([]string, entries)
			for i := range ids {
				ids[i] = "entry-" + strconv.Itoa(i)
			}

			b.ReportAllocs()
			b.ResetTimer()

			for i := range b.N {
				h.now = h.now.Add(50 * time.Millisecond / time.Duration(entries))
				h.core.target.announcedAt = h.now
				h.core.Grant(h.now, GrantRequest{EntryID: ids[i%entries], Wanted: 1})
			}
		})
	}
}

// BenchmarkStoredAttempt reports the memory used by the record of one attempt.
func BenchmarkStoredAttempt(b *testing.B) {
	const n = 50_000

	for range b.N {
		h := newHarness(b, 64, 64)

		var before, after runtime.MemStats

		runtime.GC()
		runtime.ReadMemStats(&before)

		for range n {
			r := h.request(h.grant("entry-1", 8))
			r.AttemptID = fmt.Sprintf("00000000-0000-0000-0000-%012d", h.n)
			h.core.Admit(h.now, r)
			h.complete(r, nil)
		}

		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "bytes/attempt")
		runtime.KeepAlive(h)
	}
}

// BenchmarkRamp reports how long the limit of a saturated target takes to grow from 2 to 32.
func BenchmarkRamp(b *testing.B) {
	for _, duration := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
		b.Run(duration.String(), func(b *testing.B) {
			for range b.N {
				h := newHarness(b, 2, 32)
				h.announce("boot-2", false)

				begin := h.now
				ends := map[time.Time][]Request{}

				for h.core.Load().Cold {
					for _, r := range ends[h.now] {
						h.core.FirstToken(h.now, r.AttemptID)
						h.complete(r, nil)
					}

					delete(ends, h.now)

					for {
						r := h.request(h.grant("entry-1", 64))
						if !h.core.Admit(h.now, r).Admitted {
							break
						}

						ends[h.now.Add(duration)] = append(ends[h.now.Add(duration)], r)
					}

					h.advance(10 * time.Millisecond)
				}

				b.ReportMetric(h.now.Sub(begin).Seconds(), "s-to-warm")
			}
		})
	}
}
