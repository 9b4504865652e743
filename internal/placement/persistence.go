package placement

import (
	"math"
	"time"
)

// Sizes of the look back on former changes.
const (
	// trialsEach is how many layers of one decision are looked back on.
	trialsEach = 64
	// fade is the weight that the past keeps with each decision.
	fade = 0.9
	// leastLeft is the least part of a gain taken to be left. Without it, gains
	// that failed once would never be tried again, and a group would keep a bad map.
	leastLeft = 0.25
	// prior is the weight, in layer time, of the popularity's life before much was learnt.
	prior = 0.005
)

// persistence learns how much of a predicted gain is left one decision later.
//
// A search picks what looks best in estimates that are never exact, so its
// gains are smaller than predicted, and a small gain on the slowest rank is
// soon eaten up by movements of the others. The next decision can make up for
// what this one leaves undone, so waiting loses the gain of one interval and no
// more. Popularity's own life says nothing of either; a planner that counts
// gains over it follows noise, and weights go back and forth all day.
type persistence struct {
	trials []trial
	// got and want sum what was left of gains and what was predicted.
	got, want float64
	last      time.Time
	interval  time.Duration
	live      uint64
}

// trial remembers one layer before and after a change.
type trial struct {
	layer     int
	was, is   []Expert
	predicted float64
}

// observe looks at what the last decision's changes gain under the present load.
func (p *persistence) observe(now time.Time, g *Group, w *layer) {
	if !p.last.IsZero() {
		p.interval = now.Sub(p.last)
	}
	p.last = now
	var live uint64
	for r := range g.Map.Shape.Ranks {
		if g.Load.Live(r) {
			live |= 1 << r
		}
	}
	if live != p.live {
		// Gains under another set of ranks say nothing of the future.
		p.trials, p.live = p.trials[:0], live
	}
	p.got *= fade
	p.want *= fade
	for _, t := range p.trials {
		p.got += w.timeOf(g, t.layer, t.was) - w.timeOf(g, t.layer, t.is)
		p.want += t.predicted
	}
	p.trials = p.trials[:0]
}

// timeOf returns the time of layer l under the present load if it had these slots.
func (w *layer) timeOf(g *Group, l int, slots []Expert) float64 {
	w.loadSlots(slots, g.Map.Shape, &g.Load, l)
	_, t := w.slowest()

	return t
}

// remember takes in a layer's change.
func (p *persistence) remember(l int, was, is []Expert, predicted float64) {
	p.trials = append(p.trials, trial{layer: l, was: append([]Expert(nil), was...), is: is, predicted: predicted})
}

// horizon returns for how long, in seconds, a predicted gain counts: where a
// part q of it is left one interval later, when the change first shows, q*q
// after two and so on, for interval*q/(1-q); never longer than popularity lasts.
func (p *persistence) horizon(popularity time.Duration) float64 {
	longest := max(popularity.Seconds(), noise)
	if p.interval <= 0 {
		return longest
	}
	each := p.interval.Seconds()
	expected := math.Exp(-each / longest)
	left := min(expected, max(leastLeft, (p.got+prior*expected)/(p.want+prior)))

	return min(longest, each*left/(1-left))
}
