package placement_test

import (
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/placement"
)

func policies() []policy {
	packed := false
	baseline := &placement.BaselinePlanner{Planner: *newPlanner()}
	baseline.StorePrice = 0 // the first version had no store price
	return []policy{
		{name: "even", decide: func(time.Time, *placement.Group) *placement.Map { return nil }},
		{name: "static", instant: true, decide: func(now time.Time, g *placement.Group) *placement.Map {
			if packed {
				return nil
			}
			packed = true

			return greedy(now, g)
		}},
		{name: "scratch-instant", decide: greedy, instant: true},
		{name: "scratch", decide: greedy},
		{name: "baseline", decide: func(_ time.Time, g *placement.Group) *placement.Map { return baseline.Decide(g) }},
		{name: "planner", decide: decideWith(newPlanner())},
	}
}

func decideWith(p *placement.Planner) func(time.Time, *placement.Group) *placement.Map {
	return func(now time.Time, g *placement.Group) *placement.Map {
		d, err := p.Decide(now, g)
		if err != nil {
			panic(err)
		}

		return d.Map
	}
}

// BenchmarkSkew simulates four hours of every scenario under every policy.
func BenchmarkSkew(b *testing.B) {
	for _, s := range scenarios() {
		for _, p := range policies() {
			b.Run(s.name+"/"+p.name, func(b *testing.B) {
				var o simulationResult
				for b.Loop() {
					o = simulate(s, 1, p)
				}
				b.ReportMetric(o.quantile(0.5), "skew-p50")
				b.ReportMetric(o.quantile(0.95), "skew-p95")
				b.ReportMetric(o.quantile(0.99), "skew-p99")
				b.ReportMetric(o.stepTime(), "step/ideal")
				b.ReportMetric(float64(o.bytes)/(1<<30), "GiB")
				b.ReportMetric(float64(o.rebalances), "rebalances")
				b.ReportMetric(o.slowedSteps/max(1, float64(o.rebalances)), "slowed-steps/rebalance")
				b.ReportMetric(float64(o.decideTime.Nanoseconds())/periods, "decide-ns")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
