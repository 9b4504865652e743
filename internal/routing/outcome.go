package routing

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// outcome is what a request's end says about its target.
type outcome uint8

const (
	// outcomeNeutral says nothing: the caller or this entry ended it.
	outcomeNeutral outcome = iota
	outcomeSuccess
	outcomeFailure
	outcomeUnreachable
	outcomeFull
	outcomeStopped
	outcomeNoCredit
)

func classify(ev Finished) outcome {
	switch ev.Cause {
	case "":
		if ev.ServerError {
			return outcomeFailure
		}

		return outcomeSuccess
	case verdict.CauseOverload, verdict.CauseColdLimit:
		return outcomeFull
	case verdict.CauseLeaving, verdict.CauseZoneOut, verdict.CauseStopping:
		return outcomeStopped
	case verdict.CauseCredit, verdict.CauseIncarnation:
		return outcomeNoCredit
	case verdict.CauseBroken, verdict.CauseCrossed:
		return outcomeFailure
	case verdict.CauseTargetDown:
		return outcomeUnreachable
	default:
		return outcomeNeutral
	}
}

// applyOutcome reads what an end says about the target.
func (c *Chooser) applyOutcome(now time.Time, p *pool, t *target, ev Finished) {
	h := &t.health
	defer h.probeEnded()

	switch classify(ev) {
	case outcomeSuccess:
		// Its own place is free again, whatever was said before.
		t.fullUntil = time.Time{}
		h.recordSuccess()
		c.ejectIfFaulty(now, p, t)
		c.probeSucceeded(now, p, t)
	case outcomeFailure:
		h.recordFailure()
		c.ejectIfFaulty(now, p, t)
	case outcomeUnreachable:
		h.recordFailure()
		h.consecutiveConnectFailures++
		c.ejectIfFaulty(now, p, t)
	case outcomeFull:
		t.fullUntil = c.fullUntil(now, ev.RetryAt)
	case outcomeStopped:
		t.stoppedUntil = now.Add(c.Settings.StopReportTTL)
	case outcomeNoCredit:
		t.creditExpiresAt = time.Time{}
	}
}

// The bounds of the pause after a refusal for want of room.
const (
	minFullPause = 20 * time.Millisecond
	maxFullPause = time.Second
)

// fullUntil bounds what an agent said, so that one wrong word parks no target for long.
func (c *Chooser) fullUntil(now, advised time.Time) time.Time {
	delay := min(max(advised.Sub(now), minFullPause), maxFullPause)

	return now.Add(delay + time.Duration(c.Rand.Float64()*float64(delay)/2))
}

// probeSucceeded takes a target back after enough good probes. A slow one is
// judged by its probes' waits, in Begin.
func (c *Chooser) probeSucceeded(now time.Time, p *pool, t *target) {
	h := &t.health
	if h.probing == 0 {
		return
	}

	h.probesPassed++
	if !h.ejectedFor.unreachable() && h.probesPassed < c.Settings.ProbesNeeded {
		h.ejectedUntil = now

		return
	}

	p.uncountEjected(h.ejectedFor)
	h.reinstate()
}

// ejectIfFaulty sets a suspect target aside, within the bound of the pool. What was in
// flight when that was done ends later and is not held against it once more.
func (c *Chooser) ejectIfFaulty(now time.Time, p *pool, t *target) {
	if t.health.ejectedFor != faultNone && t.health.probing == 0 {
		return
	}

	reason := t.health.detectFault(&c.Settings, p.medianWait)
	if reason == faultNone {
		return
	}

	if t.health.ejectedFor == faultNone && !p.tryEject(reason, c.Settings.MaxEjectedRatio) {
		return
	}

	if old := t.health.ejectedFor; old != faultNone && old != reason {
		p.uncountEjected(old)
		p.countEjected(reason)
	}

	t.health.eject(now, reason, &c.Settings, c.Rand.Float64())

	if reason.unreachable() {
		t.nextCreditRequestAt = now
	}

	if reason == faultDown {
		p.suspectZone(t)
	}
}

// markReachable takes in that the target's agent granted a credit: it can be reached
// now, over some connection. After silent connections that is all there was to
// know; after failed dials or the agent's own word the target is probed first.
func (t *target) markReachable() {
	t.health.unresponsive = 0
	t.health.reachable = true

	if t.health.ejectedFor == faultUnresponsive {
		t.health.reinstate()
	}
}
