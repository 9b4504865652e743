package placement_test

import (
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/placement"
)

// newStaleGroup returns a group whose map was made for the popularity of the
// given number of minutes ago.
func newStaleGroup(minutes int) *placement.Group {
	g := newGroupModel(scenario{sigma: 0.7, popularityDecay: 3 * time.Hour, speed: evenSpeed}, 1)
	g.advance(1)
	group := &placement.Group{Load: placement.Load{Tokens: g.tokens, Speed: g.speed}, PopularityDecay: 3 * time.Hour}
	group.Map = greedy(epoch, group)
	for range minutes * samplesPerPeriod {
		g.advance(1)
	}

	return group
}

// BenchmarkDecide measures one decision for a group of full size.
func BenchmarkDecide(b *testing.B) {
	for _, c := range []struct {
		name  string
		group *placement.Group
	}{{"usual", newStaleGroup(5)}, {"after-shift", newStaleGroup(600)}} {
		for _, p := range []policy{{name: "scratch", decide: greedy}, {name: "planner", decide: decideWith(newPlanner())}} {
			b.Run(c.name+"/"+p.name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.decide(epoch, c.group)
				}
			})
		}
	}
}
