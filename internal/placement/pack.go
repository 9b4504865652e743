package placement

import (
	"math"
	"slices"
)

// pack fills the slots of the live ranks from scratch: spare slots go, one by
// one, to the expert with most work for each replica, and replicas, heaviest
// first, to the rank that then finishes first. Then equally fast ranks exchange
// their sets, so that each keeps as much of old as it can. Slots of ranks that
// are out stay as they are.
func (w *layer) pack(old []Expert, s *packScratch) {
	w.replicate(s)
	w.clearLive()
	for _, e := range s.order {
		if r := w.bestRank(e, w.tokens[e]/float64(s.counts[e])); r >= 0 {
			i := r*w.slotsPerRank + slices.Index(w.slots[r*w.slotsPerRank:(r+1)*w.slotsPerRank], None)
			w.slots[i] = e
			w.holders[e] |= 1 << r
			w.shift(1<<r, w.tokens[e]/float64(s.counts[e]), 1)
		}
	}
	w.relabel(old, s)
	w.count()
}

// packScratch is memory that pack reuses.
type packScratch struct {
	counts []int
	order  []Expert
	slots  []Expert
}

// replicate sets s.counts and s.order: how many replicas each expert gets, and
// all replicas, heaviest first.
func (w *layer) replicate(s *packScratch) {
	s.counts = resize(s.counts, len(w.tokens))
	for e := range s.counts {
		s.counts[e] = 1
	}
	live := replicas(w.live)
	for range live*w.slotsPerRank - len(w.tokens) {
		best, most := -1, -1.0
		for e, n := range s.counts {
			if share := w.tokens[e] / float64(n); n < live && share > most {
				best, most = e, share
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

func (w *layer) clearLive() {
	for i := range w.slots {
		if w.live&(1<<(i/w.slotsPerRank)) != 0 {
			w.slots[i] = None
		}
	}
	clear(w.holders)
	clear(w.work)
	clear(w.spread)
}

// bestRank returns the live rank with a free slot that takes e soonest, or -1.
func (w *layer) bestRank(e Expert, share float64) int {
	best, least := -1, math.Inf(1)
	for r := range w.ranks {
		if w.live&(1<<r) == 0 || w.holders[e]&(1<<r) != 0 {
			continue
		}
		if t := w.at(r, share, share*share); t < least && slices.Contains(w.slots[r*w.slotsPerRank:(r+1)*w.slotsPerRank], None) {
			best, least = r, t
		}
	}

	return best
}

// samePace is how much the paces of two ranks that exchange their sets may differ.
const samePace = 0.05

// relabel gives each rank, in turn, the packed set that shares most with its old one.
func (w *layer) relabel(old []Expert, s *packScratch) {
	s.slots = append(s.slots[:0], w.slots...)
	taken := ^w.live
	for r := range w.ranks {
		if w.live&(1<<r) == 0 {
			continue
		}
		from, most := -1, -1
		for x := range w.ranks {
			if taken&(1<<x) != 0 || math.Abs(w.pace[x]-w.pace[r]) > samePace*w.pace[r] {
				continue
			}
			if n := common(old[r*w.slotsPerRank:(r+1)*w.slotsPerRank], s.slots[x*w.slotsPerRank:(x+1)*w.slotsPerRank]); n > most {
				from, most = x, n
			}
		}
		if from < 0 {
			// A chain of nearly equal paces left none: keep the packing as it is.
			copy(w.slots, s.slots)

			return
		}
		taken |= 1 << from
		copy(w.slots[r*w.slotsPerRank:(r+1)*w.slotsPerRank], s.slots[from*w.slotsPerRank:(from+1)*w.slotsPerRank])
	}
}

// common counts the experts that both sets hold.
func common(a, b []Expert) int {
	n := 0
	for _, e := range a {
		if e != None && slices.Contains(b, e) {
			n++
		}
	}

	return n
}
