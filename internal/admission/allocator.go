package admission

import "time"

const (
	// maxEntries bounds the number of entries with state.
	maxEntries = 4096
	// sweepInterval is the shortest time between two sweeps for expired state.
	sweepInterval = 10 * time.Millisecond
	// queueWindow is how many of the longest waiting entries may take the next free slot.
	// A slot held for the first one alone would stay unused until that one asks again.
	queueWindow = 8
	// maxSlotHold is how long a free slot is held for waiting entries. After that any
	// entry may take it. An entry that went to another target still counts as waiting
	// for a while, and the slot would stay unused.
	maxSlotHold = 10 * time.Millisecond
	// maxBypassed is how many other entries may get slots before the longest waiting
	// entry. After that a slot is held for it.
	maxBypassed = 32
)

// allocator divides the limit among the entries that request credits.
//
// The slots of a credit advise an entry how much to send. Slots that an entry requested
// are reserved for ReservationTTL, so that the request they are meant for is admitted.
// After that, and on credits sent along with answers, a request is admitted if there
// is capacity that is not reserved.
//
// It guards against unused capacity and starved entries where hundreds of entries share
// a limit of two. Reservations expire soon, credits sent along with answers reserve
// nothing, and entries that keep asking get slots in about the order of arrival.
type allocator struct {
	entries map[string]*entry
	// queue holds the entries that have been denied slots more than once, longest
	// waiting first.
	queue  []*entry
	serial uint64
	// total is the usage of all entries.
	total     usage
	nextSweep time.Time
	// slotFreeSince is since when a slot has been free, or zero.
	slotFreeSince time.Time
}

// update applies a change to e and adjusts the total.
func (a *allocator) update(e *entry, apply func(e *entry)) {
	a.total = a.total.minus(e.usage())
	apply(e)

	u := e.usage()
	a.total.reserved += u.reserved
	a.total.active += u.active
	a.total.waiting += u.waiting
}

// entryFor returns the state of the entry with this ID, and creates it if needed.
func (a *allocator) entryFor(id string) *entry {
	e := a.entries[id]
	if e == nil {
		e = &entry{}
		a.entries[id] = e
	}

	return e
}

// atEntryLimit reports whether the entry with this ID is new and exceeds maxEntries.
func (a *allocator) atEntryLimit(id string) bool {
	return a.entries[id] == nil && len(a.entries) >= maxEntries
}

// sweep removes expired reservations and queue positions, and entries without usage.
// Until the next sweep, an expired reservation still counts and may cause a few
// rejections too many.
func (a *allocator) sweep(now time.Time) {
	if now.Before(a.nextSweep) {
		return
	}

	a.nextSweep = now.Add(sweepInterval)

	for id, e := range a.entries {
		a.expire(e, now)

		if e.usage() == (usage{}) {
			delete(a.entries, id)
		}
	}

	kept := a.queue[:0]

	for _, e := range a.queue {
		if e.queued {
			kept = append(kept, e)
		}
	}

	clear(a.queue[len(kept):])
	a.queue = kept
}

// markActive marks e as active until the given time.
func (a *allocator) markActive(e *entry, until time.Time) {
	e.activeUntil = until

	if !e.active {
		a.update(e, func(e *entry) { e.active = true })
	}
}

// expire removes the expired parts of e's state.
func (a *allocator) expire(e *entry, now time.Time) {
	if e.reserved > 0 && !e.reservedUntil.After(now) {
		a.update(e, func(e *entry) { e.reserved = 0 })
	}

	if e.active && !e.activeUntil.After(now) {
		a.update(e, func(e *entry) { e.active = false })
	}

	if e.unmetRequests > 0 && !e.waitingUntil.After(now) {
		a.stopWaiting(e)
	}
}

func (a *allocator) stopWaiting(e *entry) {
	a.update(e, func(e *entry) {
		e.unmetRequests = 0
		e.queued = false
		e.bypassed = 0
	})
}

