package placement

import (
	"math"
	"math/bits"
	"slices"
)

// Bounds of the search within one layer.
const (
	// maxChanges bounds the changes tried on one layer in one decision.
	maxChanges = 48
	// patience is how many changes may pass without a better net gain.
	patience = 8
	// freeCost stands for the copies of a change that fetches nothing, so that
	// gains per copy stay finite.
	freeCost = 0.25
	// noise is the smallest gain that counts, against rounding.
	noise = 1e-9
)

// changeKind says how a change relieves the slowest rank.
type changeKind uint8

const (
	changeNone changeKind = iota
	// changeDrop drops a replica from the slowest rank.
	changeDrop
	// changeReplicate adds a replica of the slowest rank's expert elsewhere.
	changeReplicate
	// changeMove moves the slowest rank's expert elsewhere.
	changeMove
	// changeSwap exchanges an expert of the slowest rank for another rank's.
	changeSwap
)

// change is one step of the local search: slot From is on the slowest rank, To on another.
type change struct {
	Kind     changeKind
	From, To int
	// Score is the time taken off the slowest rank for each copy fetched.
	Score float64
}

// price says what a layer's time is worth.
type price struct {
	// Gain is the seconds saved over the map's life for each unit of layer time.
	Gain float64
	// Copy is the seconds lost for each copy fetched.
	Copy float64
}

// improve changes w while that pays, and returns the time saved and the copies
// fetched. It follows the best change for the slowest rank again and again and
// then keeps the prefix with the highest net gain, so that several equally slow
// ranks, of which each alone gains nothing, can be relieved one after another.
func (w *layer) improve(p price, s *scratch) (saved float64, copies int) {
	_, before := w.slowest()
	if (before-w.ideal())*p.Gain <= p.Copy {
		return 0, 0
	}

	s.old = append(s.old[:0], w.slots...)
	s.best = append(s.best[:0], w.slots...)
	net, since := 0.0, 0
	for range maxChanges {
		c := w.bestChange()
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
		if since > patience {
			break
		}
	}
	w.slots = append(w.slots[:0], s.best...)

	return saved, copies
}

// scratch is memory that improve reuses.
type scratch struct {
	old, best []Expert
}

// bestChange returns the change that takes most time off the slowest rank for
// each copy, without making any other rank as slow.
func (w *layer) bestChange() change {
	rank, most := w.slowest()
	best := change{Score: noise}
	for i := rank * w.slotsPerRank; i < (rank+1)*w.slotsPerRank; i++ {
		if w.slots[i] == None {
			continue
		}
		w.tryDrop(i, rank, most, &best)
		for r := range w.ranks {
			if r == rank || w.live&(1<<r) == 0 || w.at(r, 0) >= most {
				continue
			}
			w.tryRank(i, rank, r, most, &best)
		}
	}

	return best
}

// consider keeps c if it is better; reached is the slowest of the ranks that c touches.
func (w *layer) consider(c change, most, reached, copies float64, best *change) {
	gain := most - math.Max(reached, w.ideal())
	if c.Score = gain / copies; c.Score > best.Score {
		*best = c
	}
}

func (w *layer) tryDrop(i, rank int, most float64, best *change) {
	e := w.slots[i]
	n := replicas(w.holders[e])
	if n < 2 {
		return
	}
	lost := w.tokens[e] / float64(n)
	reached := w.at(rank, -lost)
	reached = w.worst(w.holders[e]&^(1<<rank), lost/float64(n-1), reached)
	w.consider(change{Kind: changeDrop, From: i}, most, reached, freeCost, best)
}

// tryRank tries every change between slot i of the slowest rank and the slots of rank r.
func (w *layer) tryRank(i, rank, r int, most float64, best *change) {
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
				reached := math.Max(w.at(rank, freed-share), w.at(r, share-freed))
				w.consider(change{Kind: changeSwap, From: i, To: j}, most, reached, 2, best)
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
		w.tryCopy(copyTry{From: i, To: j, Rank: rank, Other: r, Share: share, Next: next, Freed: freed, Others: others, PerOther: perOther}, most, best)
	}
}

