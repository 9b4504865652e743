package placement

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Planner decides whether to change a group's map. Set the exported fields
// before the first Decide. A Planner serves one group and is not safe for
// concurrent use: it measures what its previous decisions gained. A new Planner
// only has to measure that again.
type Planner struct {
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64
	// StoreRate is the group's share of the weight store's rate, in bytes per
	// second.
	StoreRate float64
	// RankRate is the rate at which one rank can fetch, in bytes per second.
	RankRate float64
	// Slowdown is the fraction by which steps take longer while ranks fetch.
	Slowdown float64
	// StorePrice is the cost of the store's rate to others: the fraction of the
	// group's working time that may be spent to use the group's full share of the
	// rate. It accounts for the other groups and the model loads that share the
	// store.
	StorePrice float64
	// SwitchPause is the working time that the group loses at each switch of
	// maps.
	SwitchPause time.Duration
	// ExpertFraction is the fraction of a balanced step's time spent in expert
	// layers.
	ExpertFraction float64

	layer   layerState
	scratch scratch
	results []result
	// changeGains measures the gains of single changes, packGains those of layers
	// packed from scratch.
	changeGains, packGains gainTracker
	// horizon is the time over which gains are counted in the current decision,
	// in seconds.
	horizon float64
	packing packScratch
	// slotsSuffice reports whether the live ranks have slots for all experts. If
	// not, packing would leave out experts that only an unavailable rank can
	// hold.
	slotsSuffice bool
	// nextPackLayer is the first layer that the next decision tries to pack.
	nextPackLayer int
}

// packLayersPerDecision is the number of layers that a decision tries to pack
// from scratch, in rotation. Packing finds improvements that single changes
// cannot, but takes as long as the whole search.
const packLayersPerDecision = 2

// Group is the input of a decision.
type Group struct {
	Map  *Map
	Load Load
	// PopularityDecay is the time constant with which the current popularity is
	// expected to change: after this time, 1/e of a gain made now remains.
	PopularityDecay time.Duration
}

// Reason is the reason for a decision.
type Reason uint8

// Reasons for decisions.
const (
	// ReasonBalanced means that no change gains anything.
	ReasonBalanced Reason = iota
	// ReasonCost means that the possible gain does not cover its cost.
	ReasonCost
	// ReasonGain means that the change saves more than it costs.
	ReasonGain
	// ReasonRepair means that some experts were held only by unavailable ranks.
	ReasonRepair
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"Balanced", "Cost", "Gain", "Repair"}[r]
}

// Decision is the result of Decide. Map is nil if the current map stays.
type Decision struct {
	Map    *Map
	Moves  []Move
	Reason Reason
	// Saved is the group's working time saved while the gain is expected to last,
	// Cost the working time lost to fetching and switching. A repair is made
	// whatever its cost.
	Saved, Cost time.Duration
	// Transfer is the duration of the fetches.
	Transfer time.Duration
	// Bytes is the number of bytes fetched from the weight store.
	Bytes int64
	// Before and After are the step times with the current and the new map.
	Before, After StepTime
	// InsufficientSlots reports that the live ranks have too few slots for all
	// experts.
	InsufficientSlots bool
}

// LoadError reports that the parts of a Group do not match in size.
type LoadError struct {
	What      string
	Got, Want int
}

// Error implements error.
func (e *LoadError) Error() string {
	return fmt.Sprintf("%s: got %d values, want %d", e.What, e.Got, e.Want)
}

// ValueError reports a measured value that is negative, infinite or not a
// number.
type ValueError struct {
	What  string
	Index int
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: value %d is negative, infinite or not a number", e.What, e.Index)
}

// result is the search's result for one layer.
type result struct {
	Layer int
	// Saved is the layer time saved by single changes, Value the worth of all
	// changes, in seconds.
	Saved, Value float64
	Copies       int
	// RepairCopies is the number of copies that repair the layer; they are made
	// whatever their cost.
	RepairCopies int
	slots        []Expert
	// beforeLast holds the slots without the last change, and LastGain is the
	// layer time that this change saved.
	beforeLast []Expert
	LastGain   float64
}

// perCopy returns the value per copy.
func (x *result) perCopy() float64 {
	return x.Value / math.Max(noFetchCopies, float64(x.Copies))
}

