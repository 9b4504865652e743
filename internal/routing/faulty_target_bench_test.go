package routing_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFaultyTarget measures what callers lose while one of twelve targets fails
// every request immediately, or takes eight times as long.
func BenchmarkFaultyTarget(b *testing.B) {
	for _, kind := range []string{"failing", "slow"} {
		for _, lb := range lbPolicies() {
			b.Run(fmt.Sprintf("%s/%s", kind, lb.name), func(b *testing.B) {
				for range b.N {
					m := newModel(11, deployments[0], lb, 0)
					faulty := m.targets[0]
					m.startPeriodic(5 * time.Second)
					m.after(20*time.Second, func() {
						faulty.failFast = kind == "failing"
						if kind == "slow" {
							faulty.slowdown = 8
						}
					})
					m.arrivals(perSecond(deployments[0], 0.6), m.horizon, func(e *modelEntry) { m.attempt(m.newJob(e)) })
					m.run()
					report(b, m)
					b.ReportMetric(float64(faulty.faults), "faults")
					b.ReportMetric(float64(faulty.served), "served-by-bad")
				}
			})
		}
	}
}
