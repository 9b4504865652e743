package placement

import (
	"math"
	"time"
)

// Sizes of the look back on former changes.
const (
	// trialsPerDecision is how many layers of one decision are looked back on.
	trialsPerDecision = 64
	// trialDecay is the weight that the past keeps with each decision.
	trialDecay = 0.9
	// minRemaining is the least part of a gain taken to be left. Without it, gains
	// that failed once would never be tried again, and a group would keep a bad map.
	minRemaining = 0.25
	// priorWeight is the weight, in layer time, of the popularity's life before much was learnt.
	priorWeight = 0.005
)

// gainTracker learns how much of a predicted gain is left one decision later.
//
// A search picks what looks best in estimates that are never exact, so its
// gains are smaller than predicted, and a small gain on the slowest rank is
// soon eaten up by movements of the others. The next decision can make up for
// what this one leaves undone, so waiting loses the gain of one interval and no
// more. Popularity's own life says nothing of either; a planner that counts
// gains over it follows noise, and weights go back and forth all day.
type gainTracker struct {
	trials []trial
	// remaining and want sum what was left of gains and what was predicted.
	remaining, predicted float64
	lastDecision         time.Time
	interval             time.Duration
	liveRanks            uint64
}

// trial remembers one layer before and after a change.
type trial struct {
	layer         int
	before, after []Expert
	predicted     float64
}

// evaluateTrials looks at what the last decision's changes gain under the present load.
func (p *gainTracker) evaluateTrials(now time.Time, g *Group, w *layerState) {
	if !p.lastDecision.IsZero() {
		p.interval = now.Sub(p.lastDecision)
	}
	p.lastDecision = now
	var liveRanks uint64
	for r := range g.Map.Shape.Ranks {
		if g.Load.Live(r) {
			liveRanks |= 1 << r
		}
	}
	if liveRanks != p.liveRanks {
		// Gains under another set of ranks say nothing of the future.
		p.trials, p.liveRanks = p.trials[:0], liveRanks
	}
	p.remaining *= trialDecay
	p.predicted *= trialDecay
	for _, t := range p.trials {
		p.remaining += w.layerTime(g, t.layer, t.before) - w.layerTime(g, t.layer, t.after)
		p.predicted += t.predicted
	}
	p.trials = p.trials[:0]
}

// layerTime returns the time of layer l under the present load if it had these slots.
func (w *layerState) layerTime(g *Group, l int, slots []Expert) float64 {
	w.loadSlots(slots, g.Map.Shape, &g.Load, l)
	_, t := w.slowest()

	return t
}

// addTrial takes in a layer's change.
func (p *gainTracker) addTrial(l int, before, after []Expert, predicted float64) {
	p.trials = append(p.trials, trial{layer: l, before: append([]Expert(nil), before...), after: after, predicted: predicted})
}

// horizon returns for how long, in seconds, a predicted gain counts: where a
// part q of it is left one interval later, when the change first shows, q*q
// after two and so on, for interval*q/(1-q); never longer than popularity lasts.
func (p *gainTracker) horizon(popularityDecay time.Duration) float64 {
	maxHorizon := max(popularityDecay.Seconds(), epsilon)
	if p.interval <= 0 {
		return maxHorizon
	}
	interval := p.interval.Seconds()
	expected := math.Exp(-interval / maxHorizon)
	remaining := min(expected, max(minRemaining, (p.remaining+priorWeight*expected)/(p.predicted+priorWeight)))

	return min(maxHorizon, interval*remaining/(1-remaining))
}
