package admission

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Bounds of the advice on when to try again.
const (
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = 5 * time.Second
	minQueueRetryDelay = 5 * time.Millisecond
	maxQueueRetryDelay = time.Second
)

// Admit decides about one request.
func (c *Core) Admit(now time.Time, r Request) Decision {
	c.prepare()
	c.attempts.expire(now)
	c.unknown.expire(now)

	if d, known := c.duplicate(r.AttemptID); known {
		return d
	}

	expiresAt := c.tickTime(r.Credit.ExpiresAtTick)
	if d, bad := c.checkCredit(now, r, expiresAt); bad {
		return d
	}

	if cause, refused := c.rejectionCause(now, r); refused {
		c.markClosed(now, r.AttemptID, expiresAt)
		return Decision{Verdict: verdict.NotRun, Cause: cause, RetryAt: c.retryAt(now, cause)}
	}

	if !c.attempts.ensureCapacity(now, c.Settings.MaxAttempts) {
		c.attempts.revoke(expiresAt)
		return Decision{Verdict: verdict.NotRun, Cause: verdict.CauseOverload, RetryAt: now.Add(c.Settings.CreditLife)}
	}

	a := &attempt{
		id:          r.AttemptID,
		state:       stateRunning,
		entryID:     r.Credit.EntryID,
		expiresAt:   expiresAt,
		admittedAt:  now,
		epoch:       c.ramp.epoch,
		concurrency: len(c.running) + 1,
	}
	c.attempts.add(a)
	c.running[a.id] = a
	c.allocator.started(a.entryID)

	return Decision{Admitted: true}
}

// Reject refuses a request that the shell found unfit, for the given cause. It
// goes through the core so that a fit duplicate of it isn't let in later.
func (c *Core) Reject(now time.Time, r Request, cause verdict.Cause) Decision {
	c.prepare()
	c.attempts.expire(now)

	if d, known := c.duplicate(r.AttemptID); known {
		return d
	}

	expiresAt := c.tickTime(r.Credit.ExpiresAtTick)
	if d, bad := c.checkCredit(now, r, expiresAt); bad {
		return d
	}

	c.markClosed(now, r.AttemptID, expiresAt)

	return Decision{Verdict: verdict.NotRun, Cause: cause}
}

// duplicate answers an attempt that is remembered. Only a closed one did not run.
func (c *Core) duplicate(id string) (Decision, bool) {
	a := c.attempts.byID[id]
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

// checkCredit refuses what this incarnation never granted or no longer honours.
func (c *Core) checkCredit(now time.Time, r Request, expiresAt time.Time) (Decision, bool) {
	credit := r.Credit

	switch {
	case credit.AgentID != c.AgentID || credit.Incarnation != c.Incarnation:
		return Decision{Verdict: verdict.NotRun, Cause: verdict.CauseIncarnation, RetryAt: now}, true
	case c.attempts.mayHaveEvicted(expiresAt):
		// So old that its attempt may have run and been forgotten.
		return Decision{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCredit}, true
	case c.creditExpired(now, expiresAt):
		return Decision{Verdict: verdict.NotRun, Cause: verdict.CauseCredit, RetryAt: now}, true
	case expiresAt.After(c.lastExpiry):
		// Never granted. It isn't remembered, so nothing is promised about a duplicate.
		return Decision{Verdict: verdict.MayHaveRun, Cause: verdict.CauseMalformed}, true
	}

	return Decision{}, false
}

// rejectionCause says why a request with a good credit is not let in.
func (c *Core) rejectionCause(now time.Time, r Request) (verdict.Cause, bool) {
	switch {
	case c.draining:
		return verdict.CauseStopping, true
	case c.view.ZoneOut:
		return verdict.CauseZoneOut, true
	case c.view.Retired:
		return verdict.CauseLeaving, true
	case !c.viewValid(now, r):
		return verdict.CauseStale, true
	case !c.target.up || c.announceTimedOut(now):
		return verdict.CauseTargetDown, true
	case r.Service != c.target.service:
		return verdict.CauseUnknownService, true
	}

	return c.atCapacity(now, r.Credit)
}

// viewValid reports whether the configuration is known well enough to let work in.
//
// It guards against an agent that a silent partition keeps from learning that its
// zone was taken out. A stale agent relies on the entry's word, which can't be
// older than the credit that the agent itself dated; where both are stale nobody
// can tell, and the request is refused.
func (c *Core) viewValid(now time.Time, r Request) bool {
	if now.Before(c.view.FreshUntil) {
		return true
	}

	return r.ViewFresh && r.ViewVersion >= c.view.Version
}

// announceTimedOut reports whether the target's announcements have stopped.
func (c *Core) announceTimedOut(now time.Time) bool {
	return !now.Before(c.target.announcedAt.Add(c.Settings.AnnounceTimeout))
}

// atCapacity reports whether the target has no room for a request on this credit.
func (c *Core) atCapacity(now time.Time, credit Credit) (verdict.Cause, bool) {
	cause := verdict.CauseOverload
	if c.ramp.ramping() {
		cause = verdict.CauseColdLimit
	}

	available := c.limit() - len(c.running) - c.unknownCount()
	if available <= 0 {
		return cause, true
	}

	c.allocator.sweep(now)

	e := c.allocator.entries[credit.EntryID]
	if e == nil {
		e = &entry{}
	}

	c.allocator.expire(e, now)

	if e.reserved > 0 || c.allocator.hasFreeSlot(now, e, c.limit()-c.unknownCount()) {
		return "", false
	}

	return cause, true
}

// retryAt advises when a refused request may find room.
func (c *Core) retryAt(now time.Time, cause verdict.Cause) time.Time {
	switch cause {
	case verdict.CauseOverload, verdict.CauseColdLimit:
		wait := c.meanDuration / time.Duration(max(c.limit(), 1))
		return now.Add(min(max(wait, minRetryDelay), maxRetryDelay))
	case verdict.CauseTargetDown, verdict.CauseStale:
		return now.Add(time.Second)
	default:
		return time.Time{}
	}
}
