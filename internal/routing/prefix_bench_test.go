package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/routing"
)

// conversations returns a source of prompts of eight blocks: two that all prompts
// share, four of one of 200 conversations, and two unique ones. A few conversations
// make up most of the traffic.
func conversations(rng *rand.Rand) func() []uint64 {
	zipf := rand.NewZipf(rng, 1.1, 4, 199)

	return func() []uint64 {
		c := 1000 * (1 + zipf.Uint64())

		return []uint64{1, 2, c, c + 1, c + 2, c + 3, rng.Uint64(), rng.Uint64()}
	}
}

// BenchmarkPrefix measures the share of cacheable blocks that are found in the cache,
// beside balance and latency.
func BenchmarkPrefix(b *testing.B) {
	list := []lbPolicy{{"RoundRobin", roundRobin}, {"TwoChoices", twoChoices}}
	list = append(list,
		lbPolicy{"NoAffinity", chooserPicker(routing.Settings{PrefixGain: 1e-9, AffinityGain: 1e-9})},
		lbPolicy{"Previous", chooserPicker(routing.Settings{PrefixGain: 0.5, AffinityGain: 1e-9})},
		lbPolicy{"Chooser", chooserPicker(routing.Settings{})},
	)

	for _, load := range []float64{0.5, 0.8} {
		for _, events := range []bool{false, true} {
			for _, lb := range list {
				b.Run(fmt.Sprintf("load=%.1f/events=%v/%s", load, events, lb.name), func(b *testing.B) {
					for range b.N {
						m := newModel(9, deployments[0], lb, 0)
						m.prefixOf, m.cacheEvents = conversations(m.rng), events
						m.startPeriodic(5 * time.Second)
						m.arrivals(perSecond(deployments[0], load), m.horizon, func(e *modelEntry) { m.attempt(m.newJob(e)) })
						m.run()
						report(b, m)
						// Two of the eight blocks are always new.
						b.ReportMetric(100*float64(m.results.hitBlocks)/(0.75*float64(m.results.blocks)), "hit-%")
						b.ReportMetric(mean(m.results.latencies), "mean-s")
					}
				})
			}
		}
	}
}
