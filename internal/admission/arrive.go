package admission

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Bounds of the advice on when to try again.
const (
	minRetry = 50 * time.Millisecond
	maxRetry = 5 * time.Second
)

// Arrive decides about one request.
func (c *Core) Arrive(now time.Time, r Arrival) Decision {
	c.prepare()
	c.memory.forget(now)
	c.unknown.expire(now)

	if d, known := c.duplicate(r.AttemptID); known {
		return d
	}

	expiresAt := c.tickTime(r.Credit.ExpiresAtTick)
	if d, bad := c.badCredit(now, r, expiresAt); bad {
		return d
	}

	if cause, refused := c.refuse(now, r); refused {
		c.close(r.AttemptID, expiresAt)
		return Decision{Verdict: verdict.NotRun, Cause: cause, RetryAt: c.retryAt(now, cause)}
	}

	if len(c.memory.byID) >= c.Settings.MaxAttempts {
		c.memory.revoke(expiresAt)
		return Decision{Verdict: verdict.NotRun, Cause: verdict.CauseOverload, RetryAt: now.Add(c.Settings.CreditLife)}
	}

	a := &attempt{
		id:         r.AttemptID,
		state:      stateRunning,
		entryID:    r.Credit.EntryID,
		expiresAt:  expiresAt,
		admittedAt: now,
		epoch:      c.ramp.epoch,
	}
	c.memory.add(a)
	c.running[a.id] = a
	c.share.of(a.entryID).inFlight++

	return Decision{Admitted: true}
}

// Reject refuses a request that the shell found unfit, for the given cause. It
// goes through the core so that a fit duplicate of it isn't let in later.
func (c *Core) Reject(now time.Time, r Arrival, cause verdict.Cause) Decision {
	c.prepare()
	c.memory.forget(now)

	if d, known := c.duplicate(r.AttemptID); known {
		return d
	}

	expiresAt := c.tickTime(r.Credit.ExpiresAtTick)
	if d, bad := c.badCredit(now, r, expiresAt); bad {
		return d
	}

	c.close(r.AttemptID, expiresAt)

	return Decision{Verdict: verdict.NotRun, Cause: cause}
}

// duplicate answers an attempt that is remembered. Only a closed one did not run.
func (c *Core) duplicate(id string) (Decision, bool) {
	a := c.memory.byID[id]
	if a == nil {
		return Decision{}, false
	}

	switch a.state {
	case stateClosed:
		return Decision{Verdict: verdict.NotRun, Cause: verdict.CauseClosed}, true
	case stateRan:
		return Decision{Verdict: verdict.Ran, Cause: verdict.CauseDuplicate}, true
	default:
		return Decision{Verdict: verdict.MayHaveRun, Cause: verdict.CauseDuplicate}, true
	}
}

// badCredit refuses what this incarnation never granted or no longer honours.
func (c *Core) badCredit(now time.Time, r Arrival, expiresAt time.Time) (Decision, bool) {
	cr := r.Credit

	switch {
	case cr.AgentID != c.AgentID || cr.Incarnation != c.Incarnation:
		return Decision{Verdict: verdict.NotRun, Cause: verdict.CauseIncarnation, RetryAt: now}, true
	case c.memory.mayHaveForgotten(expiresAt):
		// So old that its attempt may have run and been forgotten.
		return Decision{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCredit}, true
	case c.expired(now, expiresAt):
		return Decision{Verdict: verdict.NotRun, Cause: verdict.CauseCredit, RetryAt: now}, true
	case expiresAt.After(c.lastExpiry):
		// Never granted. It isn't remembered, so nothing is promised about a duplicate.
		return Decision{Verdict: verdict.MayHaveRun, Cause: verdict.CauseMalformed}, true
	}

	return Decision{}, false
}

// refuse says why a request with a good credit is not let in.
func (c *Core) refuse(now time.Time, r Arrival) (verdict.Cause, bool) {
	switch {
	case c.leaving:
		return verdict.CauseStopping, true
	case c.view.ZoneOut:
		return verdict.CauseZoneOut, true
	case c.view.Retired:
		return verdict.CauseLeaving, true
	case !c.fresh(now, r):
		return verdict.CauseStale, true
	case !c.target.up || c.silent(now):
		return verdict.CauseTargetDown, true
	case r.Service != c.target.service:
		return verdict.CauseUnknownService, true
	}

	return c.full(now, r.Credit)
}