// copyTry describes fetching the expert of slot From into slot To, over a
// replica that can be spared or into an empty slot.
type copyTry struct {
	From, To, Rank, Other int
	// Share and Next are the expert's work on each holder before and after one more replica.
	Share, Next float64
	// Freed is the work that To's former expert leaves, PerOther what it adds to each of Others.
	Freed    float64
	Others   uint64
	PerOther float64
}

// tryCopy tries the fetch as one more replica and as a move.
func (w *layer) tryCopy(t copyTry, most float64, best *change) {
	extra := func(r int) float64 {
		if t.Others&(1<<r) != 0 {
			return t.PerOther
		}

		return 0
	}
	onRank := extra(t.Rank)

	moved := math.Max(w.at(t.Rank, onRank-t.Share), w.at(t.Other, t.Share-t.Freed))
	if (most - moved) > best.Score {
		moved = w.worst(t.Others&^(1<<t.Rank), t.PerOther, moved)
		w.consider(change{Kind: changeMove, From: t.From, To: t.To}, most, moved, 1, best)
	}

	copied := math.Max(w.at(t.Rank, onRank-t.Share+t.Next), w.at(t.Other, t.Next-t.Freed))
	if (most - copied) > best.Score {
		copied = w.worst(t.Others&^(1<<t.Rank), t.PerOther, copied)
		w.consider(change{Kind: changeReplicate, From: t.From, To: t.To}, most, copied, 1, best)
	}
}

// worst returns the slowest of the given ranks with extra work each, or floor.
func (w *layer) worst(ranks uint64, extra, floor float64) float64 {
	for ; ranks != 0; ranks &= ranks - 1 {
		floor = math.Max(floor, w.at(bits.TrailingZeros64(ranks), extra))
	}

	return floor
}

func (w *layer) apply(c change) {
	a := w.slots[c.From]
	switch c.Kind {
	case changeDrop:
		w.put(c.From, None)
	case changeReplicate:
		w.put(c.To, a)
	case changeMove:
		w.put(c.To, a)
		w.put(c.From, None)
	case changeSwap:
		b := w.slots[c.To]
		w.put(c.From, None)
		w.put(c.To, a)
		w.put(c.From, b)
	case changeNone:
	}
}

// repair empties the slots of ranks that are out, once each of their experts
// has a replica on a live rank, and returns the copies that took. An expert
// for which no live slot can be spared stays where it is.
func (w *layer) repair() int {
	copies := 0
	for i, e := range w.slots {
		if r := i / w.slotsPerRank; e == None || w.live&(1<<r) != 0 {
			continue
		}
		if w.holders[e] == 0 {
			j, ok := w.spare(e)
			if !ok {
				continue
			}
			w.put(j, e)
			copies++
		}
		w.slots[i] = None
	}

	return copies
}

// spare returns the slot of a live rank that takes e with the least time.
func (w *layer) spare(e Expert) (int, bool) {
	slot, least := -1, math.Inf(1)
	for j, b := range w.slots {
		r := j / w.slotsPerRank
		if w.live&(1<<r) == 0 || (b != None && replicas(w.holders[b]) < 2) {
			continue
		}
		extra := w.tokens[e]
		if b != None {
			extra -= w.tokens[b] / float64(replicas(w.holders[b]))
		}
		if t := w.at(r, extra); t < least {
			slot, least = j, t
		}
	}

	return slot, slot >= 0
}

// fits reports whether the live ranks have slots for all experts.
func fits(s Shape, d *Load) bool {
	live := 0
	for r := range s.Ranks {
		if d.Live(r) {
			live++
		}
	}

	return live*s.SlotsPerRank >= s.Experts
}

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
