package placement_test

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/placement"
)

// greedy replicates and packs every layer from scratch. Each spare slot goes to
// the expert with the most work per replica, and each replica, heaviest first,
// to the rank that then takes the least time.
func greedy(_ time.Time, g *placement.Group) *placement.Map {
	m, err := placement.NewMap(shape)
	if err != nil {
		panic(err)
	}
	for l := range shape.Layers {
		tokens := g.Load.Tokens[l*shape.Experts : (l+1)*shape.Experts]
		packLayer(m.Layer(l), tokens, g.Load.Speed)
	}

	return m
}

func packLayer(slots []placement.Expert, tokens, speed []float64) {
	n := make([]int, len(tokens))
	for e := range n {
		n[e] = 1
	}
	for range len(slots) - len(tokens) {
		best := 0
		for e := range n {
			if n[e] < shape.Ranks/2 && tokens[e]/float64(n[e]) > tokens[best]/float64(n[best]) {
				best = e
			}
		}
		n[best]++
	}

	var order []placement.Expert
	for e := range n {
		for range n[e] {
			order = append(order, placement.Expert(e))
		}
	}
	slices.SortStableFunc(order, func(a, b placement.Expert) int {
		x, y := tokens[a]/float64(n[a]), tokens[b]/float64(n[b])
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return int(a) - int(b)
		}
	})
	for i := range slots {
		slots[i] = placement.None
	}
	work := make([]float64, shape.Ranks)
	for _, e := range order {
		best, at := -1, 0
		for r := range shape.Ranks {
			held := slots[r*shape.SlotsPerRank : (r+1)*shape.SlotsPerRank]
			free := slices.Index(held, placement.None)
			if free < 0 || slices.Contains(held, e) {
				continue
			}
			share := tokens[e] / float64(n[e])
			if best < 0 || (work[r]+share)/speed[r] < (work[best]+share)/speed[best] {
				best, at = r, r*shape.SlotsPerRank+free
			}
		}
		if best < 0 {
			continue // all ranks with free slots already hold e
		}
		slots[at] = e
		work[best] += tokens[e] / float64(n[e])
	}
}
