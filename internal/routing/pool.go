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
	// changes counts events since both were worked out.
	changes int
	aside   int
}

// refreshEvery is how many events a pool's medians and means may be behind.
const refreshEvery = 16

// changed counts an event and refreshes the derived numbers when due.
func (p *pool) changed() {
	p.changes++
	if p.changes < refreshEvery && p.changes < len(p.targets) {
		return
	}

	p.refresh()
}

func (p *pool) refresh() {
	p.changes = 0
	waits := make([]float64, 0, len(p.targets))
	load, capacity := 0.0, 0.0

	for _, t := range p.targets {
		if t.health.waits >= waitsNeeded && !t.health.aside {
			waits = append(waits, t.health.wait)
		}

		if !t.reportedAt.IsZero() && t.takesNew() && !t.health.aside {
			load += float64(t.reported)
			capacity += float64(t.bears())
		}
	}

	p.medianWait = median(waits)
	p.meanLoad = 0

	if capacity > 0 {
		p.meanLoad = load / capacity
	}
}

// medianOf needs this many targets: with fewer, nobody can say which is slow.
const fewestForMedian = 3

func median(v []float64) float64 {
	if len(v) < fewestForMedian {
		return 0
	}

	slices.Sort(v)

	return v[len(v)/2]
}

// maySetAside reports whether one more target may be set aside. When many
// targets look bad at once the fault is likelier between them and this entry,
// and the few left would be overloaded.
func (p *pool) maySetAside(share float64) bool {
	return float64(p.aside+1) <= share*float64(len(p.targets))
}

// earliest returns the later-than-now time at which the pool may have room.
func (p *pool) earliest(now time.Time) time.Time {
	var at time.Time

	for _, t := range p.targets {
		if !t.takesNew() {
			continue
		}

		for _, c := range []time.Time{t.fullUntil, t.health.asideUntil} {
			if c.After(now) && (at.IsZero() || c.Before(at)) {
				at = c
			}
		}
	}

	return at
}
