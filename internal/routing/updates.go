package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleygate/parsleygate/internal/prefix"
)

// ChangeTargets applies the targets of a new configuration.
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

// ApplyCacheEvent applies a cache event of an engine.
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

// find returns the target and its pool, or nil if the target is unknown or has another
// incarnation.
func (c *Chooser) find(agentID string, incarnation uint64) (*target, *pool) {
	c.initLocked()

	t := c.byID[agentID]
	if t == nil || t.Incarnation != incarnation {
		return nil, nil
	}

	return t, c.pools[t.Service]
}

// ApplyReport applies a load report. A report older than the last one is dropped.
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
	if ev.Draining {
		t.stoppedUntil = ev.TakenAt.Add(c.Settings.StopReportTTL)
	}

	p.noteEvent()
}

// ApplyCredit applies a credit.
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

// RecordFirstByte records the time to the first byte of an answer.
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

// Finish records the end of a request and frees its slot.
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

// RecordUnresponsive records that a connection stopped responding.
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
