package routing

import (
	"slices"
	"time"
)

// pool is the targets of one service.
type pool struct {
	targets []*target
	// medianWait is the median of the targets' mean first-byte waits, in nanoseconds.
	medianWait float64
	// meanLoad is the mean share of capacity that other entries use.
	meanLoad float64
	// warmUtilisation is the share of the warm targets' capacity in use, this entry's included.
	warmUtilisation float64
	// eventsSinceRefresh counts events since these were worked out.
	eventsSinceRefresh int
	// ejected counts the targets set aside that could be reached.
	ejected int
}

// eventsPerRefresh is how many events a pool's medians and means may be behind.
const eventsPerRefresh = 16

// noteEvent counts an event and refreshes the derived numbers when due.
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
	p.warmUtilisation = ratio(warmLoad, warmCapacity)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}

	return a / b
}

// minForMedian: with fewer targets nobody can say which is slow.
const minForMedian = 3

func median(v []float64) float64 {
	if len(v) < minForMedian {
		return 0
	}

	slices.Sort(v)

	return v[len(v)/2]
}

// tryEject reports whether one more target may be set aside, and counts it. When
// many reachable targets look bad at once the fault is likelier in the requests
// or in this entry, and the few left would be overloaded. Targets that can't be
// reached are no loss.
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

// uncountEjected undoes reserve.
func (p *pool) uncountEjected(reason fault) {
	if !reason.unreachable() && reason != faultNone {
		p.ejected--
	}
}

// earliestRetry returns the earliest time after now at which the pool may have
// room, or zero when nothing says so.
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

// suspectZone counts a silence against the others of a lost target's zone: a
// zone that is lost without notice shows first at one of its targets. They come
// after those of other zones, and are set aside with their next silence after
// the third; any success or credit clears them.
func (p *pool) suspectZone(failed *target) {
	for _, t := range p.targets {
		if t != failed && t.Zone == failed.Zone && t.Region == failed.Region {
			t.health.unresponsive++
		}
	}
}
