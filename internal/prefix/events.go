package prefix

// Change says what a cache event tells.
type Change uint8

const (
	// Stored says that the engine now holds the prefixes.
	Stored Change = iota
	// Evicted says that it no longer holds them.
	Evicted
	// Cleared says that it holds nothing any more.
	Cleared
)

// Event is one cache event of an engine. Sequence numbers start at 1 and grow
// by one with each event of an incarnation.
type Event struct {
	Target      string
	Incarnation uint64
	Sequence    uint64
	Change      Change
	Prefixes    []uint64
}

// Apply takes in an event, however late. One that was seen before changes
// nothing. A gap makes what was known uncertain, not wrong.
func (x *Index) Apply(ev Event) {
	s := x.stateOf(ev.Target, ev.Incarnation)
	if s.incarnation != ev.Incarnation || !s.acceptSequence(ev.Sequence) {
		return
	}

	switch ev.Change {
	case Stored:
		x.applyStored(s, ev)
	case Evicted:
		x.applyEvicted(s, ev)
	case Cleared:
		s.clear(ev.Sequence)
	}
}

// applyStored records prefixes, but for those of which a later event has told.
func (x *Index) applyStored(s *targetState, ev Event) {
	if ev.Sequence < s.clearedSequence {
		return
	}

	for _, p := range ev.Prefixes {
		b := s.get(p)
		if b.lastSequence < ev.Sequence {
			b.lastSequence, b.evicted = ev.Sequence, false
			s.put(p, b, x.maxPerTarget())
		}
	}
}

// applyEvicted drops prefixes, but for those of which a later event has told. What
// this entry's own routing told goes with them: the engine knows better.
func (x *Index) applyEvicted(s *targetState, ev Event) {
	for _, p := range ev.Prefixes {
		if b := s.get(p); b.lastSequence < ev.Sequence {
			s.put(p, block{lastSequence: ev.Sequence, evicted: true}, x.maxPerTarget())
		}
	}
}

// clear drops all that was stored before.
func (s *targetState) clear(sequence uint64) {
	s.clearedSequence = max(s.clearedSequence, sequence)

	for _, m := range []map[uint64]block{s.young, s.old} {
		for p, b := range m {
			if b.lastSequence < sequence {
				delete(m, p)
			}
		}
	}
}
