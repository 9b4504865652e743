package prefix

// Change is the kind of a cache event.
type Change uint8

const (
	// Stored means that the engine now holds the prefixes.
	Stored Change = iota
	// Evicted means that the engine no longer holds the prefixes.
	Evicted
	// Cleared means that the engine's cache is empty.
	Cleared
)

// Event is one cache event of an engine. Sequence numbers start at 1 and grow by one
// with each event of an incarnation.
type Event struct {
	Target      string
	Incarnation uint64
	Sequence    uint64
	Change      Change
	Prefixes    []uint64
}

// Apply applies an event, however late. A duplicate changes nothing. A gap in the
// sequence lowers the confidence of earlier entries but does not drop them.
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

// applyStored records prefixes, except those with a later event.
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

// applyEvicted drops prefixes, except those with a later event. It also overrides what
// this entry's own routing recorded, because the engine's events are authoritative.
func (x *Index) applyEvicted(s *targetState, ev Event) {
	for _, p := range ev.Prefixes {
		if b := s.get(p); b.lastSequence < ev.Sequence {
			s.put(p, block{lastSequence: ev.Sequence, evicted: true}, x.maxPerTarget())
		}
	}
}

// clear drops everything stored before the given event.
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
