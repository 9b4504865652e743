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
	c.initLocked()
	c.lastRequestAt[service] = now
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
	c.initLocked()

	var requests []CreditRequest

	for service, p := range c.pools {
		if now.Sub(c.lastRequestAt[service]) > c.Settings.DemandTTL {
			continue
		}

		for _, t := range p.targets {
			slots := t.desiredSlots(&c.Settings)
			if !t.requestsCreditAhead() || !t.acceptsNew() || !t.creditRequestDue(now, slots, c.Settings.CreditRenewBefore) {
				continue
			}

			t.creditRequested(now, slots, &c.Settings)
			requests = append(requests, CreditRequest{
				Service: service, AgentID: t.AgentID, Addr: t.Addr, Incarnation: t.Incarnation, Wanted: slots, Using: t.inFlight,
			})
		}
	}

	slices.SortFunc(requests, func(a, b CreditRequest) int { return strings.Compare(a.AgentID, b.AgentID) })

	return requests
}

// Capacity returns what this entry may have in flight at a service's targets.
func (c *Chooser) Capacity(now time.Time, service string) Capacity {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()

	var r Capacity

	p := c.pools[service]
	if p == nil {
		return r
	}

	for _, t := range p.targets {
		r.InFlight += t.inFlight
		r.Slots += t.inFlight
		if !t.acceptsNew() || now.Before(t.stoppedUntil) || t.health.ejectedFor != faultNone {
			continue
		}

		r.Targets++
		r.Slots += max(0, t.headroom(now, &c.Settings, t.othersInFlight(now, c.Settings.ReportHalfWeightAge, p.meanLoad)))
	}

	return r
}
