package admission

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Bounds on the delays after which an entry is advised to retry. The queue delays apply
// to entries that wait for a slot, the others to rejected requests.
const (
	minRetryDelay      = 50 * time.Millisecond
	maxRetryDelay      = 5 * time.Second
	minQueueRetryDelay = 5 * time.Millisecond
	maxQueueRetryDelay = time.Second
)

// Admit decides whether one request is admitted.
func (c *Core) Admit(now time.Time, r Request) Decision {
	c.prepare()
	c.attempts.expire(now)
	c.unknown.expire(now)

	if d, known := c.duplicate(r.AttemptID); known {
		return d
	}

	expiresAt := c.tickTime(r.Credit.ExpiresAtTick)
	if d, invalid := c.checkCredit(now, r, expiresAt); invalid {
		return d
	}

	if cause, rejected := c.rejectionCause(now, r); rejected {
		c.markClosed(now, r.AttemptID, expiresAt)
		return Decision{Verdict: verdict.NotRun, Cause: cause, RetryAt: c.retryAt(now, cause)}
	}

	if !c.attempts.ensureCapacity(now, c.Settings.MaxAttempts) {
		c.attempts.revoke(expiresAt)
		return Decision{Verdict: verdict.NotRun, Cause: verdict.CauseOverload, RetryAt: now.Add(c.Settings.CreditLifetime)}
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

// Reject rejects a request that the agent found invalid, for the given cause. It marks
// the attempt as closed, so that a valid duplicate is not admitted later.
func (c *Core) Reject(now time.Time, r Request, cause verdict.Cause) Decision {
	c.prepare()
	c.attempts.expire(now)

	if d, known := c.duplicate(r.AttemptID); known {
		return d
	}

	expiresAt := c.tickTime(r.Credit.ExpiresAtTick)
	if d, invalid := c.checkCredit(now, r, expiresAt); invalid {
		return d
	}

	c.markClosed(now, r.AttemptID, expiresAt)

	return Decision{Verdict: verdict.NotRun, Cause: cause}
}

// duplicate returns the rejection of an attempt that is already stored. Only a closed
// attempt is reported as NotRun.
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

// checkCredit rejects a credit that this incarnation did not grant or that has expired.
func (c *Core) checkCredit(now time.Time, r Request, expiresAt time.Time) (Decision, bool) {
	credit := r.Credit

	switch {
	case credit.AgentID != c.AgentID || credit.Incarnation != c.Incarnation:
		return Decision{Verdict: verdict.NotRun, Cause: verdict.CauseIncarnation, RetryAt: now}, true
	case c.attempts.mayHaveEvicted(expiresAt):
		// The credit is so old that its attempt may have run and been evicted.
		return Decision{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCredit}, true
	case c.creditExpired(now, expiresAt):
		return Decision{Verdict: verdict.NotRun, Cause: verdict.CauseCredit, RetryAt: now}, true
	case expiresAt.After(c.lastExpiry):
		// Never granted. The attempt is not stored, so a duplicate could still be
		// admitted and NotRun would not be safe.
		return Decision{Verdict: verdict.MayHaveRun, Cause: verdict.CauseMalformed}, true
	}

	return Decision{}, false
}

// rejectionCause returns why a request with a valid credit is rejected.
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

// viewValid reports whether the configuration is recent enough to admit work.
//
// It guards against an agent that is partitioned from the control VMs without noticing
// and does not receive the update that takes its zone out of service. An agent whose
// lease has expired relies on the entry's view, which cannot be older than the credit,
// since this agent itself dated the credit. If both leases have expired, the request is
// rejected.
func (c *Core) viewValid(now time.Time, r Request) bool {
	if now.Before(c.view.FreshUntil) {
		return true
	}

	return r.ViewFresh && r.ViewVersion >= c.view.Version
}

// announceTimedOut reports whether the last announcement is older than AnnounceTimeout.
func (c *Core) announceTimedOut(now time.Time) bool {
	return !now.Before(c.target.announcedAt.Add(c.Settings.AnnounceTimeout))
}

// atCapacity reports whether the target has no capacity for a request on this credit,
// and returns the cause of the rejection.
func (c *Core) atCapacity(now time.Time, credit Credit) (verdict.Cause, bool) {
	cause := verdict.CauseOverload
	if c.ramp.ramping() {
		cause = verdict.CauseColdLimit
	}

	available := c.limit() - len(c.running) - c.unknownCount()
	if available <= 0 || c.isResting(now) {
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

// retryAt advises when a retry of a rejected request may succeed.
func (c *Core) retryAt(now time.Time, cause verdict.Cause) time.Time {
	switch cause {
	case verdict.CauseOverload, verdict.CauseColdLimit:
		if c.isResting(now) {
			return c.restUntil
		}

		wait := c.meanDuration / time.Duration(max(c.limit(), 1))
		return now.Add(min(max(wait, minRetryDelay), maxRetryDelay))
	case verdict.CauseTargetDown, verdict.CauseStale:
		return now.Add(time.Second)
	default:
		return time.Time{}
	}
}
