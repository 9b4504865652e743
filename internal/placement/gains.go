package placement

import (
	"math"
	"time"
)

// Parameters of the evaluation of past changes.
const (
	// trialsPerDecision is the maximum number of layers per decision whose
	// changes are evaluated later.
	trialsPerDecision = 64
	// trialDecay is the factor applied to earlier observations at each decision.
	trialDecay = 0.9
	// minRemaining is the lower bound of the fraction of a gain that is assumed
	// to remain. Without it, a planner whose gains failed once would never try
	// again, and the group would keep a bad map.
	minRemaining = 0.25
	// priorWeight is the weight of the initial estimate, which assumes that gains
	// shrink only with the decay of popularity. Its unit is layer time, as that
	// of the observed gains.
	priorWeight = 0.005
)

// gainTracker measures how much of a predicted gain remains one decision later.
//
// The search selects what looks best in noisy estimates, so its actual gains
// are smaller than predicted, and changes on other ranks soon cancel a small
// gain on the slowest rank. The next decision can make up for a change that was
// not made, so waiting costs only the gain of one interval. The decay of
// popularity accounts for neither effect: a planner that counts gains over that
// time follows noise and moves weights back and forth.
type gainTracker struct {
	trials []trial
	// remaining and predicted are the decayed sums of the gains that remained and
	// the gains that were predicted.
	remaining, predicted float64
	lastDecision         time.Time
	interval             time.Duration
	liveRanks            uint64
}

// trial is a changed layer: its slots before and after, and the predicted gain.
type trial struct {
	layer         int
	before, after []Expert
	predicted     float64
}

// evaluateTrials measures what the last decision's changes gain under the
// current load.
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
		// Gains with a different set of live ranks do not predict future gains.
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

// layerTime returns the time that layer l would take under the current load
// with these slots.
func (w *layerState) layerTime(g *Group, l int, slots []Expert) float64 {
	w.loadSlots(slots, g.Map.Shape, &g.Load, l)
	_, t := w.slowest()

	return t
}

// addTrial records a layer's change for evaluation at the next decision.
func (p *gainTracker) addTrial(l int, before, after []Expert, predicted float64) {
	p.trials = append(p.trials, trial{layer: l, before: append([]Expert(nil), before...), after: after, predicted: predicted})
}

// horizon returns the time, in seconds, over which a predicted gain is counted.
// If a fraction q of the gain remains after one interval, when the change first
// takes effect, q*q after two and so on, that time is interval*q/(1-q). It
// never exceeds the decay of popularity.
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
