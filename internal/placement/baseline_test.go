package placement

import (
	"math"
	"math/bits"
	"slices"
)

// BaselinePlanner is the first version of the planner, kept as a baseline for
// benchmarks. It tries all ranks as receivers, counts gains over the whole
// popularity decay, and ignores volatility and packing from scratch.
type BaselinePlanner struct {
	Planner
}

// baselineMaxChangesWithoutGain is the number of changes that the first version
// allowed without a better net gain.
const baselineMaxChangesWithoutGain = 8

// baselineLayer adds the first version's search to a layerState.
type baselineLayer struct {
	layerState
}

// Decide returns the first version's map for g, or nil if the current one
// stays.
func (p *BaselinePlanner) Decide(g *Group) *Map {
	withoutVolatility := *g
	withoutVolatility.Load.Volatility = 0
	p.horizon = max(g.PopularityDecay.Seconds(), epsilon)
	pr := p.prices(&withoutVolatility, Evaluate(g.Map, &withoutVolatility.Load))
	p.results = p.results[:0]
	repairCopies := 0
	for l := range g.Map.Shape.Layers {
		w := &baselineLayer{}
		w.loadLayer(g.Map, &withoutVolatility.Load, l)
		x := result{Layer: l, RepairCopies: w.repair()}
		x.Saved, x.Copies = w.baselineImprove(pr, &p.scratch)
		if x.Saved > 0 || !slices.Equal(w.slots, g.Map.Layer(l)) {
			x.Value, x.slots = x.Saved*pr.LayerTime, w.slots
			x.Saved = 0 // so that no trials are recorded
			p.results = append(p.results, x)
			repairCopies += x.RepairCopies
		}
	}
	var d Decision
	p.chooseChanges(&withoutVolatility, repairCopies, &d)

	return d.Map
}

// baselineImprove changes w while that pays, and returns the time saved and the
// copies fetched. It repeatedly applies the best change for the slowest rank
// and then keeps the prefix of changes with the highest net gain. This relieves
// several equally slow ranks one after another, although relieving only one of
// them gains nothing.
func (w *baselineLayer) baselineImprove(p prices, s *scratch) (saved float64, copies int) {
	_, before := w.slowest()
	if (before-w.idealTime())*p.LayerTime <= p.Copy {
		return 0, 0
	}

	s.old = append(s.old[:0], w.slots...)
	s.best = append(s.best[:0], w.slots...)
	bestNet, changesSinceBest := 0.0, 0
	for range maxChanges {
		c := w.baselineChange()
		if c.Kind == changeNone {
			break
		}
		w.apply(c)
		_, after := w.slowest()
		n := w.copiesFrom(s.old)
		changesSinceBest++
		if v := (before-after)*p.LayerTime - float64(n)*p.Copy; v > bestNet+epsilon {
			bestNet, changesSinceBest = v, 0
			saved, copies = before-after, n
			s.best = append(s.best[:0], w.slots...)
		}
		if changesSinceBest > baselineMaxChangesWithoutGain {
			break
		}
	}
	w.slots = append(w.slots[:0], s.best...)

	return saved, copies
}

// baselineChange returns the change that takes the most time off the slowest
// rank per copy, without making any other rank as slow.
func (w *baselineLayer) baselineChange() change {
	rank, slowestTime := w.slowest()
	best := change{Score: epsilon}
	for i := rank * w.slotsPerRank; i < (rank+1)*w.slotsPerRank; i++ {
		if w.slots[i] == None {
			continue
		}
		w.baselineDrop(i, rank, slowestTime, &best)
		for r := range w.ranks {
			if r == rank || w.liveRanks&(1<<r) == 0 || w.rankTime(r, 0, 0) >= slowestTime {
				continue
			}
			w.baselineRank(i, rank, r, slowestTime, &best)
		}
	}

	return best
}

// baselineConsider keeps c if it is better than best. newTime is the time of
// the slowest rank that c touches.
func (w *baselineLayer) baselineConsider(c change, slowestTime, newTime, copies float64, best *change) {
	gain := slowestTime - math.Max(newTime, w.idealTime())
	if c.Score = gain / copies; c.Score > best.Score {
		*best = c
	}
}

