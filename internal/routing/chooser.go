// Package routing selects the target of each request at an entry. It weighs load
// reports, which lag, and this entry's own requests in flight, the prompt prefixes that
// each target has cached, the target's zone, and its recent failures and latency.
package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Chooser selects the target of each request. All methods are safe for concurrent use.
// Each holds one lock for well under a microsecond, except ChangeTargets, which holds
// it for one pass over the targets.
type Chooser struct {
	// Settings and Rand must be set before the first call; Prefixes is optional.
	// Nothing else may use Rand or Prefixes.
	Settings Settings
	Rand     *rand.Rand
	Prefixes *prefix.Index

	mu    sync.Mutex
	ready bool
	pools map[string]*pool
	byID  map[string]*target
	// lastRequestAt is the time of the last request for each service.
	lastRequestAt map[string]time.Time
}

// initLocked fills in the defaults. The caller must hold c.mu.
func (c *Chooser) initLocked() {
	if c.ready {
		return
	}

	c.ready = true
	c.Settings = c.Settings.withDefaults()
	c.pools = map[string]*pool{}
	c.byID = map[string]*target{}
	c.lastRequestAt = map[string]time.Time{}

	if c.Prefixes == nil {
		c.Prefixes = &prefix.Index{}
	}
}

// Choose selects a target and counts the request as in flight there. Every Choice must
// be followed by a call of Finish.
func (c *Chooser) Choose(now time.Time, req Request) (Choice, *NoTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()
	c.lastRequestAt[req.Service] = now

	p := c.pools[req.Service]
	if p == nil {
		return Choice{}, &NoTarget{Cause: verdict.CauseNoTarget, RetryAt: now.Add(c.jitter(noTargetRetryAfter))}
	}

	t := c.pick(now, p, &req)
	if t == nil {
		return Choice{}, c.noTarget(now, p)
	}

	probe := t.health.ejectedFor != faultNone
	if probe {
		t.health.probing++
	}

	if t.Cold {
		t.nextWarmUpAt = now.Add(c.Settings.WarmUpInterval)
	}

	t.setInFlight(now, t.inFlight+1)

	return Choice{
		AgentID: t.AgentID, Address: t.Address, Incarnation: t.Incarnation, Cold: t.Cold,
		NeedsCredit: !t.hasCredit(now), Probe: probe, MatchedPrefixes: c.recordPrefixes(now, t, &req),
	}, nil
}

// usable reports whether req may go to t now.
func (c *Chooser) usable(now time.Time, t *target, req *Request, others float64) bool {
	switch {
	case !t.acceptsNew(), now.Before(t.stoppedUntil), t.headroom(now, &c.Settings, others) <= 0:
		return false
	case t.health.ejectedFor != faultNone && !t.health.mayProbe(now, req.Idempotent):
		return false
	default:
		return !slices.Contains(req.Excluded, t.AgentID)
	}
}

// pick compares targets from a random start and returns the first of those whose costs
// are nearly equal. A target that is due for a probe takes precedence.
func (c *Chooser) pick(now time.Time, p *pool, req *Request) *target {
	n := len(p.targets)
	first := c.Rand.IntN(n)

	var (
		best     *target
		bestCost float64
		seen     int
	)

	for i := range n {
		t := p.targets[(first+i)%n]

		others := t.othersInFlight(now, c.Settings.ReportHalfWeightAge, p.meanLoad)
		if !c.usable(now, t, req, others) {
			continue
		}

		if t.health.ejectedFor != faultNone {
			return t
		}

		cost := c.cost(now, p, t, req, others)
		if best == nil || cost < bestCost-c.Settings.CostTolerance {
			best, bestCost = t, cost
		}

		seen++
		if seen == c.Settings.Candidates {
			break
		}
	}

	return best
}

// recordPrefixes records that the prompt's prefixes go to t, and returns how many t
// held before.
func (c *Chooser) recordPrefixes(now time.Time, t *target, req *Request) int {
	if len(req.Prefixes) == 0 {
		return 0
	}

	held := c.Prefixes.Match(now, t.AgentID, req.Prefixes).Blocks
	c.Prefixes.RecordRouted(now, t.AgentID, t.Incarnation, req.Prefixes)

	return held
}
