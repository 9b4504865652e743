package prefix

import "time"

// block is one prefix that a target may hold.
type block struct {
	// routedAt is when this entry last sent a prompt with it there; zero for never.
	routedAt time.Time
	// sequence is that of the engine's last event about it; 0 for none.
	sequence uint64
	// gone says that this event was its eviction. The block is kept, so that a
	// late event of an earlier store does not bring it back.
	gone bool
}

// holder is what is known of one target. Its prefixes are kept in two
// generations: what is used moves to the young one, and when that is half of
// the room the old one is dropped, so that memory is bounded and what is in use
// stays.
type holder struct {
	incarnation uint64
	young, old  map[uint64]block

	// last is the highest sequence number seen, gaps what is missing below it.
	last uint64
	gaps []gap
	// cleared is the sequence of the last event that the cache was emptied.
	cleared uint64
}

// gap is a run of missing sequence numbers, to excluded.
type gap struct{ from, to uint64 }

// mostGaps bounds the gaps that are remembered. Beyond it the oldest is taken
// for lost: it stays open as part of the next.
const mostGaps = 8

func (h *holder) get(p uint64) block {
	if b, ok := h.young[p]; ok {
		return b
	}

	return h.old[p]
}

func (h *holder) holds(p uint64) bool {
	b, ok := h.young[p]
	if !ok {
		b, ok = h.old[p]
	}

	return ok && !b.gone
}

func (h *holder) put(p uint64, b block, room int) {
	if h.young == nil {
		h.young = map[uint64]block{}
	}

	h.young[p] = b
	delete(h.old, p)

	if len(h.young) >= max(room/2, 1) {
		h.old = h.young
		h.young = nil
	}
}

// see takes in a sequence number. It returns false for one seen before.
func (h *holder) see(sequence uint64) bool {
	switch {
	case sequence > h.last:
		if h.last > 0 && sequence > h.last+1 {
			h.addGap(gap{from: h.last + 1, to: sequence})
		}

		h.last = sequence

		return true
	default:
		return h.fill(sequence)
	}
}

func (h *holder) addGap(g gap) {
	if len(h.gaps) == mostGaps {
		h.gaps[1].from = h.gaps[0].from
		h.gaps = h.gaps[1:]
	}

	h.gaps = append(h.gaps, g)
}

// fill closes the part of a gap that a late event fills.
func (h *holder) fill(sequence uint64) bool {
	for i, g := range h.gaps {
		if sequence < g.from || sequence >= g.to {
			continue
		}

		rest := make([]gap, 0, len(h.gaps)+1)
		rest = append(rest, h.gaps[:i]...)

		if g.from < sequence {
			rest = append(rest, gap{from: g.from, to: sequence})
		}

		if sequence+1 < g.to {
			rest = append(rest, gap{from: sequence + 1, to: g.to})
		}

		h.gaps = append(rest, h.gaps[i+1:]...)

		return true
	}

	return false
}

// missingTo is the end of the last gap: what was stored before it may have been
// evicted by an event that did not come.
func (h *holder) missingTo() uint64 {
	if len(h.gaps) == 0 {
		return 0
	}

	return h.gaps[len(h.gaps)-1].to
}
