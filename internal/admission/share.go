package admission

import "time"

const (
	// maxEntries bounds the entries that are known at a time.
	maxEntries = 4096
	// sweepEvery is how often lapsed reservations are looked for, at most.
	sweepEvery = 10 * time.Millisecond
	// window is how many of the longest waiting entries may take the next free place.
	// Held for the first alone, the place would stay empty until that one asks again.
	window = 8
	// maxFree is how long a place is kept for those that wait; then whoever asks gets
	// it. Entries that went elsewhere seem to wait for a while, and a target would
	// idle for their sake.
	maxFree = 10 * time.Millisecond
	// maxPassed is how many others may be served before the longest waiting entry;
	// then a place is kept for it.
	maxPassed = 32
)

// share divides the limit among the entries that ask for credits.
//
// The slots of a credit advise an entry how much to send. Those that an entry has
// asked for are reserved for a moment, so that the request it asked for is let in;
// then, and for credits that ride on answers, a request is let in wherever there
// is room that nobody has reserved.
//
// It guards against parked capacity and starved entries where hundreds share a
// limit of two: reservations lapse soon, an answer reserves nothing, and entries
// that ask again and again are served in about the order in which they came.
type share struct {
	entries map[string]*entry
	// queue holds the entries that asked in vain more than once, longest waiting first.
	queue  []*entry
	serial uint64
	// sum is over all entries.
	sum     standing
	sweepAt time.Time
	// freeSince is since when there has been a free place, or zero.
	freeSince time.Time
}

// change alters e and keeps the sum right.
func (s *share) change(e *entry, alter func(e *entry)) {
	s.sum = s.sum.minus(e.standing())
	alter(e)

	st := e.standing()
	s.sum.reserved += st.reserved
	s.sum.active += st.active
	s.sum.waiting += st.waiting
}

// of returns the standing of an entry.
func (s *share) of(id string) *entry {
	e := s.entries[id]
	if e == nil {
		e = &entry{}
		s.entries[id] = e
	}

	return e
}

// full reports whether there is no place for one more entry with this ID.
func (s *share) full(id string) bool {
	return s.entries[id] == nil && len(s.entries) >= maxEntries
}

// sweep drops lapsed reservations and turns, and entries that hold nothing. Between
// sweeps a lapsed one counts still, which refuses a little too much.
func (s *share) sweep(now time.Time) {
	if now.Before(s.sweepAt) {
		return
	}

	s.sweepAt = now.Add(sweepEvery)

	for id, e := range s.entries {
		s.lapse(e, now)

		if e.standing() == (standing{}) {
			delete(s.entries, id)
		}
	}

	kept := s.queue[:0]

	for _, e := range s.queue {
		if e.queued {
			kept = append(kept, e)
		}
	}

	clear(s.queue[len(kept):])
	s.queue = kept
}

// see notes that e is active.
func (s *share) see(e *entry, until time.Time) {
	e.seenUntil = until

	if !e.seen {
		s.change(e, func(e *entry) { e.seen = true })
	}
}

// lapse drops what of e has expired.
func (s *share) lapse(e *entry, now time.Time) {
	if e.reserved > 0 && !e.reservedUntil.After(now) {
		s.change(e, func(e *entry) { e.reserved = 0 })
	}

	if e.seen && !e.seenUntil.After(now) {
		s.change(e, func(e *entry) { e.seen = false })
	}

	if e.asks > 0 && !e.waitsUntil.After(now) {
		s.stopWaiting(e)
	}
}

func (s *share) stopWaiting(e *entry) {
	s.change(e, func(e *entry) {
		e.asks = 0
		e.queued = false
		e.passed = 0
	})
}

// wait records that e asked in vain.
func (s *share) wait(e *entry, until time.Time) {
	s.change(e, func(e *entry) { e.asks++ })
	e.waitsUntil = until

	if e.asks > 1 && !e.queued {
		e.queued = true
		s.queue = append(s.queue, e)
	}
}

// served records that e got a place, before others that wait for one.
func (s *share) served(e *entry) {
	s.freeSince = time.Time{}

	if first := s.first(); first != nil && first != e {
		first.passed++
	}

	if e.asks > 0 {
		s.stopWaiting(e)
	}
}

// first is the longest waiting entry, or nil.
func (s *share) first() *entry {
	for _, e := range s.queue {
		if e.queued {
			return e
		}
	}

	return nil
}

// ahead counts the places, of the room that is free now, that are kept for entries before e.
func (s *share) ahead(now time.Time, e *entry, room int) int {
	if room <= 0 {
		return 0
	}

	if s.freeSince.IsZero() {
		s.freeSince = now
	}

	if now.Sub(s.freeSince) >= maxFree {
		return 0
	}

	older := 0

	for _, other := range s.queue {
		if other == e || older >= window+room {
			break
		}

		if other.queued {
			older++
		}
	}

	n := max(older-window, 0)

	if first := s.first(); n == 0 && first != nil && first != e && first.passed >= maxPassed {
		n = 1
	}

	return n
}

// position is how many entries have waited longer than e.
func (s *share) position(e *entry) int {
	n := 0

	for _, other := range s.queue {
		if other == e {
			break
		}

		if other.queued {
			n++
		}
	}

	return n
}

// started and finished count the requests in flight of an entry.
func (s *share) started(id string) {
	s.freeSince = time.Time{}
	s.change(s.of(id), func(e *entry) {
		e.inFlight++
		e.reserved = max(e.reserved-1, 0)
	})
}

func (s *share) finished(id string, now time.Time) {
	if s.freeSince.IsZero() {
		s.freeSince = now
	}

	if e := s.entries[id]; e != nil && e.inFlight > 0 {
		s.change(e, func(e *entry) { e.inFlight-- })
	}
}

// allot returns how many slots of limit e gets: its fair share at least, more
// where the others leave room, and no more than there is room for now.
func (s *share) allot(now time.Time, e *entry, limit int) int {
	others := s.sum.minus(e.standing())
	room := limit - others.reserved
	room -= s.ahead(now, e, room)
	// One more than there are may come, and shall find its part.
	fair := max(limit/(others.active+2), 1)
	n := min(e.wanted, room)

	if others.waiting > 0 {
		n = min(n, fair)
	} else {
		n = min(n, max(fair, room-spare(limit)))
	}

	return max(n, 0)
}

// othersWait reports whether other entries than e wait.
func (s *share) othersWait(e *entry) bool {
	return s.sum.waiting > e.standing().waiting
}

// spare is an eighth of the limit, left for entries that come next, so that one
// that took all doesn't keep them waiting for its credit to expire.
func spare(limit int) int { return limit / 8 }

// open reports whether e may have one more request than its slots: where there is
// room that nobody else has reserved or waits for.
func (s *share) open(now time.Time, e *entry, limit int) bool {
	room := limit - s.sum.minus(e.standing()).reserved - e.inFlight

	return room-s.ahead(now, e, room) > 0
}