// Decide compares the group's current map with the best map that a local search
// finds from it. The error is a *ShapeError, *MapError, *LoadError or
// *ValueError.
func (p *Planner) Decide(now time.Time, g *Group) (Decision, error) {
	if err := validateGroup(g); err != nil {
		return Decision{}, err
	}

	p.changeGains.evaluateTrials(now, g, &p.layer)
	p.packGains.evaluateTrials(now, g, &p.layer)
	p.horizon = p.changeGains.horizon(g.PopularityDecay)
	before := Evaluate(g.Map, &g.Load)
	p.slotsSuffice = slotsSuffice(g.Map.Shape, &g.Load)
	d := Decision{Before: before, After: before, InsufficientSlots: !p.slotsSuffice}
	pr := p.prices(g, before)
	p.results = p.results[:0]
	repairCopies := 0
	for l := range g.Map.Shape.Layers {
		x, changed := p.searchLayer(g, l, pr)
		if changed {
			p.results = append(p.results, x)
			repairCopies += x.RepairCopies
		}
	}
	p.nextPackLayer = (p.nextPackLayer + packLayersPerDecision) % g.Map.Shape.Layers
	p.chooseChanges(g, repairCopies, &d)

	return d, nil
}

func validateGroup(g *Group) error {
	s := g.Map.Shape
	if err := g.Map.Validate(); err != nil {
		return err
	}
	if n := s.Layers * s.Experts; len(g.Load.Tokens) != n {
		return &LoadError{What: "Tokens", Got: len(g.Load.Tokens), Want: n}
	}
	if len(g.Load.Speed) != s.Ranks {
		return &LoadError{What: "Speed", Got: len(g.Load.Speed), Want: s.Ranks}
	}
	if err := validateValues("Tokens", g.Load.Tokens); err != nil {
		return err
	}

	return validateValues("Speed", g.Load.Speed)
}

// validateValues rejects values that would make every comparison of the search
// false.
func validateValues(name string, values []float64) error {
	for i, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return &ValueError{What: name, Index: i}
		}
	}

	return nil
}

// prices returns the worth of layer time and the cost of a copy, in seconds of
// the group's working time.
func (p *Planner) prices(g *Group, current StepTime) prices {
	step := p.ExpertFraction*current.Slowest + (1-p.ExpertFraction)*current.Ideal
	perLayer := p.ExpertFraction / float64(g.Map.Shape.Layers) / math.Max(step, epsilon)
	fetch := float64(p.ExpertBytes) / p.StoreRate
	// All gains wait for the last copy, so each copy costs the gain lost during
	// its own fetch. Half of the possible gain is counted, because gains shrink
	// as the search proceeds.
	wait := p.ExpertFraction * (current.Slowest - current.Ideal) / math.Max(step, epsilon) / 2

	return prices{
		LayerTime: perLayer * p.horizon,
		Copy:      fetch * (p.Slowdown + p.StorePrice + wait),
	}
}

// searchLayer improves layer l and reports whether its slots changed.
func (p *Planner) searchLayer(g *Group, l int, pr prices) (result, bool) {
	w := &p.layer
	w.loadLayer(g.Map, &g.Load, l)
	x := result{Layer: l, RepairCopies: w.repair()}
	x.Saved, x.Copies = w.improve(pr, &p.scratch)
	x.Value = x.Saved * pr.LayerTime
	if x.Saved > 0 {
		x.LastGain, x.beforeLast = p.scratch.lastGain, append([]Expert(nil), p.scratch.previousBest...)
	}
	if x.RepairCopies == 0 && p.slotsSuffice && (l-p.nextPackLayer+g.Map.Shape.Layers)%g.Map.Shape.Layers < packLayersPerDecision {
		p.packLayer(g, &x, pr)
	}
	if x.slots == nil && x.Saved == 0 && slices.Equal(w.slots, g.Map.Layer(l)) {
		return x, false
	}
	if x.slots == nil {
		x.slots = append([]Expert(nil), w.slots...)
	}

	return x, true
}

// packLayer compares packing the layer from scratch with the result of the
// search. The gain of packing beyond the search is counted for as long as such
// gains were measured to last, whether or not they were used.
func (p *Planner) packLayer(g *Group, x *result, pr prices) {
	w, old := &p.layer, g.Map.Layer(x.Layer)
	found := append([]Expert(nil), w.slots...)
	w.recount()
	_, before := w.slowest()
	w.pack(old, &p.packing)
	_, after := w.slowest()
	copies := w.copiesFrom(old)
	packed := append([]Expert(nil), w.slots...)
	w.slots = append(w.slots[:0], found...)
	if after >= before {
		return
	}
	p.packGains.addTrial(x.Layer, found, packed, before-after)
	value := x.Value + (before-after)*pr.LayerTime/p.horizon*p.packGains.horizon(g.PopularityDecay)
	if value-float64(copies)*pr.Copy > x.Value-float64(x.Copies)*pr.Copy {
		x.Value, x.Copies, x.slots, x.Saved = value, copies, packed, 0
	}
}
