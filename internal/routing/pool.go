package routing

import (
	"slices"
	"time"
)

// pool holds the targets of one service.
type pool struct {
	targets []*target
	// medianWait is the median of the targets' mean times to first byte, in
	// nanoseconds.
	medianWait float64
	// meanLoad is the mean share of the capacity that other entries use.
	meanLoad float64
	// warmUtilization is the share of the warm targets' capacity in use, including by
	// this entry.
	warmUtilization float64
	// eventsSinceRefresh counts the events since the three values above were computed.
	eventsSinceRefresh int
	// ejected counts the ejected targets that are reachable.
	ejected int
}

// eventsPerRefresh is after how many events a pool's medians and means are recomputed.
const eventsPerRefresh = 16

// noteEvent counts an event and recomputes the derived values when due.
func (p *pool) noteEvent() {
	p.eventsSinceRefresh++
	if p.eventsSinceRefresh < min(eventsPerRefresh, len(p.targets)) {
		return
	}

	p.refresh()
}

func (p *pool) refresh() {
	p.eventsSinceRefresh = 0
	waits := make([]float64, 0, len(p.targets))
	load, capacity, warmLoad, warmCapacity := 0.0, 0.0, 0.0, 0.0

	for _, t := range p.targets {
		if !t.acceptsNew() || t.health.ejectedFor != faultNone {
			continue
		}

		if t.health.waitSamples >= minWaitSamples && !t.Cold {
			waits = append(waits, t.health.meanWait)
		}

		if t.reportedAt.IsZero() {
			continue
		}

		load += float64(t.othersReported)
		capacity += float64(t.maxInFlight())

		if !t.Cold {
			warmLoad += float64(t.othersReported + t.inFlight)
			warmCapacity += float64(t.maxInFlight())
		}
	}

	p.medianWait = median(waits)
	p.meanLoad = ratio(load, capacity)
	p.warmUtilization = ratio(warmLoad, warmCapacity)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}

	return a / b
}

// minForMedian is the number of targets below which no target can be called slow.
const minForMedian = 3

func median(v []float64) float64 {
	if len(v) < minForMedian {
		return 0
	}

	slices.Sort(v)

	return v[len(v)/2]
}

// tryEject reports whether one more target may be ejected, and counts it. If many
// reachable targets look faulty at once, the cause is more likely in the requests or in
// this entry, and ejecting them would overload the others. Unreachable targets are not
// limited because they provide no capacity.
func (p *pool) tryEject(reason fault, share float64) bool {
	if !reason.unreachable() && float64(p.ejected+1) > share*float64(len(p.targets)) {
		return false
	}

	p.countEjected(reason)

	return true
}

func (p *pool) countEjected(reason fault) {
	if !reason.unreachable() && reason != faultNone {
		p.ejected++
	}
}

// uncountEjected reverts countEjected.
func (p *pool) uncountEjected(reason fault) {
	if !reason.unreachable() && reason != faultNone {
		p.ejected--
	}
}

// earliestRetry returns the earliest time after now at which the pool may have
// capacity, or zero if unknown.
func (p *pool) earliestRetry(now time.Time) time.Time {
	var at time.Time

	for _, t := range p.targets {
		if !t.acceptsNew() {
			continue
		}

		candidate := t.fullUntil
		if t.health.ejectedFor != faultNone {
			candidate = t.health.ejectedUntil
		}

		if candidate.After(now) && (at.IsZero() || candidate.Before(at)) {
			at = candidate
		}
	}

	return at
}

// suspectZone counts an unresponsive connection at the other targets of a failed
// target's zone, because the loss of a zone without notice shows first at one of its
// targets. Targets of other zones are then preferred. The next failure of a suspected
// target ejects it if its count has reached ConsecutiveUnresponsive. Any success or
// credit resets the count.
func (p *pool) suspectZone(failed *target) {
	for _, t := range p.targets {
		if t != failed && t.Zone == failed.Zone && t.Region == failed.Region {
			t.health.unresponsive++
		}
	}
}
