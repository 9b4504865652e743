package prefix

import "time"

// block is one prefix that a target may hold.
type block struct {
	// routedAt is when this entry last sent a prompt with this prefix there; zero for
	// never.
	routedAt time.Time
	// lastSequence is the sequence number of the engine's last event about the prefix;
	// 0 for none.
	lastSequence uint64
	// evicted is true if that event was an eviction. The block is kept, so that a late
	// event of an earlier store does not restore it.
	evicted bool
}

// targetState is the cache state of one target. Its prefixes are kept in two
// generations. A prefix that is used moves to the young one. When the young one reaches
// half of the limit it becomes the old one, whose previous content is dropped. This
// bounds memory and keeps the prefixes in use.
type targetState struct {
	incarnation uint64
	young, old  map[uint64]block

	// lastSequence is the highest sequence number received, and gaps are the missing
	// ones below it.
	lastSequence uint64
	gaps         []gap
	// clearedSequence is the sequence number of the last event that cleared the cache.
	clearedSequence uint64
}

// gap is a range of missing sequence numbers; to is exclusive.
type gap struct{ from, to uint64 }

// maxGaps limits the number of recorded gaps. Beyond it the oldest gap is merged into
// the next one.
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

// acceptSequence records a sequence number. It returns false for a duplicate.
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

// fillGap removes the number of a late event from its gap.
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

// lastGapEnd returns the end of the last gap, or 0 for none. What was stored before may
// have been evicted by a missing event.
func (s *targetState) lastGapEnd() uint64 {
	if len(s.gaps) == 0 {
		return 0
	}

	return s.gaps[len(s.gaps)-1].to
}
