package placement

import (
	"math"
	"slices"
	"time"
)

// choose takes the layers that gain most for each copy while the whole still
// gains by taking more, and fills in d.
func (p *Planner) choose(g *Group, forced int, d *Decision) {
	byGain(p.results)
	saved, copies := 0.0, forced
	bestNet, worth, taken := 0.0, 0.0, 0
	for i := range p.results {
		x := &p.results[i]
		saved += x.Value
		copies += x.Copies
		net := saved*p.discount(copies) - p.cost(copies)
		if net > bestNet {
			bestNet, worth, taken = net, saved, i+1
		}
	}
	if taken == 0 && forced == 0 {
		if len(p.results) > 0 {
			d.Reason = ReasonCost
		}

		return
	}
	p.build(g, taken, forced, worth, d)
}

// discount is the part of a gain that is left after waiting for the copies.
func (p *Planner) discount(copies int) float64 {
	return math.Exp(-p.fetchTime(copies) / math.Max(p.horizon, noise))
}

// fetchTime is how long the store takes for the copies, in seconds.
func (p *Planner) fetchTime(copies int) float64 {
	return float64(copies) * float64(p.ExpertBytes) / p.StoreRate
}

// transferTime is how long the scheduled moves take.
func (p *Planner) transferTime(moves []Move) time.Duration {
	var last time.Duration
	var start time.Time
	for _, t := range Schedule(moves, p.ExpertBytes, p.Rates(), start) {
		last = max(last, t.End.Sub(start))
	}

	return last
}

// Rates returns what Schedule is to keep to.
func (p *Planner) Rates() Rates { return Rates{Store: p.StoreRate, Rank: p.RankRate} }

// cost is the working time lost to fetching and switching, in seconds.
func (p *Planner) cost(copies int) float64 {
	return p.fetchTime(copies)*(p.Slowdown+p.StorePrice) + p.SwitchPause.Seconds()
}

// build makes the new map of the first taken results, worth so many seconds,
// and of all repairs. The scheduled transfer may take longer than the store's
// rate alone tells, where one rank has most to fetch; a gain that does not
// cover that is given up.
func (p *Planner) build(g *Group, taken, forced int, worth float64, d *Decision) {
	m := p.assemble(g, taken)
	moves := Moves(g.Map, m)
	transfer := p.transferTime(moves)
	saved := seconds(worth * math.Exp(-transfer.Seconds()/math.Max(p.horizon, noise)))
	cost := seconds(transfer.Seconds()*p.Slowdown+p.fetchTime(len(moves))*p.StorePrice) + p.SwitchPause
	if forced == 0 && saved <= cost {
		d.Reason = ReasonCost

		return
	}

	p.learn(taken)
	d.Map, d.Moves, d.Reason = m, moves, ReasonGain
	if forced > 0 {
		d.Reason = ReasonRepair
	}
	d.After = Evaluate(m, &g.Load)
	d.Bytes = int64(len(moves)) * p.ExpertBytes
	d.Transfer, d.Saved, d.Cost = transfer, saved, cost
}

// learn remembers the last changes taken. They were worth least: what is left
// of their gain says where to stop.
func (p *Planner) learn(taken int) {
	for i := max(0, taken-trialsEach); i < taken; i++ {
		if x := &p.results[i]; x.Saved > 0 && x.Forced == 0 {
			p.past.remember(x.Layer, x.previous, x.slots, x.Last)
		}
	}
}

// assemble returns the present map with the first taken results and all repairs.
func (p *Planner) assemble(g *Group, taken int) *Map {
	m := g.Map.Clone()
	for i := range p.results {
		x := &p.results[i]
		if i < taken {
			copy(m.Layer(x.Layer), x.slots)
		} else if x.Forced > 0 {
			p.work.load(g.Map, &g.Load, x.Layer)
			p.work.repair()
			copy(m.Layer(x.Layer), p.work.slots)
		}
	}

	return m
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// byGain orders layer results by time saved for each copy, best first, and by
// layer where that is equal, so that decisions do not depend on sorting.
func byGain(results []result) {
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
