package routing

import (
	"slices"
	"strings"
	"time"
)

// RecordDemand records that a service has new or waiting requests. Credits of cold
// targets are requested ahead only while it has.
func (c *Chooser) RecordDemand(now time.Time, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initLocked()
	c.lastRequestAt[service] = now
}

// CreditRequests returns the credit requests that are due, for cold and unreachable
// targets of services in demand: for a first credit, for one that expires soon, and for
// one that no longer fits the slots this entry needs. Answers renew a credit only for
// the slots last requested. The credit of a warm target is requested by the request
// that needs it (Choice.NeedsCredit). This costs that request a round trip, but
// renewing every credit ahead would cost an entry with many targets more than all of
// its other messages. It should be called about five times a second.
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
				Service: service, AgentID: t.AgentID, Address: t.Address, Incarnation: t.Incarnation, Wanted: slots, Using: t.inFlight,
			})
		}
	}

	slices.SortFunc(requests, func(a, b CreditRequest) int { return strings.Compare(a.AgentID, b.AgentID) })

	return requests
}

// Capacity returns how many requests this entry may have in flight at a service's
// targets.
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