// markWaiting records that e was denied a slot. From the second time on, e is queued.
func (a *allocator) markWaiting(e *entry, until time.Time) {
	a.update(e, func(e *entry) { e.unmetRequests++ })
	e.waitingUntil = until

	if e.unmetRequests > 1 && !e.queued {
		e.queued = true
		a.queue = append(a.queue, e)
	}
}

// recordAllocation records that e got a slot. If e was not the longest waiting entry,
// that one was bypassed.
func (a *allocator) recordAllocation(e *entry) {
	a.slotFreeSince = time.Time{}

	if first := a.longestWaiting(); first != nil && first != e {
		first.bypassed++
	}

	if e.unmetRequests > 0 {
		a.stopWaiting(e)
	}
}

// longestWaiting returns the longest waiting entry, or nil.
func (a *allocator) longestWaiting() *entry {
	for _, e := range a.queue {
		if e.queued {
			return e
		}
	}

	return nil
}

// heldForQueue returns how many of the available slots are held for entries that have
// waited longer than e.
func (a *allocator) heldForQueue(now time.Time, e *entry, available int) int {
	if available <= 0 {
		return 0
	}

	if a.slotFreeSince.IsZero() {
		a.slotFreeSince = now
	}

	if now.Sub(a.slotFreeSince) >= maxSlotHold {
		return 0
	}

	older := 0

	for _, other := range a.queue {
		if other == e || older >= queueWindow+available {
			break
		}

		if other.queued {
			older++
		}
	}

	n := max(older-queueWindow, 0)

	if first := a.longestWaiting(); n == 0 && first != nil && first != e && first.bypassed >= maxBypassed {
		n = 1
	}

	return n
}

// queuePosition returns how many entries have waited longer than e.
func (a *allocator) queuePosition(e *entry) int {
	n := 0

	for _, other := range a.queue {
		if other == e {
			break
		}

		if other.queued {
			n++
		}
	}

	return n
}

// started records that a request of an entry was admitted.
func (a *allocator) started(id string) {
	a.slotFreeSince = time.Time{}
	a.update(a.entryFor(id), func(e *entry) {
		e.inFlight++
		e.reserved = max(e.reserved-1, 0)
	})
}

// finished records that a request of an entry has ended.
func (a *allocator) finished(id string, now time.Time) {
	if a.slotFreeSince.IsZero() {
		a.slotFreeSince = now
	}

	if e := a.entries[id]; e != nil && e.inFlight > 0 {
		a.update(e, func(e *entry) { e.inFlight-- })
	}
}

// allocate returns how many slots of the limit e may use: its fair share, or more if no
// other entry waits, but no more than are available.
func (a *allocator) allocate(now time.Time, e *entry, limit int) int {
	others := a.total.minus(e.usage())
	available := limit - others.reserved
	available -= a.heldForQueue(now, e, available)
	// The share is computed for one entry more than there are, so that a new entry
	// finds its share free.
	fair := max(limit/(others.active+2), 1)
	n := min(e.requested, available)

	if others.waiting > 0 {
		n = min(n, fair)
	} else {
		n = min(n, max(fair, available-allocationReserve(limit)))
	}

	return max(n, 0)
}

// othersWait reports whether any entry other than e waits.
func (a *allocator) othersWait(e *entry) bool {
	return a.total.waiting > e.usage().waiting
}

// allocationReserve returns the part of the limit, an eighth, that is left for new
// entries. Otherwise one entry could take all slots, and others would have to wait until
// its reservation expires.
func allocationReserve(limit int) int { return limit / 8 }

// hasFreeSlot reports whether e may use a slot beyond its reserved ones, that is,
// whether one is free that is neither reserved nor held for another entry.
func (a *allocator) hasFreeSlot(now time.Time, e *entry, limit int) bool {
	available := limit - a.total.minus(e.usage()).reserved - e.inFlight

	return available-a.heldForQueue(now, e, available) > 0
}
