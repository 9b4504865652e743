package lockstep

import (
	"testing"
	"time"
)

// demandSimulation simulates demand that shifts, and the maps that a strategy chooses for it.
type demandSimulation struct {
	shape Shape
	// requests is the number of running requests, replaced how many of them end between two
	// polls, and moved how many of the most popular experts change in a shift.
	requests, replaced, moved int
	pollInterval              time.Duration
}

const (
	simulationPolls = 200
	pollsPerShift   = 36
	// pollsPerSwitch is the number of polls until a chosen map is in use.
	pollsPerSwitch = 3
)

// strategy returns the map that is in use after the n-th poll.
type strategy func(n int, c *demandEstimator) Map

// meanSkew returns the skew of the demand of each poll under the map in use, averaged over all
// polls.
func (d demandSimulation) meanSkew(seed uint64, s strategy) float64 {
	x := newFakeRequests(d.shape, d.requests, seed)
	c := newDemandEstimator(d.shape, time.Second)
	now := c.observedAt
	total := 0.0
	m := InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)

	for poll := range simulationPolls {
		if poll%pollsPerShift == pollsPerShift-1 {
			x.shift(d.moved)
		}

		now = now.Add(d.pollInterval)
		c.observe(now, x.poll(d.replaced))
		total += m.Skew(c.latest)
		m = s(poll, c)
	}

	return total / simulationPolls
}

// initialOnly keeps the initial map.
func (d demandSimulation) initialOnly() strategy {
	m := InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)

	return func(int, *demandEstimator) Map { return m }
}

// repacked computes a map from scratch every ten polls, as if copies took no time.
func (d demandSimulation) repacked() strategy {
	m := InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)

	return func(n int, c *demandEstimator) Map {
		if n%10 == 0 {
			m = d.pack(c.demand())
		}

		return m
	}
}

// oracle computes a map from scratch for the demand of the latest poll, which is the best
// possible prediction of the next poll.
func (d demandSimulation) oracle() strategy {
	return func(_ int, c *demandEstimator) Map { return d.pack(c.latest) }
}

func (d demandSimulation) pack(demand Demand) Map {
	unlimited := d.shape
	unlimited.SpareSlots = unlimited.Slots

	return ImproveMap(unlimited, InitialMap(unlimited.Sets, unlimited.Experts, unlimited.Ranks), demand, CopyLimits{MaxPerRank: unlimited.Slots * unlimited.Sets, MinGain: 0.001})
}

// directed simulates the director: it switches to maps that are worth their copies, with a
// delay of some polls.
func (d demandSimulation) directed() strategy {
	director := &Director{Shape: d.shape, Settings: DefaultSettings(), current: InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)}
	next, due := director.current, 0

	return func(n int, c *demandEstimator) Map {
		switch {
		case n < due:
		case n == due:
			director.current = next
		default:
			demand := c.demand()
			before := director.current.Skew(demand)

			if m, after, _ := director.bestMap(demand, before); (before-after)/before >= director.Settings.MinGain {
				next, due = m, n+pollsPerSwitch
			}
		}

		return director.current
	}
}

// benchmarkMaps compares the mean skew of four strategies under the same demand.
func benchmarkMaps(b *testing.B, d demandSimulation) {
	for b.Loop() {
		for name, s := range map[string]strategy{"initial": d.initialOnly(), "repacked": d.repacked(), "oracle": d.oracle(), "directed": d.directed()} {
			b.ReportMetric(d.meanSkew(1, s), "skew-"+name)
		}
	}
}

func BenchmarkMaps12Ranks(b *testing.B) {
	benchmarkMaps(b, demandSimulation{
		shape:    Shape{Sets: 4, Experts: 72, Ranks: 12, Slots: 8, SpareSlots: 3, CopyTime: 98 * time.Millisecond},
		requests: 70, replaced: 6, moved: 4, pollInterval: 100 * time.Millisecond,
	})
}

func BenchmarkMaps63Ranks(b *testing.B) {
	benchmarkMaps(b, demandSimulation{
		shape:    Shape{Sets: 8, Experts: 252, Ranks: 63, Slots: 5, SpareSlots: 2, CopyTime: 14 * time.Millisecond},
		requests: 300, replaced: 40, moved: 2, pollInterval: 180 * time.Millisecond,
	})
}
