package routing

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// The mean pauses before asking again where nothing says when.
const (
	fullRetryDelay     = 300 * time.Millisecond
	noTargetRetryDelay = 3 * time.Second
)

// jitter returns between half of d and one and a half of it.
func (c *Chooser) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Rand.Float64()*float64(d))
}

// noTarget says why no target could be picked.
func (c *Chooser) noTarget(now time.Time, p *pool) *NoTarget {
	cause := verdict.CauseNoTarget

	for _, t := range p.targets {
		switch {
		case t.acceptsNew() && t.Cold:
			cause = verdict.CauseColdLimit
		case t.acceptsNew():
			cause = verdict.CauseOverload
		case cause == verdict.CauseNoTarget && t.ZoneOut:
			cause = verdict.CauseZoneOut
		case cause == verdict.CauseNoTarget && t.Leaving:
			cause = verdict.CauseLeaving
		}

		if cause == verdict.CauseOverload {
			break
		}
	}

	if cause != verdict.CauseOverload && cause != verdict.CauseColdLimit {
		return &NoTarget{Cause: cause, RetryAt: now.Add(c.jitter(noTargetRetryDelay))}
	}

	at := p.earliestRetry(now)
	if at.IsZero() {
		at = now.Add(c.jitter(fullRetryDelay))
	}

	return &NoTarget{Cause: cause, RetryAt: at}
}

// Unavailable says why none of a service's targets takes new work, as when all are in
// zones that are out; nil when one does, however full. A request that meets it
// need not wait in a queue for room.
func (c *Chooser) Unavailable(now time.Time, service string) *NoTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()

	p := c.pools[service]
	if p == nil {
		return &NoTarget{Cause: verdict.CauseNoTarget, RetryAt: now.Add(c.jitter(noTargetRetryDelay))}
	}

	for _, t := range p.targets {
		if t.acceptsNew() {
			return nil
		}
	}

	return c.noTarget(now, p)
}
