package lockstep

import (
	"testing"
	"time"
)

// day is demand as readers choose it, with shifts, and the maps of a strategy over it.
type day struct {
	shape Shape
	// requests run at once, replaced of them end between two looks, moved of the most
	// liked experts give way at a shift.
	requests, replaced, moved int
	every                     time.Duration
}

const (
	dayLooks   = 200
	shiftLooks = 36
	// switchLooks is how many looks pass until a map that was chosen is in use.
	switchLooks = 3
)

// strategy returns the map that is in use after a look.
type strategy func(look int, c *counter) Map

// skew is the mean skew, over the looks of a day, of what each look itself brought.
func (d day) skew(seed uint64, s strategy) float64 {
	x := newReaders(d.shape, d.requests, seed)
	c := newCounter(d.shape, time.Second)
	now := c.at
	total := 0.0
	m := InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)

	for look := range dayLooks {
		if look%shiftLooks == shiftLooks-1 {
			x.shift(d.moved)
		}

		now = now.Add(d.every)
		c.observe(now, x.look(d.replaced))
		total += m.Skew(c.fresh)
		m = s(look, c)
	}

	return total / dayLooks
}

// kept is the first map for the whole day.
func (d day) kept() strategy {
	m := InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)

	return func(int, *counter) Map { return m }
}

// packed packs all experts anew each ten looks, as if copies took no time.
func (d day) packed() strategy {
	m := InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)

	return func(look int, c *counter) Map {
		if look%10 == 0 {
			m = d.pack(c.demand())
		}

		return m
	}
}

// foreseen packs all experts for what the look that was just taken brought, which is as
// near as a map can come to the next look.
func (d day) foreseen() strategy {
	return func(_ int, c *counter) Map { return d.pack(c.fresh) }
}

func (d day) pack(demand Demand) Map {
	free := d.shape
	free.SpareSlots = free.Slots

	return ImproveMap(free, InitialMap(free.Sets, free.Experts, free.Ranks), demand, CopyLimits{MaxPerRank: free.Slots * free.Sets, MinGain: 0.001})
}

// directed is what the director does: a map that is worth its copies, some looks later.
func (d day) directed() strategy {
	director := &Director{Shape: d.shape, Settings: DefaultSettings(), current: InitialMap(d.shape.Sets, d.shape.Experts, d.shape.Ranks)}
	next, due := director.current, 0

	return func(look int, c *counter) Map {
		switch {
		case look < due:
		case look == due:
			director.current = next
		default:
			demand := c.demand()
			before := director.current.Skew(demand)

			if m, after, _ := director.best(demand, before); (before-after)/before >= director.Settings.MinGain {
				next, due = m, look+switchLooks
			}
		}

		return director.current
	}
}

// The maps of four strategies side by side on the same demand: the mean skew of steps.
func benchmarkMaps(b *testing.B, d day) {
	for b.Loop() {
		for name, s := range map[string]strategy{"kept": d.kept(), "packed": d.packed(), "foreseen": d.foreseen(), "directed": d.directed()} {
			b.ReportMetric(d.skew(1, s), "skew-"+name)
		}
	}
}

func BenchmarkMapsToday(b *testing.B) {
	benchmarkMaps(b, day{
		shape:    Shape{Sets: 4, Experts: 72, Ranks: 12, Slots: 8, SpareSlots: 3, CopyTime: 98 * time.Millisecond},
		requests: 70, replaced: 6, moved: 4, every: 100 * time.Millisecond,
	})
}

func BenchmarkMapsGrown(b *testing.B) {
	benchmarkMaps(b, day{
		shape:    Shape{Sets: 8, Experts: 252, Ranks: 63, Slots: 5, SpareSlots: 2, CopyTime: 14 * time.Millisecond},
		requests: 300, replaced: 40, moved: 2, every: 180 * time.Millisecond,
	})
}
