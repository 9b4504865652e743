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
	h := x.of(ev.Target, ev.Incarnation)
	if h.incarnation != ev.Incarnation || !h.see(ev.Sequence) {
		return
	}

	switch ev.Change {
	case Stored:
		x.stored(h, ev)
	case Evicted:
		x.evicted(h, ev)
	case Cleared:
		h.clear(ev.Sequence)
	}
}

// stored records prefixes, but for those of which a later event has told.
func (x *Index) stored(h *holder, ev Event) {
	if ev.Sequence < h.cleared {
		return
	}

	for _, p := range ev.Prefixes {
		b := h.get(p)
		if b.sequence < ev.Sequence {
			b.sequence, b.gone = ev.Sequence, false
			h.put(p, b, x.room())
		}
	}
}

// evicted drops prefixes, but for those of which a later event has told. What
// this entry's own routing told goes with them: the engine knows better.
func (x *Index) evicted(h *holder, ev Event) {
	for _, p := range ev.Prefixes {
		if b := h.get(p); b.sequence < ev.Sequence {
			h.put(p, block{sequence: ev.Sequence, gone: true}, x.room())
		}
	}
}

// clear drops all that was stored before.
func (h *holder) clear(sequence uint64) {
	h.cleared = max(h.cleared, sequence)

	for _, m := range []map[uint64]block{h.young, h.old} {
		for p, b := range m {
			if b.sequence < sequence {
				delete(m, p)
			}
		}
	}
}
