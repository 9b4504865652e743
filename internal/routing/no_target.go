package routing

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// The mean retry delays where no target reported one.
const (
	fullRetryDelay     = 300 * time.Millisecond
	noTargetRetryAfter = 3 * time.Second
)

// jitter returns a random duration between 0.5 and 1.5 times d.
func (c *Chooser) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Rand.Float64()*float64(d))
}

// noTarget returns the error for a request for which no target could be picked.
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
		case cause == verdict.CauseNoTarget && t.Draining:
			cause = verdict.CauseLeaving
		}

		if cause == verdict.CauseOverload {
			break
		}
	}

	if cause != verdict.CauseOverload && cause != verdict.CauseColdLimit {
		return &NoTarget{Cause: cause, RetryAt: now.Add(c.jitter(noTargetRetryAfter))}
	}

	at := p.earliestRetry(now)
	if at.IsZero() {
		at = now.Add(c.jitter(fullRetryDelay))
	}

	return &NoTarget{Cause: cause, RetryAt: at}
}

// Unavailable returns why none of a service's targets accepts new requests, for example
// because all are in zones that are out. It returns nil if one does, even if it is
// full. A request that gets this error need not wait in a queue for capacity.
func (c *Chooser) Unavailable(now time.Time, service string) *NoTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()

	p := c.pools[service]
	if p == nil {
		return &NoTarget{Cause: verdict.CauseNoTarget, RetryAt: now.Add(c.jitter(noTargetRetryAfter))}
	}

	for _, t := range p.targets {
		if t.acceptsNew() {
			return nil
		}
	}

	return c.noTarget(now, p)
}
