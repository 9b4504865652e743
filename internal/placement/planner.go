package placement

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Planner decides whether a group's map changes. Set the exported fields before
// the first Decide. One goroutine uses a Planner, for one group: it looks back
// on what its former decisions gained. A new Planner only has to learn that anew.
type Planner struct {
	// ExpertBytes is the size of one expert's weights in one layer.
	ExpertBytes int64
	// StoreRate is the group's share of the weight store, in bytes a second.
	StoreRate float64
	// RankRate is what one rank can fetch, in bytes a second.
	RankRate float64
	// Slowdown is the fraction by which steps take longer while ranks fetch.
	Slowdown float64
	// StorePrice is what else the store's rate is worth: the part of the group's
	// working time that may be spent for all of the group's share of the rate.
	// It stands for the other groups and the loads of models that share it.
	StorePrice float64
	// SwitchPause is what the switch itself costs the group.
	SwitchPause time.Duration
	// ExpertFraction is the part of a balanced step that expert layers take.
	ExpertFraction float64

	layer   layerState
	scratch scratch
	results []result
	// changeGains looks back on single changes, packed on layers packed from scratch.
	changeGains, packGains gainTracker
	// horizon is how long gains count in the present decision, in seconds.
	horizon float64
	packing packScratch
	// slotsSuffice says that the live ranks have slots for all experts; packing without
	// would leave out those that only a rank that is out can hold.
	slotsSuffice bool
	// nextPackLayer is the first layer that the next decision tries to pack.
	nextPackLayer int
}

// packLayersPerDecision is how many layers a decision tries to pack from scratch, in turn.
// Packing finds what single changes cannot, but takes as long as the whole search.
const packLayersPerDecision = 2

// Group is what a decision is made from.
type Group struct {
	Map  *Map
	Load Load
	// PopularityDecay is how long the popularity is expected to stay as it is: after Life,
	// 1/e of a gain made now is left.
	PopularityDecay time.Duration
}

// Reason says what led to a decision.
type Reason uint8

// The reasons of a decision.
const (
	// ReasonBalanced: no change gains anything.
	ReasonBalanced Reason = iota
	// ReasonCost: what could be gained does not cover its cost.
	ReasonCost
	// ReasonGain: the change saves more than it costs.
	ReasonGain
	// ReasonRepair: ranks that are out held experts that no live rank held.
	ReasonRepair
)

// String returns the reason's name.
func (r Reason) String() string {
	return [...]string{"Balanced", "Cost", "Gain", "Repair"}[r]
}

// Decision is the outcome of Decide. Map is nil where the present one stays.
type Decision struct {
	Map    *Map
	Moves  []Move
	Reason Reason
	// Saved and Cost are the group's working time saved over the expected life
	// of the map, and lost to fetching and switching. Of these, a repair's cost is always paid.
	Saved, Cost time.Duration
	// Transfer is how long the fetching takes.
	Transfer time.Duration
	// Bytes is what is fetched from the weight store.
	Bytes int64
	// Before and After are the step times under the present and the new map.
	Before, After StepTime
	// InsufficientSlots says that too few slots are left for all experts on live ranks.
	InsufficientSlots bool
}

// LoadError says that a Group's parts do not belong together.
type LoadError struct {
	What      string
	Got, Want int
}

// Error implements error.
func (e *LoadError) Error() string {
	return fmt.Sprintf("%s: got %d values, want %d", e.What, e.Got, e.Want)
}

// ValueError says that a measured value is negative or no finite number.
type ValueError struct {
	What  string
	Index int
}

// Error implements error.
func (e *ValueError) Error() string {
	return fmt.Sprintf("%s: value %d is no usable number", e.What, e.Index)
}

// result is what the search found for one layer.
type result struct {
	Layer int
	// Saved is the layer time saved by single changes, and Value what all
	// changes are worth, in seconds.
	Saved, Value float64
	Copies       int
	// RepairCopies copies repair the layer and are not weighed.
	RepairCopies int
	slots        []Expert
	// beforeLast are the slots without the last change, and Last what that saved.
	beforeLast []Expert
	LastGain   float64
}

// perCopy is the time saved for each copy.
func (x *result) perCopy() float64 {
	return x.Value / math.Max(noFetchCopies, float64(x.Copies))
}

// Decide weighs the group's present map against what a local search finds from
// it. The error is a *ShapeError, *MapError, *LoadError or *ValueError.
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

// validateValues refuses values with which every comparison of the search would be false.
func validateValues(name string, values []float64) error {
	for i, v := range values {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return &ValueError{What: name, Index: i}
		}
	}

	return nil
}

// prices turns layer time and copies into seconds of the group's working time.
func (p *Planner) prices(g *Group, current StepTime) prices {
	step := p.ExpertFraction*current.Slowest + (1-p.ExpertFraction)*current.Ideal
	perLayer := p.ExpertFraction / float64(g.Map.Shape.Layers) / math.Max(step, epsilon)
	fetch := float64(p.ExpertBytes) / p.StoreRate
	// All gains wait for the last copy, so each copy costs the gain of its own
	// fetching time: half of what is in reach, as gains shrink along the way.
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

// packLayer weighs packing the layer from scratch against what the search found.
// What packing gains beyond the search counts for as long as such gains were
// seen to last, whether or not they were taken.
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
