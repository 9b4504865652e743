package lockstep

import (
	"testing"
	"time"
)

// demandSimulation is demand as readers choose it, with shifts, and the maps of a strategy over it.
type demandSimulation struct {
	shape Shape
	// requests run at once, replaced of them end between two looks, moved of the most
	// liked experts give way at a shift.
	requests, replaced, moved int
	pollInterval              time.Duration
}

const (
	simulationPolls = 200
	pollsPerShift   = 36
	// pollsPerSwitch is how many looks pass until a map that was chosen is in use.
	pollsPerSwitch = 3
)

// strategy returns the map that is in use after a look.
type strategy func(look int, c *demandEstimator) Map

// meanSkew is the mean skew, over the looks of a day, of what each look itself brought.
func (d demandSimulation) meanSkew(seed uint64, s strategy) float64 {
	x := newFakeRequests(d.shape, d.requests, seed)
	c := newDemandEstimator(d.shape, time.Second)
	now := c.observedAt
	total := 0.0
	m := InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)

	for n := range simulationPolls {
		if n%pollsPerShift == pollsPerShift-1 {
			x.shift(d.moved)
		}

		now = now.Add(d.pollInterval)
		c.observe(now, x.nextPoll(d.replaced))
		total += m.Skew(c.latest)
		m = s(n, c)
	}

	return total / simulationPolls
}

// initialOnly is the first map for the whole day.
func (d demandSimulation) initialOnly() strategy {
	m := InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)

	return func(int, *demandEstimator) Map { return m }
}

// repacked packs all experts anew each ten looks, as if copies took no time.
func (d demandSimulation) repacked() strategy {
	m := InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)

	return func(n int, c *demandEstimator) Map {
		if n%10 == 0 {
			m = d.pack(c.expected())
		}

		return m
	}
}

// oracle packs all experts for what the look that was just taken brought, which is as
// near as a map can come to the next look.
func (d demandSimulation) oracle() strategy {
	return func(_ int, c *demandEstimator) Map { return d.pack(c.latest) }
}

func (d demandSimulation) pack(demand Demand) Map {
	unlimited := d.shape
	unlimited.SpareSlots = unlimited.Slots

	return ImproveMap(unlimited, InitialMap(unlimited.Sets, unlimited.Experts, unlimited.Ranks), demand, CopyLimits{MaxPerRank: unlimited.Slots * unlimited.Sets, MinGain: 0.001})
}

// directed is what the director does: a map that is worth its copies, some looks later.
func (d demandSimulation) directed() strategy {
	director := &Director{Shape: d.shape, Settings: DefaultSettings(), current: InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)}
	next, due := director.current, 0

	return func(n int, c *demandEstimator) Map {
		switch {
		case n < due:
		case n == due:
			director.current = next
		default:
			demand := c.expected()
			before := director.current.Skew(demand)

			if m, after, _ := director.bestMap(demand, before); (before-after)/before >= director.Settings.MinGain {
				next, due = m, n+pollsPerSwitch
			}
		}

		return director.current
	}
}

// The maps of four strategies side by side on the same demand: the mean skew of steps.
func benchmarkMaps(b *testing.B, d demandSimulation) {
	for b.Loop() {
		for name, s := range map[string]strategy{"kept": d.initialOnly(), "packed": d.repacked(), "foreseen": d.oracle(), "directed": d.directed()} {
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
