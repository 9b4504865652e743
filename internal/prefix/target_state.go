package prefix

import "time"

// block is one prefix that a target may hold.
type block struct {
	// routedAt is when this entry last sent a prompt with it there; zero for never.
	routedAt time.Time
	// lastSequence is that of the engine's last event about it; 0 for none.
	lastSequence uint64
	// evicted says that this event was its eviction. The block is kept, so that a
	// late event of an earlier store does not bring it back.
	evicted bool
}

// targetState is what is known of one target. Its prefixes are kept in two
// generations: what is used moves to the young one, and when that is half of
// the room the old one is dropped, so that memory is bounded and what is in use
// stays.
type targetState struct {
	incarnation uint64
	young, old  map[uint64]block

	// lastSequence is the highest sequence number seen, gaps what is missing below it.
	lastSequence uint64
	gaps         []gap
	// clearedSequence is the sequence of the last event that the cache was emptied.
	clearedSequence uint64
}

// gap is a run of missing sequence numbers, to excluded.
type gap struct{ from, to uint64 }

// maxGaps bounds the gaps that are remembered. Beyond it the oldest is taken
// for lost: it stays open as part of the next.
const maxGaps = 8

func (s *targetState) get(p uint64) block {
	if b, ok := s.young[p]; ok {
		return b
	}

	return s.old[p]
}

func (s *targetState) holds(p uint64) bool {
	b, ok := s.young[p]
	if !ok {
		b, ok = s.old[p]
	}

	return ok && !b.evicted
}

func (s *targetState) put(p uint64, b block, limit int) {
	if s.young == nil {
		s.young = map[uint64]block{}
	}

	s.young[p] = b
	delete(s.old, p)

	if len(s.young) >= max(limit/2, 1) {
		s.old = s.young
		s.young = nil
	}
}

// acceptSequence takes in a sequence number. It returns false for one seen before.
func (s *targetState) acceptSequence(sequence uint64) bool {
	switch {
	case sequence > s.lastSequence:
		if s.lastSequence > 0 && sequence > s.lastSequence+1 {
			s.addGap(gap{from: s.lastSequence + 1, to: sequence})
		}

		s.lastSequence = sequence

		return true
	default:
		return s.fillGap(sequence)
	}
}

func (s *targetState) addGap(g gap) {
	if len(s.gaps) == maxGaps {
		s.gaps[1].from = s.gaps[0].from
		s.gaps = s.gaps[1:]
	}

	s.gaps = append(s.gaps, g)
}

// fillGap closes the part of a gap that a late event fills.
func (s *targetState) fillGap(sequence uint64) bool {
	for i, g := range s.gaps {
		if sequence < g.from || sequence >= g.to {
			continue
		}

		rest := make([]gap, 0, len(s.gaps)+1)
		rest = append(rest, s.gaps[:i]...)

		if g.from < sequence {
			rest = append(rest, gap{from: g.from, to: sequence})
		}

		if sequence+1 < g.to {
			rest = append(rest, gap{from: sequence + 1, to: g.to})
		}

		s.gaps = append(rest, s.gaps[i+1:]...)

		return true
	}

	return false
}

// lastGapEnd is the end of the last gap: what was stored before it may have been
// evicted by an event that did not come.
func (s *targetState) lastGapEnd() uint64 {
	if len(s.gaps) == 0 {
		return 0
	}

	return s.gaps[len(s.gaps)-1].to
}
