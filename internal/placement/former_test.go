package placement

import (
	"math"
	"math/bits"
	"slices"
)

// Former is the first version of the planner, kept as a baseline: it tries all
// ranks as receivers, counts gains over the popularity's life, and knows neither
// swings nor packing.
type Former struct {
	Planner
}

// formerPatience is how many changes of the first version passed without a better net gain.
const formerPatience = 8

// formerLayer is a layer with the first version's search.
type formerLayer struct {
	layer
}

// Decide returns the first version's map for g, or nil.
func (p *Former) Decide(g *Group) *Map {
	calm := *g
	calm.Load.Volatility = 0
	p.horizon = max(g.PopularityDecay.Seconds(), noise)
	pr := p.price(&calm, Evaluate(g.Map, &calm.Load))
	p.results = p.results[:0]
	forced := 0
	for l := range g.Map.Shape.Layers {
		w := &formerLayer{}
		w.load(g.Map, &calm.Load, l)
		x := result{Layer: l, Forced: w.repair()}
		x.Saved, x.Copies = w.formerImprove(pr, &p.scratch)
		if x.Saved > 0 || !slices.Equal(w.slots, g.Map.Layer(l)) {
			x.Value, x.slots = x.Saved*pr.Gain, w.slots
			x.Saved = 0 // so that nothing is looked back on
			p.results = append(p.results, x)
			forced += x.Forced
		}
	}
	var d Decision
	p.choose(&calm, forced, &d)

	return d.Map
}

// formerImprove changes w while that pays, and returns the time saved and the copies
// fetched. It follows the best change for the slowest rank again and again and
// then keeps the prefix with the highest net gain, so that several equally slow
// ranks, of which each alone gains nothing, can be relieved one after another.
func (w *formerLayer) formerImprove(p price, s *scratch) (saved float64, copies int) {
	_, before := w.slowest()
	if (before-w.ideal())*p.Gain <= p.Copy {
		return 0, 0
	}

	s.old = append(s.old[:0], w.slots...)
	s.best = append(s.best[:0], w.slots...)
	net, since := 0.0, 0
	for range maxChanges {
		c := w.formerChange()
		if c.Kind == changeNone {
			break
		}
		w.apply(c)
		_, now := w.slowest()
		n := w.copies(s.old)
		since++
		if v := (before-now)*p.Gain - float64(n)*p.Copy; v > net+noise {
			net, since = v, 0
			saved, copies = before-now, n
			s.best = append(s.best[:0], w.slots...)
		}
		if since > formerPatience {
			break
		}
	}
	w.slots = append(w.slots[:0], s.best...)

	return saved, copies
}

// formerChange returns the change that takes most time off the slowest rank for
// each copy, without making any other rank as slow.
func (w *formerLayer) formerChange() change {
	rank, most := w.slowest()
	best := change{Score: noise}
	for i := rank * w.slotsPerRank; i < (rank+1)*w.slotsPerRank; i++ {
		if w.slots[i] == None {
			continue
		}
		w.formerDrop(i, rank, most, &best)
		for r := range w.ranks {
			if r == rank || w.live&(1<<r) == 0 || w.at(r, 0, 0) >= most {
				continue
			}
			w.formerRank(i, rank, r, most, &best)
		}
	}

	return best
}

// formerConsider keeps c if it is better; reached is the slowest of the ranks that c touches.
func (w *formerLayer) formerConsider(c change, most, reached, copies float64, best *change) {
	gain := most - math.Max(reached, w.ideal())
	if c.Score = gain / copies; c.Score > best.Score {
		*best = c
	}
}

func (w *formerLayer) formerDrop(i, rank int, most float64, best *change) {
	e := w.slots[i]
	n := replicas(w.holders[e])
	if n < 2 {
		return
	}
	lost := w.tokens[e] / float64(n)
	reached := w.at(rank, -lost, 0)
	reached = w.formerWorst(w.holders[e]&^(1<<rank), lost/float64(n-1), reached)
	w.formerConsider(change{Kind: changeDrop, From: i}, most, reached, freeCost, best)
}

// formerRank tries every change between slot i of the slowest rank and the slots of rank r.
func (w *formerLayer) formerRank(i, rank, r int, most float64, best *change) {
	a := w.slots[i]
	n := replicas(w.holders[a])
	share := w.tokens[a] / float64(n)
	next := w.tokens[a] / float64(n+1)
	held := w.holders[a]&(1<<r) != 0
	for j := r * w.slotsPerRank; j < (r+1)*w.slotsPerRank; j++ {
		b := w.slots[j]
		freed, others := 0.0, uint64(0)
		perOther := 0.0
		if b != None {
			k := replicas(w.holders[b])
			freed = w.tokens[b] / float64(k)
			if w.holders[b]&(1<<rank) == 0 && !held {
				reached := math.Max(w.at(rank, freed-share, 0), w.at(r, share-freed, 0))
				w.formerConsider(change{Kind: changeSwap, From: i, To: j}, most, reached, 2, best)
			}
			if k < 2 {
				continue
			}
			others = w.holders[b] &^ (1 << r)
			perOther = freed / float64(k-1)
		}
		if held {
			continue
		}
		w.formerCopy(formerTry{From: i, To: j, Rank: rank, Other: r, Share: share, Next: next, Freed: freed, Others: others, PerOther: perOther}, most, best)
	}
}

// formerTry describes fetching the expert of slot From into slot To, over a
// replica that can be spared or into an empty slot.
type formerTry struct {
	From, To, Rank, Other int
	// Share and Next are the expert's work on each holder before and after one more replica.
	Share, Next float64
	// Freed is the work that To's former expert leaves, PerOther what it adds to each of Others.
	Freed    float64
	Others   uint64
	PerOther float64
}

// formerCopy tries the fetch as one more replica and as a move.
func (w *formerLayer) formerCopy(t formerTry, most float64, best *change) {
	extra := func(r int) float64 {
		if t.Others&(1<<r) != 0 {
			return t.PerOther
		}

		return 0
	}
	onRank := extra(t.Rank)

	moved := math.Max(w.at(t.Rank, onRank-t.Share, 0), w.at(t.Other, t.Share-t.Freed, 0))
	if (most - moved) > best.Score {
		moved = w.formerWorst(t.Others&^(1<<t.Rank), t.PerOther, moved)
		w.formerConsider(change{Kind: changeMove, From: t.From, To: t.To}, most, moved, 1, best)
	}

	copied := math.Max(w.at(t.Rank, onRank-t.Share+t.Next, 0), w.at(t.Other, t.Next-t.Freed, 0))
	if (most - copied) > best.Score {
		copied = w.formerWorst(t.Others&^(1<<t.Rank), t.PerOther, copied)
		w.formerConsider(change{Kind: changeReplicate, From: t.From, To: t.To}, most, copied, 1, best)
	}
}

// formerWorst returns the slowest of the given ranks with extra work each, or floor.
func (w *formerLayer) formerWorst(ranks uint64, extra, floor float64) float64 {
	for ; ranks != 0; ranks &= ranks - 1 {
		floor = math.Max(floor, w.at(bits.TrailingZeros64(ranks), extra, 0))
	}

	return floor
}
