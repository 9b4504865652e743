// Package routing chooses the target of each request at an entry: by lagged
// load reports and what this entry itself has in flight, by the prompt prefixes
// that a target holds, by zone, and by how the target's answers have been.
package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Chooser decides which target gets a request. All methods may be called
// concurrently: each holds one lock for well under a microsecond, but for
// ChangeTargets, which holds it for the time of one pass over the targets.
type Chooser struct {
	// Settings, Rand and Prefixes are set before the first call. Without
	// Prefixes no prefix is known. Nothing else may use Rand.
	Settings Settings
	Rand     *rand.Rand
	Prefixes *prefix.Index

	mu    sync.Mutex
	ready bool
	pools map[string]*pool
	byID  map[string]*target
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
}

// ChangeTargets takes in the configuration's targets.
func (c *Chooser) ChangeTargets(ev TargetsChanged) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()

	former := c.byID
	c.pools = map[string]*pool{}
	c.byID = make(map[string]*target, len(ev.Targets))

	for _, d := range ev.Targets {
		t := former[d.AgentID]
		if t == nil || t.Incarnation != d.Incarnation {
			t = &target{}
		}

		if t.reportedAt.IsZero() || !t.Cold {
			t.Target = d
		} else {
			cold := t.Cold
			t.Target = d
			t.Cold = cold
		}

		c.byID[d.AgentID] = t
		c.add(t)
	}

	for _, p := range c.pools {
		p.refresh()
	}
}

func (c *Chooser) add(t *target) {
	p := c.pools[t.Service]
	if p == nil {
		p = &pool{}
		c.pools[t.Service] = p
	}

	p.targets = append(p.targets, t)
	p.count(t.health.aside)
}

// find returns the target when it is still of that incarnation.
func (c *Chooser) find(agentID string, incarnation uint64) (*target, *pool) {
	c.start()

	t := c.byID[agentID]
	if t == nil || t.Incarnation != incarnation {
		return nil, nil
	}

	return t, c.pools[t.Service]
}

// Report takes in a load report. One older than the last is dropped.
func (c *Chooser) Report(ev ReportReceived) {
	c.mu.Lock()
	defer c.mu.Unlock()

	t, p := c.find(ev.AgentID, ev.Incarnation)
	if t == nil || ev.TakenAt.Before(t.reportedAt) {
		return
	}

	t.reported = max(0, ev.InFlight+ev.Queued-t.history.at(ev.TakenAt))
	t.reportedAt = ev.TakenAt
	t.limit = ev.Limit
	t.Cold = ev.Cold

	t.stoppedUntil = time.Time{}
	if ev.Leaving {
		t.stoppedUntil = ev.TakenAt.Add(c.Settings.StoppedFor)
	}

	p.changed()
}

// Credit takes in a credit.
func (c *Chooser) Credit(ev CreditChanged) {
	c.mu.Lock()
	defer c.mu.Unlock()

	t, _ := c.find(ev.AgentID, ev.Incarnation)
	if t == nil {
		return
	}

	t.slots = ev.Slots
	t.creditEnds = ev.ExpiresAt
	t.reached()
}

// Begin takes in the time to an answer's first byte.
func (c *Chooser) Begin(ev FirstByte) {
	c.mu.Lock()
	defer c.mu.Unlock()

	t, p := c.find(ev.AgentID, ev.Incarnation)
	if t == nil {
		return
	}

	t.health.waited(ev.Wait)
	p.changed()
}

// Finish takes in a request's end and frees its place.
func (c *Chooser) Finish(now time.Time, ev Finished) {
	c.mu.Lock()
	defer c.mu.Unlock()

	t, p := c.find(ev.AgentID, ev.Incarnation)
	if t == nil {
		return
	}

	t.count(now, max(0, t.own-1))
	c.learn(now, p, t, ev)
}

// Silence takes in that a connection went silent.
func (c *Chooser) Silence(now time.Time, ev TargetSilent) {
	c.mu.Lock()
	defer c.mu.Unlock()

	t, p := c.find(ev.AgentID, ev.Incarnation)
	if t == nil {
		return
	}

	t.health.silences++
	c.judge(now, p, t)
}

