package admission

import "time"

// Grant issues a credit to an entry. If there is no capacity, the credit has no slots. A
// request on it is then admitted only if capacity becomes free that is not reserved
// for others.
func (c *Core) Grant(now time.Time, req GrantRequest) Grant {
	c.prepare()
	c.unknown.expire(now)
	c.allocator.sweep(now)
	c.allocator.serial++

	grant := Grant{ExpiresAt: c.tickTime(uint64(now.Add(c.Settings.CreditLifetime).Sub(c.Started) / time.Millisecond))}

	// Events from different goroutines may arrive with times that are out of order.
	if grant.ExpiresAt.After(c.lastExpiry) {
		c.lastExpiry = grant.ExpiresAt
	}

	slots := 0

	if !c.allocator.atEntryLimit(req.EntryID) {
		e := c.allocator.entryFor(req.EntryID)
		c.allocator.expire(e, now)
		c.allocator.markActive(e, now.Add(c.Settings.ActiveTimeout))
		e.requested = int(req.Wanted)
		slots = c.allocate(now, e, req.renewal)

		if !req.renewal {
			grant.RetryAt = c.reserve(now, e, slots)
			if c.isResting(now) && !grant.RetryAt.IsZero() {
				grant.RetryAt = c.restUntil
			}
		}
	}

	grant.Credit = Credit{
		AgentID:       c.AgentID,
		Incarnation:   c.Incarnation,
		EntryID:       req.EntryID,
		Serial:        c.allocator.serial,
		ExpiresAtTick: uint64(grant.ExpiresAt.Sub(c.Started) / time.Millisecond),
		Slots:         uint32(slots),
	}

	return grant
}

// allocate returns how many slots e may use now. While other entries wait, a renewal
// gives e no more slots than it has requests in flight.
func (c *Core) allocate(now time.Time, e *entry, renewal bool) int {
	if c.draining || c.view.excluded() || c.isResting(now) {
		return 0
	}

	slots := c.allocator.allocate(now, e, c.limit()-c.unknownCount())
	if renewal && c.allocator.othersWait(e) {
		slots = min(slots, e.inFlight)
	}

	return slots
}

// reserve reserves the slots that e was given, or marks e as waiting if it got none
// beyond its requests in flight. It returns when a waiting entry should ask again.
func (c *Core) reserve(now time.Time, e *entry, slots int) time.Time {
	c.allocator.update(e, func(e *entry) { e.reserved = max(slots-e.inFlight, 0) })
	e.reservedUntil = now.Add(c.Settings.ReservationTTL)

	switch {
	case slots > e.inFlight:
		c.allocator.recordAllocation(e)
	case e.requested > 0:
		retryAt := now.Add(c.queueRetryDelay(e))
		c.allocator.markWaiting(e, retryAt.Add(c.Settings.WaitTimeout))

		return retryAt
	case e.unmetRequests > 0:
		c.allocator.stopWaiting(e)
	}

	return time.Time{}
}

// queueRetryDelay returns how long a waiting entry should wait before it asks again. It
// is half of the time in which the entries ahead of it are expected to get slots, so
// that the entry asks before a slot is free for it.
func (c *Core) queueRetryDelay(e *entry) time.Duration {
	position := c.allocator.queuePosition(e)
	d := c.meanDuration * time.Duration(position) / time.Duration(2*max(c.limit(), 1))

	return min(max(d, minQueueRetryDelay), maxQueueRetryDelay)
}

// Renew issues a new credit to an entry along with an answer, so that a busy entry
// rarely has to ask for one.
func (c *Core) Renew(now time.Time, entryID string) Grant {
	c.prepare()

	wanted := 1
	if e := c.allocator.entries[entryID]; e != nil {
		wanted = max(e.requested, 1)
	}

	return c.Grant(now, GrantRequest{EntryID: entryID, Wanted: uint32(wanted), renewal: true})
}
