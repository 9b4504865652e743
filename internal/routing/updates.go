package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleygate/parsleygate/internal/prefix"
)

// ChangeTargets takes in the configuration's targets.
func (c *Chooser) ChangeTargets(ev TargetsChanged) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()

	previous := c.byID
	c.pools = map[string]*pool{}
	c.byID = make(map[string]*target, len(ev.Targets))

	for _, d := range ev.Targets {
		t := previous[d.AgentID]
		if t == nil || t.Incarnation != d.Incarnation {
			t = &target{hash: xxhash.Sum64String(d.AgentID)}
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

	c.Prefixes.Retain(func(id string) bool { return c.byID[id] != nil })
}

// ApplyCacheEvent takes in an engine's cache event.
func (c *Chooser) ApplyCacheEvent(ev prefix.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if t, _ := c.find(ev.Target, ev.Incarnation); t != nil {
		c.Prefixes.Apply(ev)
	}
}

func (c *Chooser) add(t *target) {
	p := c.pools[t.Service]
	if p == nil {
		p = &pool{}
		c.pools[t.Service] = p
	}

	p.targets = append(p.targets, t)
	p.countEjected(t.health.ejectedFor)
}

// find returns the target when it is still of that incarnation.
func (c *Chooser) find(agentID string, incarnation uint64) (*target, *pool) {
	c.initLocked()

	t := c.byID[agentID]
	if t == nil || t.Incarnation != incarnation {
		return nil, nil
	}

	return t, c.pools[t.Service]
}

// ApplyReport takes in a load report. One older than the last is dropped.
func (c *Chooser) ApplyReport(ev ReportReceived) {
	c.mu.Lock()
	defer c.mu.Unlock()

	t, p := c.find(ev.AgentID, ev.Incarnation)
	if t == nil || ev.TakenAt.Before(t.reportedAt) {
		return
	}

	t.othersReported = max(0, ev.InFlight+ev.Queued-t.history.at(ev.TakenAt))
	t.reportedAt = ev.TakenAt
	t.limit = ev.Limit
	t.Cold = ev.Cold

	t.stoppedUntil = time.Time{}
	if ev.Leaving {
		t.stoppedUntil = ev.TakenAt.Add(c.Settings.StopReportTTL)
	}

	p.noteEvent()
}

// ApplyCredit takes in a credit.
func (c *Chooser) ApplyCredit(ev CreditChanged) {
	c.mu.Lock()
	defer c.mu.Unlock()

	t, _ := c.find(ev.AgentID, ev.Incarnation)
	if t == nil {
		return
	}

	t.creditSlots = ev.Slots
	t.creditExpiresAt = ev.ExpiresAt

	if !ev.RetryAt.IsZero() && t.Cold {
		t.nextCreditRequestAt = ev.RetryAt
	}

	t.markReachable()
}

// RecordFirstByte takes in the time to an answer's first byte.
func (c *Chooser) RecordFirstByte(ev FirstByte) {
	c.mu.Lock()
	defer c.mu.Unlock()

	t, p := c.find(ev.AgentID, ev.Incarnation)
	if t == nil {
		return
	}

	t.health.recordWait(ev.Wait)
	p.noteEvent()
}

// Finish takes in a request's end and frees its place.
func (c *Chooser) Finish(now time.Time, ev Finished) {
	c.mu.Lock()
	defer c.mu.Unlock()

	t, p := c.find(ev.AgentID, ev.Incarnation)
	if t == nil {
		return
	}

	t.setInFlight(now, max(0, t.inFlight-1))
	c.applyOutcome(now, p, t, ev)
}

// RecordUnresponsive takes in that a connection went silent.
func (c *Chooser) RecordUnresponsive(now time.Time, ev ConnectionUnresponsive) {
	c.mu.Lock()
	defer c.mu.Unlock()

	t, p := c.find(ev.AgentID, ev.Incarnation)
	if t == nil {
		return
	}

	t.health.unresponsive++
	c.ejectIfFaulty(now, p, t)
}