// Choose returns a target and counts the request as in flight there. Each
// Choice must be ended by Finish.
func (c *Chooser) Choose(now time.Time, ask Ask) (Choice, *NoTarget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()

	p := c.pools[ask.Service]
	if p == nil {
		return Choice{}, &NoTarget{Cause: verdict.CauseNoTarget}
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
		NeedsCredit: !t.credited(now), Probe: probe, Matched: c.matched(t, &ask),
	}, nil
}

// usable reports whether ask may go to t now.
func (c *Chooser) usable(now time.Time, p *pool, t *target, ask *Ask) bool {
	switch {
	case !t.takesNew(), now.Before(t.stoppedUntil), t.room(now, &c.Settings, p.meanLoad) <= 0:
		return false
	case t.health.aside != faultNone && !t.health.mayProbe(now, ask.Idempotent):
		return false
	default:
		return !slices.Contains(ask.Excluded, t.AgentID)
	}
}

// pick compares targets from a random place on, and takes the first of those
// whose costs are nearly equal. A target whose probe is due goes before all.
func (c *Chooser) pick(now time.Time, p *pool, ask *Ask) *target {
	n := len(p.targets)
	first := c.Rand.IntN(n)

	var (
		best     *target
		bestCost float64
		seen     int
	)

	for i := range n {
		t := p.targets[(first+i)%n]
		if !c.usable(now, p, t, ask) {
			continue
		}

		if t.health.aside != faultNone {
			return t
		}

		cost := c.cost(now, p, t, ask)
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

func (c *Chooser) matched(t *target, ask *Ask) int {
	if c.Prefixes == nil || len(ask.Prefixes) == 0 {
		return 0
	}

	return c.Prefixes.Match(t.AgentID, ask.Prefixes).Blocks
}

// The mean pauses before asking again where nothing says when.
const (
	waitForRoom    = 300 * time.Millisecond
	waitForTargets = 3 * time.Second
)

// jitter returns between half of d and one and a half of it.
func (c *Chooser) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.Rand.Float64()*float64(d))
}

// why says why no target could be picked.
func (c *Chooser) why(now time.Time, p *pool) *NoTarget {
	cause := verdict.CauseNoTarget

	for _, t := range p.targets {
		switch {
		case t.takesNew() && t.Cold:
			cause = verdict.CauseColdLimit
		case t.takesNew():
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
		return &NoTarget{Cause: cause, RetryAt: now.Add(c.jitter(waitForTargets))}
	}

	at := p.earliest(now)
	if at.IsZero() {
		at = now.Add(c.jitter(waitForRoom))
	}

	return &NoTarget{Cause: cause, RetryAt: at}
}

// CreditAsks returns the credits to ask for now: first ones, those that end
// soon, and those that no longer fit what this entry needs. Answers renew a
// credit only by what was last asked. A shell calls it some five times a second.
func (c *Chooser) CreditAsks(now time.Time) []CreditAsk {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()

	var asks []CreditAsk

	for _, p := range c.pools {
		for _, t := range p.targets {
			wanted := t.wants(&c.Settings)
			if !t.takesNew() || !t.shouldAsk(now, wanted, c.Settings.RenewBefore) {
				continue
			}

			t.asked(now, wanted, &c.Settings)
			asks = append(asks, CreditAsk{
				AgentID: t.AgentID, Addr: t.Addr, Incarnation: t.Incarnation, Wanted: wanted, Using: t.own,
			})
		}
	}

	slices.SortFunc(asks, func(a, b CreditAsk) int { return strings.Compare(a.AgentID, b.AgentID) })

	return asks
}

// Room returns what this entry may have in flight at a service's targets.
func (c *Chooser) Room(now time.Time, service string) Room {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()

	var r Room

	p := c.pools[service]
	if p == nil {
		return r
	}

	for _, t := range p.targets {
		r.InFlight += t.own
		r.Slots += t.own
		if !t.takesNew() || now.Before(t.stoppedUntil) || t.health.aside != faultNone {
			continue
		}

		r.Targets++
		r.Slots += max(0, t.room(now, &c.Settings, p.meanLoad))
	}

	return r
}
