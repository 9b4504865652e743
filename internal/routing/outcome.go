package routing

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// outcome classifies the end of a request by what it shows about the target.
type outcome uint8

const (
	// outcomeNeutral shows nothing: the caller or this entry ended the request.
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

// applyOutcome updates the target's state after a request.
func (c *Chooser) applyOutcome(now time.Time, p *pool, t *target, ev Finished) {
	h := &t.health
	defer h.probeEnded()

	switch classify(ev) {
	case outcomeSuccess:
		// The slot of this request is free again, whatever an earlier refusal set.
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

// The bounds of the delay after a refusal for lack of capacity.
const (
	minFullDelay = 20 * time.Millisecond
	maxFullDelay = time.Second
)

// fullUntil limits the retry time that an agent sent, so that one wrong value does not
// keep a target unused for long.
func (c *Chooser) fullUntil(now, advised time.Time) time.Time {
	delay := min(max(advised.Sub(now), minFullDelay), maxFullDelay)

	return now.Add(delay + time.Duration(c.Rand.Float64()*float64(delay)/2))
}

// probeSucceeded reinstates a target after enough successful probes. A slow target is
// judged by the waits of its probes, see RecordFirstByte.
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

// ejectIfFaulty ejects the target if its results call for it and the pool's limit
// allows it. Requests that were in flight at the ejection end later and do not extend
// it.
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

// markReachable records that the target's agent granted a credit, so some connection to
// it works. This is enough to end an ejection for unresponsive connections. After
// failed connects, or a report of the agent that the target is down, a probe must
// succeed first.
func (t *target) markReachable() {
	t.health.unresponsive = 0
	t.health.reachable = true

	if t.health.ejectedFor == faultUnresponsive {
		t.health.reinstate()
	}
}