func (w *baselineLayer) baselineDrop(i, rank int, slowestTime float64, best *change) {
	e := w.slots[i]
	n := replicas(w.holders[e])
	if n < 2 {
		return
	}
	lost := w.tokens[e] / float64(n)
	newTime := w.rankTime(rank, -lost, 0)
	newTime = w.baselineMaxRankTime(w.holders[e]&^(1<<rank), lost/float64(n-1), newTime)
	w.baselineConsider(change{Kind: changeDrop, From: i}, slowestTime, newTime, noFetchCopies, best)
}

// baselineRank tries every change between slot i of the slowest rank and the
// slots of rank r.
func (w *baselineLayer) baselineRank(i, rank, r int, slowestTime float64, best *change) {
	a := w.slots[i]
	n := replicas(w.holders[a])
	share := w.tokens[a] / float64(n)
	shareIfReplicated := w.tokens[a] / float64(n+1)
	held := w.holders[a]&(1<<r) != 0
	for j := r * w.slotsPerRank; j < (r+1)*w.slotsPerRank; j++ {
		b := w.slots[j]
		freedShare, otherHolders := 0.0, uint64(0)
		extraPerHolder := 0.0
		if b != None {
			k := replicas(w.holders[b])
			freedShare = w.tokens[b] / float64(k)
			if w.holders[b]&(1<<rank) == 0 && !held {
				newTime := math.Max(w.rankTime(rank, freedShare-share, 0), w.rankTime(r, share-freedShare, 0))
				w.baselineConsider(change{Kind: changeSwap, From: i, To: j}, slowestTime, newTime, 2, best)
			}
			if k < 2 {
				continue
			}
			otherHolders = w.holders[b] &^ (1 << r)
			extraPerHolder = freedShare / float64(k-1)
		}
		if held {
			continue
		}
		w.baselineCopy(baselineCandidate{From: i, To: j, Rank: rank, Receiver: r, Share: share, ShareIfReplicated: shareIfReplicated, FreedShare: freedShare, OtherHolders: otherHolders, ExtraPerHolder: extraPerHolder}, slowestTime, best)
	}
}

// baselineCandidate describes fetching the expert of slot From into slot To,
// which is empty or holds a replica that can be dropped.
type baselineCandidate struct {
	From, To, Rank, Receiver int
	// Share and ShareIfReplicated are the expert's work on each of its holders
	// before and after adding a replica.
	Share, ShareIfReplicated float64
	// FreedShare is the work of the expert now in slot To, ExtraPerHolder what
	// dropping that replica adds to each of OtherHolders.
	FreedShare     float64
	OtherHolders   uint64
	ExtraPerHolder float64
}

// baselineCopy tries the fetch as an additional replica and as a move.
func (w *baselineLayer) baselineCopy(t baselineCandidate, slowestTime float64, best *change) {
	extra := func(r int) float64 {
		if t.OtherHolders&(1<<r) != 0 {
			return t.ExtraPerHolder
		}

		return 0
	}
	onRank := extra(t.Rank)

	moved := math.Max(w.rankTime(t.Rank, onRank-t.Share, 0), w.rankTime(t.Receiver, t.Share-t.FreedShare, 0))
	if (slowestTime - moved) > best.Score {
		moved = w.baselineMaxRankTime(t.OtherHolders&^(1<<t.Rank), t.ExtraPerHolder, moved)
		w.baselineConsider(change{Kind: changeMove, From: t.From, To: t.To}, slowestTime, moved, 1, best)
	}

	copied := math.Max(w.rankTime(t.Rank, onRank-t.Share+t.ShareIfReplicated, 0), w.rankTime(t.Receiver, t.ShareIfReplicated-t.FreedShare, 0))
	if (slowestTime - copied) > best.Score {
		copied = w.baselineMaxRankTime(t.OtherHolders&^(1<<t.Rank), t.ExtraPerHolder, copied)
		w.baselineConsider(change{Kind: changeReplicate, From: t.From, To: t.To}, slowestTime, copied, 1, best)
	}
}

// baselineMaxRankTime returns the longest time of the given ranks with extra
// work each, or floor if that is longer.
func (w *baselineLayer) baselineMaxRankTime(ranks uint64, extra, floor float64) float64 {
	for ; ranks != 0; ranks &= ranks - 1 {
		floor = math.Max(floor, w.rankTime(bits.TrailingZeros64(ranks), extra, 0))
	}

	return floor
}
