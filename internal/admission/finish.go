package admission

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// FirstToken records the arrival of the first byte of an attempt's answer.
func (c *Core) FirstToken(now time.Time, attemptID string) {
	c.prepare()

	a := c.running[attemptID]
	if a == nil || a.firstTokenSeen {
		return
	}

	a.firstTokenSeen = true
	sample := a.firstTokenSample(now)
	a.slow = c.ramp.baseline.isSlow(sample)

	if c.ramp.baseline.observe(sample, c.ramp.ramping()) {
		c.ramp.reset(now, c.Settings.RampInterval)
	}
}

// Finish records the end of an admitted attempt.
func (c *Core) Finish(now time.Time, attemptID string, o Outcome) {
	c.prepare()

	a := c.running[attemptID]
	if a == nil {
		return
	}

	if o.Verdict == verdict.Ran {
		c.ramp.completed(now, a, len(c.running), c.Settings.RampInterval)
		c.observeDuration(now.Sub(a.admittedAt))
	}

	if o.Abandoned {
		c.unknown.addCanceled(a.admittedAt, now.Add(c.Settings.CanceledWorkTTL))
	}

	delete(c.running, attemptID)
	c.allocator.finished(a.entryID, now)
	c.attempts.end(a, finalState(o.Verdict), c.evictionTime(now, a), o.Answer, c.Settings.MaxAnswerBytes)
}

func finalState(v verdict.Verdict) attemptState {
	switch v {
	case verdict.Ran:
		return stateRan
	case verdict.NotRun:
		return stateClosed
	default:
		return stateOutcomeUnknown
	}
}

// evictionTime returns until when an attempt that ends now is stored: AttemptRetention
// after its end or the expiry of its credit, whichever is later.
func (c *Core) evictionTime(now time.Time, a *attempt) time.Time {
	if a.expiresAt.After(now) {
		now = a.expiresAt
	}

	return now.Add(c.Settings.AttemptRetention)
}

// observeDuration updates the moving average of request durations, which the retry
// advice is computed from.
func (c *Core) observeDuration(d time.Duration) {
	if c.meanDuration == 0 {
		c.meanDuration = d
		return
	}

	c.meanDuration += (d - c.meanDuration) / 16
}

// QueryAttempt returns the status of an attempt. If the query says so, it closes an
// attempt that never arrived.
func (c *Core) QueryAttempt(now time.Time, query AttemptQuery) AttemptStatus {
	c.prepare()
	c.attempts.expire(now)

	if query.Incarnation != c.Incarnation || query.AttemptID == "" {
		return AttemptStatus{State: wire.AskState_AskUnknown}
	}

	if a := c.attempts.byID[query.AttemptID]; a != nil {
		return AttemptStatus{State: askState(a.state), Answer: a.answer}
	}

	expiresAt := c.tickTime(query.CreditExpiresAtTick)

	switch {
	case c.attempts.mayHaveEvicted(expiresAt):
		return AttemptStatus{State: wire.AskState_AskUnknown}
	case c.creditExpired(now, expiresAt):
		return AttemptStatus{State: wire.AskState_AskClosed}
	case !query.Close || expiresAt.After(c.lastExpiry):
		return AttemptStatus{State: wire.AskState_AskUnknown}
	}

	c.markClosed(now, query.AttemptID, expiresAt)

	return AttemptStatus{State: wire.AskState_AskClosed}
}

func askState(s attemptState) wire.AskState {
	switch s {
	case stateRunning:
		return wire.AskState_AskRunning
	case stateRan:
		return wire.AskState_AskRan
	case stateClosed:
		return wire.AskState_AskClosed
	default:
		return wire.AskState_AskUnknown
	}
}

// markClosed marks an attempt that did not run, so that it is never admitted.
func (c *Core) markClosed(now time.Time, id string, expiresAt time.Time) {
	if !c.attempts.ensureCapacity(now, c.Settings.MaxAttempts) {
		c.attempts.revoke(expiresAt)
		return
	}

	c.attempts.add(&attempt{id: id, state: stateClosed, expiresAt: expiresAt})
}

// tickTime converts a tick of this incarnation to a time.
func (c *Core) tickTime(tick uint64) time.Time {
	const maxTick = uint64(1<<63-1) / uint64(time.Millisecond)

	return c.Started.Add(time.Duration(min(tick, maxTick)) * time.Millisecond)
}

// creditExpired reports whether a credit with this expiry has expired or was revoked.
func (c *Core) creditExpired(now, expiresAt time.Time) bool {
	return !expiresAt.After(now) || !expiresAt.After(c.attempts.revokedUpTo)
}
