package placement

import (
	"math"
)

// repair copies experts held only by unavailable ranks to live ranks, then
// empties the unavailable ranks' slots, and returns the number of copies. An
// expert for which no live slot is free or can be reused stays where it is.
func (w *layerState) repair() int {
	copies := 0
	for i, e := range w.slots {
		if r := i / w.slotsPerRank; e == None || w.liveRanks&(1<<r) != 0 {
			continue
		}
		if w.holders[e] == 0 {
			j, ok := w.cheapestSlot(e)
			if !ok {
				continue
			}
			w.setSlot(j, e)
			copies++
		}
		w.slots[i] = None
	}

	return copies
}

// cheapestSlot returns the slot of a live rank that can take e and whose rank
// then takes the least time.
func (w *layerState) cheapestSlot(e Expert) (int, bool) {
	slot, minTime := -1, math.Inf(1)
	for j, b := range w.slots {
		r := j / w.slotsPerRank
		if w.liveRanks&(1<<r) == 0 || (b != None && replicas(w.holders[b]) < 2) {
			continue
		}
		extra := w.tokens[e]
		if b != None {
			extra -= w.tokens[b] / float64(replicas(w.holders[b]))
		}
		if t := w.rankTime(r, extra, 0); t < minTime {
			slot, minTime = j, t
		}
	}

	return slot, slot >= 0
}

// slotsSuffice reports whether the live ranks have slots for all experts.
func slotsSuffice(s Shape, d *Load) bool {
	live := 0
	for r := range s.Ranks {
		if d.Live(r) {
			live++
		}
	}

	return live*s.SlotsPerRank >= s.Experts
}
