package admission

import "time"

// share divides the limit among the entries that ask for credits.
//
// Slots are reservations: their sum over unexpired credits stays within the
// limit, so that a request on a credit is seldom refused. A request beyond its
// slots is let in where nobody else's reservation is touched.
//
// It guards against parked capacity and starved entries where hundreds share a
// limit of two: while others wait, credits are short and aren't renewed past the
// fair share, and an entry that asks again and again is served before those that
// were served since.
type share struct {
	entries map[string]*entry
	serial  uint64
}

// entry is the standing of one entry.
type entry struct {
	slots     int
	expiresAt time.Time
	inFlight  int
	wanted    int
	// waitsSince is when the entry first asked in vain, zero while it doesn't wait;
	// waitsUntil is when its turn lapses unless it asks again.
	waitsSince time.Time
	waitsUntil time.Time
	asks       int
}

// held is how much of the limit is reserved for e.
func (e *entry) held() int { return max(e.slots, e.inFlight) }

// of returns the standing of an entry.
func (s *share) of(id string) *entry {
	e := s.entries[id]
	if e == nil {
		e = &entry{}
		s.entries[id] = e
	}

	return e
}

// expire drops lapsed reservations and turns, and entries that hold nothing.
func (s *share) expire(now time.Time) {
	for id, e := range s.entries {
		if !e.expiresAt.After(now) {
			e.slots = 0
		}

		if !e.waitsUntil.After(now) {
			e.waitsSince = time.Time{}
			e.asks = 0
		}

		if e.held() == 0 && e.waitsSince.IsZero() {
			delete(s.entries, id)
		}
	}
}

// standing sums up the other entries, as seen by one that asks.
type standing struct {
	reserved int
	// ahead counts those that have waited longer and asked more than once.
	ahead   int
	waiting int
	active  int
}

func (s *share) standing(self *entry, now time.Time) standing {
	st := standing{active: 1}

	for _, e := range s.entries {
		if e == self {
			continue
		}

		e.lapse(now)
		st.reserved += e.held()

		if e.waitsSince.IsZero() {
			if e.held() > 0 {
				st.active++
			}

			continue
		}

		st.active++
		st.waiting++

		if e.asks > 1 && (self.waitsSince.IsZero() || e.waitsSince.Before(self.waitsSince)) {
			st.ahead++
		}
	}

	return st
}

// lapse drops what of e has expired.
func (e *entry) lapse(now time.Time) {
	if e.slots > 0 && !e.expiresAt.After(now) {
		e.slots = 0
	}

	if !e.waitsSince.IsZero() && !e.waitsUntil.After(now) {
		e.waitsSince = time.Time{}
		e.asks = 0
	}
}

// finished takes the end of one request of an entry.
func (s *share) finished(id string) {
	if e := s.entries[id]; e != nil && e.inFlight > 0 {
		e.inFlight--
	}
}

// spare is an eighth of the limit, left for entries that come next, so that one
// that took all doesn't keep them waiting for its credit to expire.
func spare(limit int) int { return limit / 8 }

// allot returns how many slots an entry gets that wants some.
func (st standing) allot(wanted, limit int) int {
	room := limit - st.reserved - st.ahead
	fair := max(limit/st.active, 1)
	n := min(wanted, room)

	if st.waiting > 0 {
		n = min(n, fair)
	} else {
		n = min(n, max(fair, room-spare(limit)))
	}

	return max(n, 0)
}
