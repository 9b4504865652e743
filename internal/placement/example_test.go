package placement_test

import (
	"fmt"
	"time"

	"github.com/parsleygate/parsleygate/internal/placement"
)

func ExamplePlanner_Decide() {
	m, _ := placement.NewMap(placement.Shape{Layers: 1, Ranks: 2, SlotsPerRank: 3, Experts: 4})
	p := &placement.Planner{
		ExpertBytes: 20 << 20, StoreRate: 512 << 20, RankRate: 256 << 20,
		Slowdown: 0.05, SwitchPause: 50 * time.Millisecond, ExpertFraction: 0.6,
	}
	d, _ := p.Decide(time.Unix(0, 0), &placement.Group{
		Map:             m,
		Load:            placement.Load{Tokens: []float64{0.4, 0.1, 0.4, 0.1}, Speed: []float64{1, 1}},
		PopularityDecay: time.Hour,
	})
	fmt.Printf("%s: skew %.1f to %.1f, %d moves\n", d.Reason, d.Before.Skew(), d.After.Skew(), len(d.Moves))
	// Output: Gain: skew 1.6 to 1.0, 2 moves
}

func ExampleDecode() {
	m, _ := placement.NewMap(placement.Shape{Layers: 1, Ranks: 2, SlotsPerRank: 2, Experts: 3})
	same, err := placement.Decode(m.Encode())
	fmt.Println(same.Slots, err)
	// Output: [0 2 1 0] <nil>
}
