package routing

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// end is what a request's end says about its target.
type end uint8

const (
	// endNeutral says nothing: the caller or this entry ended it.
	endNeutral end = iota
	endGood
	endBad
	endDown
	endFull
	endStopped
	endCredit
)

func judgeEnd(ev Finished) end {
	switch ev.Cause {
	case "":
		if ev.ServerError {
			return endBad
		}

		return endGood
	case verdict.CauseOverload, verdict.CauseColdLimit:
		return endFull
	case verdict.CauseLeaving, verdict.CauseZoneOut, verdict.CauseStopping:
		return endStopped
	case verdict.CauseCredit, verdict.CauseIncarnation:
		return endCredit
	case verdict.CauseBroken, verdict.CauseCrossed:
		return endBad
	case verdict.CauseTargetDown:
		return endDown
	default:
		return endNeutral
	}
}

// learn reads what an end says about the target.
func (c *Chooser) learn(now time.Time, p *pool, t *target, ev Finished) {
	h := &t.health
	defer h.probeEnded()

	switch judgeEnd(ev) {
	case endGood:
		// Its own place is free again, whatever was said before.
		t.fullUntil = time.Time{}
		h.succeeded()
		c.judge(now, p, t)
		c.probeSucceeded(now, p, t)
	case endBad:
		h.failed()
		c.judge(now, p, t)
	case endDown:
		h.failed()
		h.downRun++
		c.judge(now, p, t)
	case endFull:
		t.fullUntil = c.fullUntil(now, ev.RetryAt)
	case endStopped:
		t.stoppedUntil = now.Add(c.Settings.StoppedFor)
	case endCredit:
		t.creditEnds = time.Time{}
	}
}

// The bounds of the pause after a refusal for want of room.
const (
	shortestFull = 20 * time.Millisecond
	longestFull  = time.Second
)

// fullUntil bounds what an agent said, so that one wrong word parks no target for long.
func (c *Chooser) fullUntil(now, said time.Time) time.Time {
	pause := min(max(said.Sub(now), shortestFull), longestFull)

	return now.Add(pause + time.Duration(c.Rand.Float64()*float64(pause)/2))
}

// probeSucceeded takes a target back after enough good probes. A slow one is
// judged by its probes' waits, in Begin.
func (c *Chooser) probeSucceeded(now time.Time, p *pool, t *target) {
	h := &t.health
	if h.probing == 0 {
		return
	}

	h.probed++
	if !h.aside.unreachable() && h.probed < c.Settings.ProbesNeeded {
		h.asideUntil = now

		return
	}

	p.release(h.aside)
	h.takeBack()
}

// judge sets a suspect target aside, within the bound of the pool. What was in
// flight when that was done ends later and is not held against it once more.
func (c *Chooser) judge(now time.Time, p *pool, t *target) {
	if t.health.aside != faultNone && t.health.probing == 0 {
		return
	}

	why := t.health.fault(&c.Settings, p.medianWait)
	if why == faultNone {
		return
	}

	if t.health.aside == faultNone && !p.reserve(why, c.Settings.SetAsideShare) {
		return
	}

	if old := t.health.aside; old != faultNone && old != why {
		p.release(old)
		p.count(why)
	}

	t.health.setAside(now, why, &c.Settings, c.Rand.Float64())

	if why.unreachable() {
		t.askAt = now
	}

	if why == faultDown {
		p.suspectZone(t)
	}
}

// reached takes in that the target's agent granted a credit: it can be reached
// now, over some connection. After silent connections that is all there was to
// know; after failed dials or the agent's own word the target is probed first.
func (t *target) reached() {
	t.health.silences = 0
	t.health.answered = true

	if t.health.aside == faultSilent {
		t.health.takeBack()
	}
}
