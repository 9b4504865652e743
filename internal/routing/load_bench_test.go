package routing_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/shares"
)

// lbPolicy is a named load-balancing policy.
type lbPolicy struct {
	name string
	make func(*rand.Rand, []routing.Target, []int) picker
}

// lbPolicies returns the baselines and the Chooser. Previous is a Chooser with its
// previous default settings.
func lbPolicies() []lbPolicy {
	return []lbPolicy{
		{"RoundRobin", roundRobin},
		{"LeastReported", leastReported},
		{"TwoChoices", twoChoices},
		{"Previous", chooserPicker(routing.Settings{Candidates: 3, CostTolerance: 0.02, OtherZoneCost: 0.05, ReportHalfWeightAge: 2 * time.Second})},
		{"Chooser", chooserPicker(routing.Settings{})},
	}
}

// deployment is the size of a simulated deployment.
type deployment struct {
	name             string
	entries, targets int
	limit            int
	subsetSize       int
	seconds          int
}

var deployments = []deployment{
	{"Small", 3, 12, 8, 12, 120},
	{"Large", 410, 600, 64, 30, 20},
}

func newModel(seed uint64, s deployment, lb lbPolicy, lag time.Duration) *model {
	rng := rand.New(rand.NewPCG(seed, 7))
	m := &model{rng: rng, baseServiceTime: 2 * time.Second, reportLag: lag, deadline: time.Minute, horizon: time.Duration(s.seconds) * time.Second}
	m.results.answeredAt, m.results.offeredAt, m.results.endedAt = map[int]int{}, map[int]int{}, map[int]int{}
	zones := []string{"ayutthaya", "ang-thong", "saraburi"}

	var list []routing.Target

	for i := range s.targets {
		d := routing.Target{AgentID: fmt.Sprintf("t%03d", i), Service: service, Zone: zones[i%3], Region: "central-th", Capacity: s.limit, Incarnation: 1}
		list = append(list, d)
		m.targets = append(m.targets, &modelTarget{Target: d, warmLimit: s.limit, limit: float64(s.limit), slowdown: 1, reservations: make([]reservation, s.entries)})
	}

	for e, subset := range subsetsOf(s, list) {
		m.entries = append(m.entries, &modelEntry{index: e, zone: zones[e%3], subset: subset, picker: lb.make(rng, list, subset)})
	}

	return m
}

// subsetCache keeps the subsets of each deployment, because computing them for all
// entries takes seconds.
var subsetCache sync.Map

// subsetsOf returns the target indexes of each entry's subset.
func subsetsOf(s deployment, list []routing.Target) [][]int {
	if cached, ok := subsetCache.Load(s.name); ok {
		return cached.([][]int)
	}

	indexOf := map[string]int{}
	targets := make([]shares.Node, len(list))

	for i, t := range list {
		indexOf[t.AgentID] = i
		targets[i] = shares.Node{ID: t.AgentID, Zone: t.Zone, Region: t.Region}
	}

	entries := make([]shares.Node, s.entries)
	for e := range entries {
		entries[e] = shares.Node{ID: fmt.Sprintf("e%d", e), Zone: list[e%3].Zone, Region: list[0].Region}
	}

	out := make([][]int, s.entries)
	for e, self := range entries {
		for id := range (shares.Subsetter{Size: s.subsetSize}).Targets(self, entries, targets) {
			out[e] = append(out[e], indexOf[id])
		}
	}

	subsetCache.Store(s.name, out)

	return out
}

// perSecond returns the request rate that uses the given share of all targets'
// capacity.
func perSecond(s deployment, share float64) float64 {
	return share * float64(s.targets*s.limit) / 2
}

func report(b *testing.B, m *model) {
	r := &m.results
	b.ReportMetric(mean(r.imbalance), "imbalance")
	b.ReportMetric(quantile(r.latencies, 0.95), "p95-s")
	b.ReportMetric(quantile(r.latencies, 0.99), "p99-s")
	b.ReportMetric(100*float64(r.refused)/float64(r.offered), "refused-%")
	b.ReportMetric(float64(r.attempts)/float64(r.offered), "tries/req")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkLaggedReports measures balance and latency with current load reports and
// with reports up to 500 ms old.
func BenchmarkLaggedReports(b *testing.B) {
	for _, s := range deployments {
		for _, lag := range []time.Duration{0, 500 * time.Millisecond} {
			for _, load := range []float64{0.6, 0.9} {
				for _, lb := range lbPolicies() {
					b.Run(fmt.Sprintf("%s/lag=%v/load=%.1f/%s", s.name, lag, load, lb.name), func(b *testing.B) {
						for range b.N {
							m := newModel(1, s, lb, lag)
							m.startPeriodic(5 * time.Second)
							m.arrivals(perSecond(s, load), m.horizon, func(e *modelEntry) { m.attempt(m.newJob(e)) })
							m.run()
							report(b, m)
						}
					})
				}
			}
		}
	}
}

// BenchmarkChoose measures one choice and its end with 12, 30 and 600 targets.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 30, 600} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			c := newChooser(1, targets(n)...)
			for i := range n {
				credit(c, fmt.Sprintf("t%02d", i), 64, epoch.Add(time.Hour))
			}

			b.ReportAllocs()

			for b.Loop() {
				got, _ := c.Choose(epoch, routing.Request{Service: service, Zone: "ang-thong", Region: "central-th"})
				c.Finish(epoch, routing.Finished{AgentID: got.AgentID, Incarnation: 1})
			}
		})
	}
}

// BenchmarkChoosePrefix measures one choice for a prompt of 16 blocks.
func BenchmarkChoosePrefix(b *testing.B) {
	c := newChooser(1, targets(30)...)
	for i := range 30 {
		credit(c, fmt.Sprintf("t%02d", i), 64, epoch.Add(time.Hour))
	}

	prompt := make([]uint64, 16)

	b.ReportAllocs()

	for n := uint64(0); b.Loop(); n++ {
		for i := range prompt {
			prompt[i] = n%500*100 + uint64(i)
		}

		got, _ := c.Choose(epoch, routing.Request{Service: service, Zone: "ang-thong", Region: "central-th", Prefixes: prompt})
		c.Finish(epoch, routing.Finished{AgentID: got.AgentID, Incarnation: 1})
	}
}
