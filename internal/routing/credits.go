package routing

import (
	"slices"
	"strings"
	"time"
)

// RecordDemand says that requests for a service come or wait. Credits of cold targets
// are asked for ahead only while they do.
func (c *Chooser) RecordDemand(now time.Time, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()
	c.demand[service] = now
}

// CreditRequests returns the credits to ask for now, at cold and unreachable targets
// of services in demand: first ones, those that end soon, and those that no longer fit what this
// entry needs. Answers renew a credit only by what was last asked. A credit of a
// warm target is asked for by the request that needs one (Choice.NeedsCredit): it
// costs that request a round trip, where renewing each ahead would cost an entry
// with many targets more than all else that it says. A shell calls it some five
// times a second.
func (c *Chooser) CreditRequests(now time.Time) []CreditRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()

	var asks []CreditRequest

	for service, p := range c.pools {
		if now.Sub(c.demand[service]) > c.Settings.DemandLife {
			continue
		}

		for _, t := range p.targets {
			wanted := t.wants(&c.Settings)
			if !t.needsAsk() || !t.takesNew() || !t.shouldAsk(now, wanted, c.Settings.RenewBefore) {
				continue
			}

			t.asked(now, wanted, &c.Settings)
			asks = append(asks, CreditRequest{
				Service: service, AgentID: t.AgentID, Addr: t.Addr, Incarnation: t.Incarnation, Wanted: wanted, Using: t.own,
			})
		}
	}

	slices.SortFunc(asks, func(a, b CreditRequest) int { return strings.Compare(a.AgentID, b.AgentID) })

	return asks
}

// Capacity returns what this entry may have in flight at a service's targets.
func (c *Chooser) Capacity(now time.Time, service string) Capacity {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()

	var r Capacity

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
