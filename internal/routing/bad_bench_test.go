package routing_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkBadTarget measures the callers' loss while one target of twelve
// answers each request with a fault at once, or takes eight times as long.
func BenchmarkBadTarget(b *testing.B) {
	for _, kind := range []string{"failing", "slow"} {
		for _, w := range ways() {
			b.Run(fmt.Sprintf("%s/%s", kind, w.name), func(b *testing.B) {
				for range b.N {
					m := newModel(11, sizes[0], w, 0)
					bad := m.targets[0]
					m.watch(5 * time.Second)
					m.after(20*time.Second, func() {
						bad.failFast = kind == "failing"
						if kind == "slow" {
							bad.slow = 8
						}
					})
					m.arrivals(perSecond(sizes[0], 0.6), m.horizon, func(e *modelEntry) { m.try(m.newJob(e)) })
					m.run()
					report(b, m)
					b.ReportMetric(float64(bad.faults), "faults")
					b.ReportMetric(float64(bad.served), "served-by-bad")
				}
			})
		}
	}
}