// fresh reports whether the configuration is known well enough to let work in.
//
// It guards against an agent that a silent partition keeps from learning that its
// zone was taken out. A stale agent relies on the entry's word, which can't be
// older than the credit that the agent itself dated; where both are stale nobody
// can tell, and the request is refused.
func (c *Core) fresh(now time.Time, r Arrival) bool {
	if now.Before(c.view.FreshUntil) {
		return true
	}

	return r.ViewFresh && r.ViewVersion >= c.view.Version
}

// silent reports whether the target's announcements have stopped.
func (c *Core) silent(now time.Time) bool {
	return !now.Before(c.target.announcedAt.Add(c.Settings.AnnounceSilence))
}

// full reports whether the target has no room for a request on this credit.
func (c *Core) full(now time.Time, cr Credit) (verdict.Cause, bool) {
	cause := verdict.CauseOverload
	if c.ramp.ramping() {
		cause = verdict.CauseColdLimit
	}

	free := c.limit() - len(c.running) - c.unknown.count()
	if free <= 0 {
		return cause, true
	}

	e := c.share.entries[cr.EntryID]
	if e == nil {
		e = &entry{}
	}

	e.lapse(now)

	if e.inFlight < e.slots {
		return "", false
	}

	st := c.share.standing(e, now)
	if c.limit()-c.unknown.count()-st.reserved-st.ahead-e.inFlight > 0 {
		return "", false
	}

	return cause, true
}

// retryAt advises when a refused request may find room.
func (c *Core) retryAt(now time.Time, cause verdict.Cause) time.Time {
	switch cause {
	case verdict.CauseOverload, verdict.CauseColdLimit:
		wait := c.meanTime / time.Duration(max(c.limit(), 1))
		return now.Add(min(max(wait, minRetry), maxRetry))
	case verdict.CauseTargetDown, verdict.CauseStale:
		return now.Add(time.Second)
	default:
		return time.Time{}
	}
}

// Grant gives an entry a credit. Without room the credit has no slots; a request
// on it is let in only where room turns up that nobody else has reserved.
func (c *Core) Grant(now time.Time, q GrantAsk) Grant {
	c.prepare()
	c.unknown.expire(now)
	c.share.serial++

	e := c.share.of(q.EntryID)
	e.lapse(now)
	e.wanted = int(q.Wanted)

	st := c.share.standing(e, now)
	slots := 0

	if !c.leaving && !c.view.ZoneOut && !c.view.Retired {
		slots = st.allot(e.wanted, c.limit()-c.unknown.count())
	}

	life := c.Settings.CreditLife
	if st.waiting > 0 {
		life = c.Settings.ContendedLife
	}

	c.note(now, e, slots, life, !q.renewal)

	return c.grant(q.EntryID, e)
}

// note records what e got, and its turn if it asked itself and got nothing.
func (c *Core) note(now time.Time, e *entry, slots int, life time.Duration, asked bool) {
	e.slots = slots
	e.expiresAt = c.tickTime(uint64(now.Add(life).Sub(c.Started) / time.Millisecond))

	if !asked {
		return
	}

	if slots > 0 || e.wanted == 0 {
		e.waitsSince = time.Time{}
		e.asks = 0

		return
	}

	if e.waitsSince.IsZero() {
		e.waitsSince = now
	}

	e.asks++
	e.waitsUntil = now.Add(c.Settings.WaitLife)
}

// grant writes the credit of e.
func (c *Core) grant(id string, e *entry) Grant {
	if e.expiresAt.After(c.lastExpiry) {
		c.lastExpiry = e.expiresAt
	}

	return Grant{
		Credit: Credit{
			AgentID:       c.AgentID,
			Incarnation:   c.Incarnation,
			EntryID:       id,
			Serial:        c.share.serial,
			ExpiresAtTick: uint64(e.expiresAt.Sub(c.Started) / time.Millisecond),
			Slots:         uint32(e.slots),
		},
		ExpiresAt: e.expiresAt,
	}
}

// Renew gives the entry of an answer a new credit, so that a busy entry seldom asks.
func (c *Core) Renew(now time.Time, entryID string) Grant {
	c.prepare()

	wanted := 1
	if e := c.share.entries[entryID]; e != nil {
		wanted = max(e.wanted, 1)
	}

	return c.Grant(now, GrantAsk{EntryID: entryID, Wanted: uint32(wanted), renewal: true})
}
