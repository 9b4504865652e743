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
	if t.health.aside {
		p.aside++
	}
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
	t.Leaving = t.Leaving || ev.Leaving
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

// learn reads what an end says about the target.
func (c *Chooser) learn(now time.Time, p *pool, t *target, ev Finished) {
	wasProbe := t.health.aside
	if wasProbe {
		t.health.probing = max(0, t.health.probing-1)
	}

	switch judgeEnd(ev) {
	case endGood:
		t.health.succeeded()
		if wasProbe {
			c.probeSucceeded(p, t)
		}
	case endBad:
		t.health.failed()
		c.judge(now, p, t)
	case endFull:
		t.fullUntil = c.fullUntil(now, ev.RetryAt)
	case endStopped:
		t.Leaving = true
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

func (c *Chooser) probeSucceeded(p *pool, t *target) {
	t.health.probesTaken++
	if t.health.probesTaken < c.Settings.ProbesNeeded {
		return
	}

	t.health.takeBack()
	p.aside--
}

// judge sets a suspect target aside, within the bound of the pool.
func (c *Chooser) judge(now time.Time, p *pool, t *target) {
	if !t.health.suspect(&c.Settings, p.medianWait) {
		return
	}

	if !t.health.aside {
		if !p.maySetAside(c.Settings.SetAsideShare) {
			return
		}

		p.aside++
	}

	t.health.setAside(now, &c.Settings, c.Rand.Float64())
}

// end is what a request's end says about its target.
type end uint8

const (
	// endNeutral says nothing: the caller or this entry ended it.
	endNeutral end = iota
	endGood
	endBad
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
	case verdict.CauseTargetDown, verdict.CauseBroken, verdict.CauseCrossed:
		return endBad
	default:
		return endNeutral
	}
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

	probe := t.health.aside
	if probe {
		t.health.probing++
	}

	t.count(now, t.own+1)

	return Choice{
		AgentID: t.AgentID, Addr: t.Addr, Incarnation: t.Incarnation, Cold: t.Cold,
		NeedsCredit: !t.credited(now), Probe: probe, Matched: c.matched(t, &ask),
	}, nil
}

// usable reports whether ask may go to t now.
func (c *Chooser) usable(now time.Time, t *target, ask *Ask) bool {
	switch {
	case !t.takesNew(), t.room(now, c.Settings.FirstContact) <= 0:
		return false
	case t.health.aside && (t.health.probing > 0 || now.Before(t.health.asideUntil)):
		return false
	default:
		return !slices.Contains(ask.Excluded, t.AgentID)
	}
}

// pick compares targets from a random place on, and takes the first of those
// whose costs are nearly equal.
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
		if !c.usable(now, t, ask) {
			continue
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

// cost estimates how dear it is to send ask to t; 1 is a warm target that is full.
func (c *Chooser) cost(now time.Time, p *pool, t *target, ask *Ask) float64 {
	load := t.others(now, c.Settings.ReportLife, p.meanLoad) + float64(t.own) + 1
	cost := load / float64(t.bears())

	if p.medianWait > 0 && t.health.waits >= waitsNeeded {
		cost *= max(1, t.health.wait/p.medianWait)
	}

	cost += 0.5*t.health.failures + 0.25*float64(t.health.silences)

	switch {
	case t.Region != ask.Region:
		cost += c.Settings.OtherRegion
	case t.Zone != ask.Zone:
		cost += c.Settings.OtherZone
	}

	if c.Prefixes != nil && len(ask.Prefixes) > 0 {
		m := c.Prefixes.Match(t.AgentID, ask.Prefixes)
		cost -= c.Settings.PrefixGain * m.Certainty * float64(m.Blocks) / float64(len(ask.Prefixes))
	}

	return cost
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

	at := p.earliest(now)
	if at.IsZero() {
		at = now.Add(shortestFull + time.Duration(c.Rand.Float64()*float64(longestFull)))
	}

	return &NoTarget{Cause: cause, RetryAt: at}
}

// CreditAsks returns the credits to ask for now: those that end soon, and
// first ones. A shell calls it a few times a second.
func (c *Chooser) CreditAsks(now time.Time) []CreditAsk {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()

	var asks []CreditAsk

	for _, t := range c.byID {
		if !t.takesNew() || t.creditEnds.After(now.Add(c.Settings.RenewBefore)) {
			continue
		}

		asks = append(asks, CreditAsk{
			AgentID: t.AgentID, Addr: t.Addr, Incarnation: t.Incarnation,
			Wanted: t.own + c.Settings.FirstContact, Using: t.own,
		})
	}

	slices.SortFunc(asks, func(a, b CreditAsk) int {
		if a.AgentID < b.AgentID {
			return -1
		}

		return 1
	})

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
		if !t.takesNew() {
			continue
		}

		r.Targets++
		r.Slots += t.own + max(0, t.room(now, c.Settings.FirstContact))
	}

	return r
}
