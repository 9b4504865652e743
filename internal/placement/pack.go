package placement

import (
	"math"
	"slices"
)

// pack fills the slots of the live ranks from scratch. Each spare slot goes to
// the expert with the most work per replica. Each replica, heaviest first, goes
// to the rank that then finishes first, or to one that held the expert in old
// and finishes only slightly later. Slots of unavailable ranks stay as they
// are.
func (w *layerState) pack(old []Expert, s *packScratch) {
	w.countReplicas(s)
	w.clearLiveSlots()
	for _, e := range s.order {
		if r := w.bestRank(e, w.tokens[e]/float64(s.counts[e]), old); r >= 0 {
			i := r*w.slotsPerRank + slices.Index(w.slots[r*w.slotsPerRank:(r+1)*w.slotsPerRank], None)
			w.slots[i] = e
			w.holders[e] |= 1 << r
			w.addWork(1<<r, w.tokens[e]/float64(s.counts[e]), 1)
		}
	}
	w.recount()
}

// packScratch holds buffers that pack reuses.
type packScratch struct {
	counts []int
	order  []Expert
}

// countReplicas sets s.counts to the number of replicas of each expert, and
// s.order to all replicas, heaviest first.
func (w *layerState) countReplicas(s *packScratch) {
	s.counts = resize(s.counts, len(w.tokens))
	for e := range s.counts {
		s.counts[e] = 1
	}
	live := replicas(w.liveRanks)
	for range live*w.slotsPerRank - len(w.tokens) {
		best, maxShare := -1, -1.0
		for e, n := range s.counts {
			if share := w.tokens[e] / float64(n); n < live && share > maxShare {
				best, maxShare = e, share
			}
		}
		if best < 0 {
			break
		}
		s.counts[best]++
	}

	s.order = s.order[:0]
	for e, n := range s.counts {
		for range n {
			s.order = append(s.order, Expert(e))
		}
	}
	slices.SortStableFunc(s.order, func(a, b Expert) int {
		x, y := w.tokens[a]/float64(s.counts[a]), w.tokens[b]/float64(s.counts[b])
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return 0
		}
	})
}

func (w *layerState) clearLiveSlots() {
	for i := range w.slots {
		if w.liveRanks&(1<<(i/w.slotsPerRank)) != 0 {
			w.slots[i] = None
		}
	}
	clear(w.holders)
	clear(w.work)
	clear(w.shareSquares)
}

// keepTolerance is how much later, as a fraction of a perfectly balanced layer
// time, a rank may finish and still be preferred because it already holds the
// expert. The lighter replicas placed afterwards even out the difference.
const keepTolerance = 0.05

// bestRank returns the live rank with a free slot on which e finishes first,
// less keepTolerance for ranks that hold e in old, or -1.
func (w *layerState) bestRank(e Expert, share float64, old []Expert) int {
	best, minTime := -1, math.Inf(1)
	for r := range w.ranks {
		if w.liveRanks&(1<<r) == 0 || w.holders[e]&(1<<r) != 0 {
			continue
		}
		t := w.rankTime(r, share, share*share)
		if slices.Contains(old[r*w.slotsPerRank:(r+1)*w.slotsPerRank], e) {
			t -= keepTolerance
		}
		if t < minTime && slices.Contains(w.slots[r*w.slotsPerRank:(r+1)*w.slotsPerRank], None) {
			best, minTime = r, t
		}
	}

	return best
}
