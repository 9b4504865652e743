// Package routing chooses the target of each request at an entry: by lagged
// load reports and what this entry itself has in flight, by the prompt prefixes
// that a target holds, by zone, and by how the target's answers have been.
package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Chooser decides which target gets a request. All methods may be called
// concurrently: each holds one lock for well under a microsecond, but for
// ChangeTargets, which holds it for the time of one pass over the targets.
type Chooser struct {
	// Settings and Rand are set before the first call; Prefixes may be. Nothing
	// else may use Rand or Prefixes.
	Settings Settings
	Rand     *rand.Rand
	Prefixes *prefix.Index

	mu    sync.Mutex
	ready bool
	pools map[string]*pool
	byID  map[string]*target
	// lastRequestAt is when each service was last asked for.
	lastRequestAt map[string]time.Time
}

// initLocked fills in the defaults. It needs the lock.
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

// Choose returns a target and counts the request as in flight there. Each
// Choice must be ended by Finish.
func (c *Chooser) Choose(now time.Time, req Request) (Choice, *NoTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()
	c.lastRequestAt[req.Service] = now

	p := c.pools[req.Service]
	if p == nil {
		return Choice{}, &NoTarget{Cause: verdict.CauseNoTarget, RetryAt: now.Add(c.jitter(noTargetRetryDelay))}
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
		AgentID: t.AgentID, Addr: t.Addr, Incarnation: t.Incarnation, Cold: t.Cold,
		NeedsCredit: !t.hasCredit(now), Probe: probe, MatchedPrefixes: c.recordPrefixes(now, t, &req),
	}, nil
}

// usable reports whether ask may go to t now.
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

// pick compares targets from a random place on, and takes the first of those
// whose costs are nearly equal. A target whose probe is due goes before all.
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

// recordPrefixes records the prompt's prefixes, and returns how many t held before.
func (c *Chooser) recordPrefixes(now time.Time, t *target, req *Request) int {
	if len(req.Prefixes) == 0 {
		return 0
	}

	held := c.Prefixes.Match(now, t.AgentID, req.Prefixes).Blocks
	c.Prefixes.RecordRouted(now, t.AgentID, t.Incarnation, req.Prefixes)

	return held
}
