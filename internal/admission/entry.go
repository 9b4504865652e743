package admission

import "time"

// usage sums up the state of one or more entries: the slots that they have reserved or
// in use, how many of them are active, and how many wait for a slot.
type usage struct {
	reserved int
	active   int
	waiting  int
}

// entry is the allocation state of one entry.
type entry struct {
	// reserved counts slots that are reserved and not in use. They expire at
	// reservedUntil.
	reserved      int
	reservedUntil time.Time
	inFlight      int
	requested     int
	// active says that the entry has used or requested a credit lately, and counts as
	// active until activeUntil.
	active      bool
	activeUntil time.Time
	// unmetRequests counts how many times the entry was denied a slot since it last got one.
	// At waitingUntil it loses its queue position.
	unmetRequests int
	waitingUntil  time.Time
	queued        bool
	// bypassed counts slots given to other entries while this one has waited longest.
	bypassed int
}

// held returns how many slots e has reserved or in use.
func (e *entry) held() int { return e.reserved + e.inFlight }

// usage returns what e adds to the total.
func (e *entry) usage() usage {
	u := usage{reserved: e.held()}

	if e.unmetRequests > 0 {
		u.waiting = 1
	}

	if e.active || u.reserved > 0 || u.waiting > 0 {
		u.active = 1
	}

	return u
}

// minus returns u without other.
func (u usage) minus(other usage) usage {
	return usage{
		reserved: u.reserved - other.reserved,
		active:   u.active - other.active,
		waiting:  u.waiting - other.waiting,
	}
}
