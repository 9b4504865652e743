package admission

import "time"

// Grant gives an entry a credit. Without room the credit has no slots; a request
// on it is let in only where room turns up that nobody else has reserved.
func (c *Core) Grant(now time.Time, req GrantRequest) Grant {
	c.prepare()
	c.unknown.expire(now)
	c.allocator.sweep(now)
	c.allocator.serial++

	g := Grant{ExpiresAt: c.tickTime(uint64(now.Add(c.Settings.CreditLife).Sub(c.Started) / time.Millisecond))}

	// Events of several goroutines may come with times that are not in order.
	if g.ExpiresAt.After(c.lastExpiry) {
		c.lastExpiry = g.ExpiresAt
	}

	slots := 0

	if !c.allocator.atEntryLimit(req.EntryID) {
		e := c.allocator.entryFor(req.EntryID)
		c.allocator.expire(e, now)
		c.allocator.markActive(e, now.Add(c.Settings.ActiveTimeout))
		e.requested = int(req.Wanted)
		slots = c.allocate(now, e, req.renewal)

		if !req.renewal {
			g.RetryAt = c.reserve(now, e, slots)
		}
	}

	g.Credit = Credit{
		AgentID:       c.AgentID,
		Incarnation:   c.Incarnation,
		EntryID:       req.EntryID,
		Serial:        c.allocator.serial,
		ExpiresAtTick: uint64(g.ExpiresAt.Sub(c.Started) / time.Millisecond),
		Slots:         uint32(slots),
	}

	return g
}

// allocate returns the slots that e may use now. While others wait, an answer gives
// an entry no more than it has in flight already.
func (c *Core) allocate(now time.Time, e *entry, renewal bool) int {
	if c.draining || c.view.excluded() {
		return 0
	}

	slots := c.allocator.allocate(now, e, c.limit()-c.unknownCount())
	if renewal && c.allocator.othersWait(e) {
		slots = min(slots, e.inFlight)
	}

	return slots
}

// reserve keeps the slots that e asked for, or gives it a turn if it got none; it
// returns when e should ask again.
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

// queueRetryDelay advises how long a waiting entry should leave the agent alone: half of
// the time in which those before it will be served, so that it's early.
func (c *Core) queueRetryDelay(e *entry) time.Duration {
	position := c.allocator.queuePosition(e)
	d := c.meanDuration * time.Duration(position) / time.Duration(2*max(c.limit(), 1))

	return min(max(d, minQueueRetryDelay), maxQueueRetryDelay)
}

// Renew gives the entry of an answer a new credit, so that a busy entry seldom asks.
func (c *Core) Renew(now time.Time, entryID string) Grant {
	c.prepare()

	wanted := 1
	if e := c.allocator.entries[entryID]; e != nil {
		wanted = max(e.requested, 1)
	}

	return c.Grant(now, GrantRequest{EntryID: entryID, Wanted: uint32(wanted), renewal: true})
}
