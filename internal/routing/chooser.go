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
	// demand is when each service was last asked for.
	demand map[string]time.Time
}

// start fills in the defaults. It needs the lock.
func (c *Chooser) start() {
	if c.ready {
		return
	}

	c.ready = true
	c.Settings = c.Settings.withDefaults()
	c.pools = map[string]*pool{}
	c.byID = map[string]*target{}
	c.demand = map[string]time.Time{}

	if c.Prefixes == nil {
		c.Prefixes = &prefix.Index{}
	}
}

// Choose returns a target and counts the request as in flight there. Each
// Choice must be ended by Finish.
func (c *Chooser) Choose(now time.Time, ask Request) (Choice, *NoTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()
	c.demand[ask.Service] = now

	p := c.pools[ask.Service]
	if p == nil {
		return Choice{}, &NoTarget{Cause: verdict.CauseNoTarget, RetryAt: now.Add(c.jitter(waitForTargets))}
	}

	t := c.pick(now, p, &ask)
	if t == nil {
		return Choice{}, c.why(now, p)
	}

	probe := t.health.aside != faultNone
	if probe {
		t.health.probing++
	}

	if t.Cold {
		t.warmUpAt = now.Add(c.Settings.WarmUpEvery)
	}

	t.count(now, t.own+1)

	return Choice{
		AgentID: t.AgentID, Addr: t.Addr, Incarnation: t.Incarnation, Cold: t.Cold,
		NeedsCredit: !t.credited(now), Probe: probe, MatchedPrefixes: c.route(now, t, &ask),
	}, nil
}

// usable reports whether ask may go to t now.
func (c *Chooser) usable(now time.Time, t *target, ask *Request, others float64) bool {
	switch {
	case !t.takesNew(), now.Before(t.stoppedUntil), t.room(now, &c.Settings, others) <= 0:
		return false
	case t.health.aside != faultNone && !t.health.mayProbe(now, ask.Idempotent):
		return false
	default:
		return !slices.Contains(ask.Excluded, t.AgentID)
	}
}

// pick compares targets from a random place on, and takes the first of those
// whose costs are nearly equal. A target whose probe is due goes before all.
func (c *Chooser) pick(now time.Time, p *pool, ask *Request) *target {
	n := len(p.targets)
	first := c.Rand.IntN(n)

	var (
		best     *target
		bestCost float64
		seen     int
	)

	for i := range n {
		t := p.targets[(first+i)%n]

		others := t.others(now, c.Settings.ReportLife, p.meanLoad)
		if !c.usable(now, t, ask, others) {
			continue
		}

		if t.health.aside != faultNone {
			return t
		}

		cost := c.cost(now, p, t, ask, others)
		if best == nil || cost < bestCost-c.Settings.NearEqual {
			best, bestCost = t, cost
		}

		seen++
		if seen == c.Settings.Candidates {
			break
		}
	}

	return best
}

// route records the prompt's prefixes, and returns how many t held before.
func (c *Chooser) route(now time.Time, t *target, ask *Request) int {
	if len(ask.Prefixes) == 0 {
		return 0
	}

	held := c.Prefixes.Match(now, t.AgentID, ask.Prefixes).Blocks
	c.Prefixes.RecordRouted(now, t.AgentID, t.Incarnation, ask.Prefixes)

	return held
}
