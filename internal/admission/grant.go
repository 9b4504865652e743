package admission

import "time"

// Grant gives an entry a credit. Without room the credit has no slots; a request
// on it is let in only where room turns up that nobody else has reserved.
func (c *Core) Grant(now time.Time, q GrantRequest) Grant {
	c.prepare()
	c.unknown.expire(now)
	c.share.sweep(now)
	c.share.serial++

	g := Grant{ExpiresAt: c.tickTime(uint64(now.Add(c.Settings.CreditLife).Sub(c.Started) / time.Millisecond))}

	// Events of several goroutines may come with times that are not in order.
	if g.ExpiresAt.After(c.lastExpiry) {
		c.lastExpiry = g.ExpiresAt
	}

	slots := 0

	if !c.share.full(q.EntryID) {
		e := c.share.of(q.EntryID)
		c.share.lapse(e, now)
		c.share.see(e, now.Add(c.Settings.ActiveTimeout))
		e.wanted = int(q.Wanted)
		slots = c.allot(now, e, q.renewal)

		if !q.renewal {
			g.RetryAt = c.reserve(now, e, slots)
		}
	}

	g.Credit = Credit{
		AgentID:       c.AgentID,
		Incarnation:   c.Incarnation,
		EntryID:       q.EntryID,
		Serial:        c.share.serial,
		ExpiresAtTick: uint64(g.ExpiresAt.Sub(c.Started) / time.Millisecond),
		Slots:         uint32(slots),
	}

	return g
}

// allot returns the slots that e may use now. While others wait, an answer gives
// an entry no more than it has in flight already.
func (c *Core) allot(now time.Time, e *entry, renewal bool) int {
	if c.leaving || c.view.out() {
		return 0
	}

	slots := c.share.allot(now, e, c.limit()-c.unknownCount())
	if renewal && c.share.othersWait(e) {
		slots = min(slots, e.inFlight)
	}

	return slots
}

// reserve keeps the slots that e asked for, or gives it a turn if it got none; it
// returns when e should ask again.
func (c *Core) reserve(now time.Time, e *entry, slots int) time.Time {
	c.share.change(e, func(e *entry) { e.reserved = max(slots-e.inFlight, 0) })
	e.reservedUntil = now.Add(c.Settings.ReservationTTL)

	switch {
	case slots > e.inFlight:
		c.share.served(e)
	case e.wanted > 0:
		retryAt := now.Add(c.turnIn(e))
		c.share.wait(e, retryAt.Add(c.Settings.WaitTimeout))

		return retryAt
	case e.asks > 0:
		c.share.stopWaiting(e)
	}

	return time.Time{}
}

// turnIn advises how long a waiting entry should leave the agent alone: half of
// the time in which those before it will be served, so that it's early.
func (c *Core) turnIn(e *entry) time.Duration {
	places := c.share.position(e)
	d := c.meanTime * time.Duration(places) / time.Duration(2*max(c.limit(), 1))

	return min(max(d, minTurn), maxTurn)
}

// Renew gives the entry of an answer a new credit, so that a busy entry seldom asks.
func (c *Core) Renew(now time.Time, entryID string) Grant {
	c.prepare()

	wanted := 1
	if e := c.share.entries[entryID]; e != nil {
		wanted = max(e.wanted, 1)
	}

	return c.Grant(now, GrantRequest{EntryID: entryID, Wanted: uint32(wanted), renewal: true})
}
