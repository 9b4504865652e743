package admission

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// FirstToken takes the first byte of an attempt's answer.
func (c *Core) FirstToken(now time.Time, attemptID string) {
	c.prepare()

	a := c.running[attemptID]
	if a == nil || a.answered {
		return
	}

	a.answered = true
	f := a.firstToken(now)
	a.slow = c.ramp.norm.isSlow(f)

	if c.ramp.norm.observe(f, c.ramp.ramping()) {
		c.ramp.fall(now, c.Settings.RampInterval)
	}
}

// Finish takes the end of an admitted attempt.
func (c *Core) Finish(now time.Time, attemptID string, o Outcome) {
	c.prepare()

	a := c.running[attemptID]
	if a == nil {
		return
	}

	if o.Verdict == verdict.Ran {
		c.ramp.completed(now, a, len(c.running), c.Settings.RampInterval)
		c.observeTime(now.Sub(a.admittedAt))
	}

	if o.Abandoned {
		c.unknown.abandon(a.admittedAt, now.Add(c.Settings.CanceledWorkTTL))
	}

	delete(c.running, attemptID)
	c.share.finished(a.entryID, now)
	c.memory.end(a, endState(o.Verdict), c.forgetAt(now, a), o.Answer, c.Settings.MaxAnswerBytes)
}

func endState(v verdict.Verdict) attemptState {
	switch v {
	case verdict.Ran:
		return stateRan
	case verdict.NotRun:
		return stateClosed
	default:
		return stateLost
	}
}

func (c *Core) forgetAt(now time.Time, a *attempt) time.Time {
	if a.expiresAt.After(now) {
		now = a.expiresAt
	}

	return now.Add(c.Settings.AttemptRetention)
}

// observeTime learns how long requests take, for Retry-After.
func (c *Core) observeTime(d time.Duration) {
	if c.meanTime == 0 {
		c.meanTime = d
		return
	}

	c.meanTime += (d - c.meanTime) / 16
}

// QueryAttempt answers what became of an attempt, and closes it where q asks for that.
func (c *Core) QueryAttempt(now time.Time, q AttemptQuery) AttemptStatus {
	c.prepare()
	c.memory.forget(now)

	if q.Incarnation != c.Incarnation || q.AttemptID == "" {
		return AttemptStatus{State: wire.AskState_AskUnknown}
	}

	if a := c.memory.byID[q.AttemptID]; a != nil {
		return AttemptStatus{State: askState(a.state), Answer: a.answer}
	}

	expiresAt := c.tickTime(q.CreditExpiresAtTick)

	switch {
	case c.memory.mayHaveForgotten(expiresAt):
		return AttemptStatus{State: wire.AskState_AskUnknown}
	case c.expired(now, expiresAt):
		return AttemptStatus{State: wire.AskState_AskClosed}
	case !q.Close || expiresAt.After(c.lastExpiry):
		return AttemptStatus{State: wire.AskState_AskUnknown}
	}

	c.close(now, q.AttemptID, expiresAt)

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

// close marks an attempt that has not run, so that it never will.
func (c *Core) close(now time.Time, id string, expiresAt time.Time) {
	if !c.memory.hasRoom(now, c.Settings.MaxAttempts) {
		c.memory.revoke(expiresAt)
		return
	}

	c.memory.add(&attempt{id: id, state: stateClosed, expiresAt: expiresAt})
}

// tickTime is the instant of a tick of this incarnation.
func (c *Core) tickTime(tick uint64) time.Time {
	const maxTick = uint64(1<<63-1) / uint64(time.Millisecond)

	return c.Started.Add(time.Duration(min(tick, maxTick)) * time.Millisecond)
}

// expired reports whether a credit with this expiry lets nothing in any more.
func (c *Core) expired(now, expiresAt time.Time) bool {
	return !expiresAt.After(now) || !expiresAt.After(c.memory.revokedUpTo)
}
