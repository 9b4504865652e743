package routing

import (
	"slices"
	"strings"
	"time"
)

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
		r.Slots += max(0, t.room(now, &c.Settings, t.others(now, c.Settings.ReportLife, p.meanLoad)))
	}

	return r
}
