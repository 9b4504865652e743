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
	// fullness is the share of the warm targets' capacity in use, this entry's included.
	fullness float64
	// changes counts events since these were worked out.
	changes int
	// aside counts the targets set aside that could be reached.
	aside int
}

// refreshEvery is how many events a pool's medians and means may be behind.
const refreshEvery = 16

// changed counts an event and refreshes the derived numbers when due.
func (p *pool) changed() {
	p.changes++
	if p.changes < min(refreshEvery, len(p.targets)) {
		return
	}

	p.refresh()
}

func (p *pool) refresh() {
	p.changes = 0
	waits := make([]float64, 0, len(p.targets))
	load, capacity, used, warm := 0.0, 0.0, 0.0, 0.0

	for _, t := range p.targets {
		if !t.takesNew() || t.health.aside != faultNone {
			continue
		}

		if t.health.waits >= waitsNeeded && !t.Cold {
			waits = append(waits, t.health.wait)
		}

		if t.reportedAt.IsZero() {
			continue
		}

		load += float64(t.reported)
		capacity += float64(t.bears())

		if !t.Cold {
			used += float64(t.reported + t.own)
			warm += float64(t.bears())
		}
	}

	p.medianWait = median(waits)
	p.meanLoad = ratio(load, capacity)
	p.fullness = ratio(used, warm)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}

	return a / b
}

// fewestForMedian: with fewer targets nobody can say which is slow.
const fewestForMedian = 3

func median(v []float64) float64 {
	if len(v) < fewestForMedian {
		return 0
	}

	slices.Sort(v)

	return v[len(v)/2]
}

// reserve reports whether one more target may be set aside, and counts it. When
// many reachable targets look bad at once the fault is likelier in the requests
// or in this entry, and the few left would be overloaded. Targets that can't be
// reached are no loss.
func (p *pool) reserve(why fault, share float64) bool {
	if !why.unreachable() && float64(p.aside+1) > share*float64(len(p.targets)) {
		return false
	}

	p.count(why)

	return true
}

func (p *pool) count(why fault) {
	if !why.unreachable() && why != faultNone {
		p.aside++
	}
}

// release undoes reserve.
func (p *pool) release(why fault) {
	if !why.unreachable() && why != faultNone {
		p.aside--
	}
}

// earliest returns the earliest time after now at which the pool may have
// room, or zero when nothing says so.
func (p *pool) earliest(now time.Time) time.Time {
	var at time.Time

	for _, t := range p.targets {
		if !t.takesNew() {
			continue
		}

		c := t.fullUntil
		if t.health.aside != faultNone {
			c = t.health.asideUntil
		}

		if c.After(now) && (at.IsZero() || c.Before(at)) {
			at = c
		}
	}

	return at
}

// suspectZone counts a silence against the others of a lost target's zone: a
// zone that is lost without notice shows first at one of its targets. They come
// after those of other zones, and are set aside with their next silence after
// the third; any success or credit clears them.
func (p *pool) suspectZone(lost *target) {
	for _, t := range p.targets {
		if t != lost && t.Zone == lost.Zone && t.Region == lost.Region {
			t.health.silences++
		}
	}
}
