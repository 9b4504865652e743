package placement

import (
	"math"
	"slices"
	"time"
)

// chooseChanges selects layers in order of value per copy, as many as give the
// highest total net gain, and fills in d.
func (p *Planner) chooseChanges(g *Group, repairCopies int, d *Decision) {
	sortByGain(p.results)
	saved, copies := 0.0, repairCopies
	bestNet, bestSaved, selected := 0.0, 0.0, 0
	for i := range p.results {
		x := &p.results[i]
		saved += x.Value
		copies += x.Copies
		net := saved*p.discount(copies) - p.cost(copies)
		if net > bestNet {
			bestNet, bestSaved, selected = net, saved, i+1
		}
	}
	if selected == 0 && repairCopies == 0 {
		if len(p.results) > 0 {
			d.Reason = ReasonCost
		}

		return
	}
	p.buildDecision(g, selected, repairCopies, bestSaved, d)
}

// discount returns the fraction of a gain that remains after waiting for the
// copies.
func (p *Planner) discount(copies int) float64 {
	return math.Exp(-p.fetchTime(copies) / math.Max(p.horizon, epsilon))
}

// fetchTime returns the time to fetch the copies from the weight store, in
// seconds.
func (p *Planner) fetchTime(copies int) float64 {
	return float64(copies) * float64(p.ExpertBytes) / p.StoreRate
}

// transferTime returns the time until the last of the scheduled moves ends.
func (p *Planner) transferTime(moves []Move) time.Duration {
	var longest time.Duration
	var start time.Time
	for _, t := range Schedule(moves, p.ExpertBytes, p.Rates(), start) {
		longest = max(longest, t.End.Sub(start))
	}

	return longest
}

// Rates returns the rate limits for Schedule.
func (p *Planner) Rates() Rates { return Rates{Store: p.StoreRate, Rank: p.RankRate} }

// cost returns the working time lost to fetching and switching, in seconds.
func (p *Planner) cost(copies int) float64 {
	return p.fetchTime(copies)*(p.Slowdown+p.StorePrice) + p.SwitchPause.Seconds()
}

// buildDecision builds the new map from all repairs and the first selected
// results, which save bestSaved seconds. The scheduled transfer can take longer
// than the store rate implies if one rank has many copies to fetch; a gain that
// does not cover this is abandoned.
func (p *Planner) buildDecision(g *Group, selected, repairCopies int, bestSaved float64, d *Decision) {
	m := p.assemble(g, selected)
	moves := Moves(g.Map, m)
	transfer := p.transferTime(moves)
	saved := seconds(bestSaved * math.Exp(-transfer.Seconds()/math.Max(p.horizon, epsilon)))
	cost := seconds(transfer.Seconds()*p.Slowdown+p.fetchTime(len(moves))*p.StorePrice) + p.SwitchPause
	if repairCopies == 0 && saved <= cost {
		d.Reason = ReasonCost

		return
	}

	p.recordTrials(selected)
	d.Map, d.Moves, d.Reason = m, moves, ReasonGain
	if repairCopies > 0 {
		d.Reason = ReasonRepair
	}
	d.After = Evaluate(m, &g.Load)
	d.Bytes = int64(len(moves)) * p.ExpertBytes
	d.Transfer, d.Saved, d.Cost = transfer, saved, cost
}

// recordTrials records the last selected changes for evaluation at the next
// decision. These changes have the lowest gain per copy, so how much of their
// gain remains shows where to stop.
func (p *Planner) recordTrials(selected int) {
	for i := max(0, selected-trialsPerDecision); i < selected; i++ {
		if x := &p.results[i]; x.Saved > 0 && x.RepairCopies == 0 {
			p.changeGains.addTrial(x.Layer, x.beforeLast, x.slots, x.LastGain)
		}
	}
}

// assemble returns the current map with the first selected results and all
// repairs applied.
func (p *Planner) assemble(g *Group, selected int) *Map {
	m := g.Map.Clone()
	for i := range p.results {
		x := &p.results[i]
		if i < selected {
			copy(m.Layer(x.Layer), x.slots)
		} else if x.RepairCopies > 0 {
			p.layer.loadLayer(g.Map, &g.Load, x.Layer)
			p.layer.repair()
			copy(m.Layer(x.Layer), p.layer.slots)
		}
	}

	return m
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sortByGain sorts layer results by value per copy, highest first, and equal
// ones by layer number, so that decisions do not depend on the sort algorithm.
func sortByGain(results []result) {
	slices.SortFunc(results, func(a, b result) int {
		x, y := a.perCopy(), b.perCopy()
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return a.Layer - b.Layer
		}
	})
}
