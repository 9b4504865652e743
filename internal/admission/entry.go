package admission

import "time"

// usage is what a group of entries holds and wants.
type usage struct {
	reserved int
	active   int
	waiting  int
}

// entry is the standing of one entry.
type entry struct {
	// reserved slots are not in use yet; they lapse at reservedUntil.
	reserved      int
	reservedUntil time.Time
	inFlight      int
	requested     int
	// active says that the entry used or asked for a credit until seenUntil.
	active      bool
	activeUntil time.Time
	// unmetRequests counts how often the entry asked in vain; at waitsUntil its turn lapses.
	unmetRequests int
	waitingUntil  time.Time
	queued        bool
	bypassed      int
}

// held is how much of the limit is reserved for e or in use by it.
func (e *entry) held() int { return e.reserved + e.inFlight }

// usage is what e adds to the sum.
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

// minus returns st without other.
func (u usage) minus(other usage) usage {
	return usage{
		reserved: u.reserved - other.reserved,
		active:   u.active - other.active,
		waiting:  u.waiting - other.waiting,
	}
}
