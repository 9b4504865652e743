package admission

import "time"

const (
	// maxEntries bounds the entries that are known at a time.
	maxEntries = 4096
	// sweepInterval is how often lapsed reservations are looked for, at most.
	sweepInterval = 10 * time.Millisecond
	// queueWindow is how many of the longest waiting entries may take the next free place.
	// Held for the first alone, the place would stay empty until that one asks again.
	queueWindow = 8
	// maxSlotHold is how long a place is kept for those that wait; then whoever asks gets
	// it. Entries that went elsewhere seem to wait for a while, and a target would
	// idle for their sake.
	maxSlotHold = 10 * time.Millisecond
	// maxBypassed is how many others may be served before the longest waiting entry;
	// then a place is kept for it.
	maxBypassed = 32
)

// allocator divides the limit among the entries that ask for credits.
//
// The slots of a credit advise an entry how much to send. Those that an entry has
// asked for are reserved for a moment, so that the request it asked for is let in;
// then, and for credits that ride on answers, a request is let in wherever there
// is room that nobody has reserved.
//
// It guards against parked capacity and starved entries where hundreds share a
// limit of two: reservations lapse soon, an answer reserves nothing, and entries
// that ask again and again are served in about the order in which they came.
type allocator struct {
	entries map[string]*entry
	// queue holds the entries that asked in vain more than once, longest waiting first.
	queue  []*entry
	serial uint64
	// total is over all entries.
	total   usage
	sweepAt time.Time
	// slotFreeSince is since when there has been a free place, or zero.
	slotFreeSince time.Time
}

// update alters e and keeps the sum right.
func (a *allocator) update(e *entry, apply func(e *entry)) {
	a.total = a.total.minus(e.usage())
	apply(e)

	u := e.usage()
	a.total.reserved += u.reserved
	a.total.active += u.active
	a.total.waiting += u.waiting
}

// entryFor returns the standing of an entry.
func (a *allocator) entryFor(id string) *entry {
	e := a.entries[id]
	if e == nil {
		e = &entry{}
		a.entries[id] = e
	}

	return e
}

// atEntryLimit reports whether there is no place for one more entry with this ID.
func (a *allocator) atEntryLimit(id string) bool {
	return a.entries[id] == nil && len(a.entries) >= maxEntries
}

// sweep drops lapsed reservations and turns, and entries that hold nothing. Between
// sweeps a lapsed one counts still, which refuses a little too much.
func (a *allocator) sweep(now time.Time) {
	if now.Before(a.sweepAt) {
		return
	}

	a.sweepAt = now.Add(sweepInterval)

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

// markActive notes that e is active.
func (a *allocator) markActive(e *entry, until time.Time) {
	e.activeUntil = until

	if !e.active {
		a.update(e, func(e *entry) { e.active = true })
	}
}

// expire drops what of e has expired.
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

// markWaiting records that e asked in vain.
func (a *allocator) markWaiting(e *entry, until time.Time) {
	a.update(e, func(e *entry) { e.unmetRequests++ })
	e.waitingUntil = until

	if e.unmetRequests > 1 && !e.queued {
		e.queued = true
		a.queue = append(a.queue, e)
	}
}

// recordAllocation records that e got a place, before others that wait for one.
func (a *allocator) recordAllocation(e *entry) {
	a.slotFreeSince = time.Time{}

	if first := a.longestWaiting(); first != nil && first != e {
		first.bypassed++
	}

	if e.unmetRequests > 0 {
		a.stopWaiting(e)
	}
}

// longestWaiting is the longest waiting entry, or nil.
func (a *allocator) longestWaiting() *entry {
	for _, e := range a.queue {
		if e.queued {
			return e
		}
	}

	return nil
}

// heldForQueue counts the places, of the room that is free now, that are kept for entries before e.
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

// queuePosition is how many entries have waited longer than e.
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

// started and finished count the requests in flight of an entry.
func (a *allocator) started(id string) {
	a.slotFreeSince = time.Time{}
	a.update(a.entryFor(id), func(e *entry) {
		e.inFlight++
		e.reserved = max(e.reserved-1, 0)
	})
}

func (a *allocator) finished(id string, now time.Time) {
	if a.slotFreeSince.IsZero() {
		a.slotFreeSince = now
	}

	if e := a.entries[id]; e != nil && e.inFlight > 0 {
		a.update(e, func(e *entry) { e.inFlight-- })
	}
}

// allocate returns how many slots of limit e gets: its fair share at least, more
// where the others leave room, and no more than there is room for now.
func (a *allocator) allocate(now time.Time, e *entry, limit int) int {
	others := a.total.minus(e.usage())
	available := limit - others.reserved
	available -= a.heldForQueue(now, e, available)
	// One more than there are may come, and shall find its part.
	fair := max(limit/(others.active+2), 1)
	n := min(e.requested, available)

	if others.waiting > 0 {
		n = min(n, fair)
	} else {
		n = min(n, max(fair, available-allocationReserve(limit)))
	}

	return max(n, 0)
}

// othersWait reports whether other entries than e wait.
func (a *allocator) othersWait(e *entry) bool {
	return a.total.waiting > e.usage().waiting
}

// allocationReserve is an eighth of the limit, left for entries that come next, so that one
// that took all doesn't keep them waiting for its credit to expire.
func allocationReserve(limit int) int { return limit / 8 }

// hasFreeSlot reports whether e may have one more request than its slots: where there is
// room that nobody else has reserved or waits for.
func (a *allocator) hasFreeSlot(now time.Time, e *entry, limit int) bool {
	available := limit - a.total.minus(e.usage()).reserved - e.inFlight

	return available-a.heldForQueue(now, e, available) > 0
}
