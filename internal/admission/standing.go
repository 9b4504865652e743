package admission

import "time"

// standing is what a group of entries holds and wants.
type standing struct {
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
	wanted        int
	// seen says that the entry used or asked for a credit until seenUntil.
	seen      bool
	seenUntil time.Time
	// asks counts how often the entry asked in vain; at waitsUntil its turn lapses.
	asks       int
	waitsUntil time.Time
	queued     bool
	passed     int
}

// held is how much of the limit is reserved for e or in use by it.
func (e *entry) held() int { return e.reserved + e.inFlight }

// standing is what e adds to the sum.
func (e *entry) standing() standing {
	st := standing{reserved: e.held()}

	if e.asks > 0 {
		st.waiting = 1
	}

	if e.seen || st.reserved > 0 || st.waiting > 0 {
		st.active = 1
	}

	return st
}

// minus returns st without other.
func (st standing) minus(other standing) standing {
	return standing{
		reserved: st.reserved - other.reserved,
		active:   st.active - other.active,
		waiting:  st.waiting - other.waiting,
	}
}
