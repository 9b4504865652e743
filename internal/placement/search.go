package placement

import (
	"math/bits"
	"slices"
)

// Bounds of the search within one layer.
const (
	// maxChanges bounds the changes tried on one layer in one decision.
	maxChanges = 48
	// patience is how many changes may pass without a better net gain.
	patience = 4
	// freeCost stands for the copies of a change that fetches nothing, so that
	// gains per copy stay finite.
	freeCost = 0.25
	// maxReceivers is how many ranks are tried as receivers of the slowest rank's work.
	maxReceivers = 4
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
		c := w.bestChange(s)
		if c.Kind == changeNone {
			break
		}
		w.apply(c)
		_, now := w.slowest()
		n := w.copies(s.old)
		since++
		if v := (before-now)*p.Gain - float64(n)*p.Copy; v > net+noise {
			net, since = v, 0
			s.last = before - now - saved
			s.best, s.previous = s.previous, s.best
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
	// previous is the best prefix before best, and last what best saves more.
	previous  []Expert
	last      float64
	shares    []float64
	receivers []int
}

// view is what bestChange looks at: the slowest rank and the limits of its relief.
type view struct {
	rank  int
	most  float64
	ideal float64
	best  change
}

// bestChange returns the change that takes most time off the slowest rank for
// each copy, without making any other rank as slow. Only the ranks that finish
// first are tried as receivers.
func (w *layer) bestChange(s *scratch) change {
	rank, most := w.slowest()
	v := view{rank: rank, most: most, ideal: w.ideal(), best: change{Score: noise}}
	w.setShares(s)
	w.setReceivers(s, rank)
	for i := rank * w.slotsPerRank; i < (rank+1)*w.slotsPerRank; i++ {
		if w.slots[i] == None {
			continue
		}
		w.tryDrop(i, s, &v)
		for _, r := range s.receivers {
			w.tryRank(i, r, s, &v)
		}
	}

	return v.best
}

// setShares sets each expert's work on each of its holders.
func (w *layer) setShares(s *scratch) {
	s.shares = resize(s.shares, len(w.tokens))
	for e, h := range w.holders {
		if h != 0 {
			s.shares[e] = w.tokens[e] / float64(replicas(h))
		}
	}
}

// setReceivers sets the live ranks that finish first, without the slowest.
func (w *layer) setReceivers(s *scratch, slowest int) {
	s.receivers = s.receivers[:0]
	for r := range w.ranks {
		if r == slowest || w.live&(1<<r) == 0 {
			continue
		}
		t := w.at(r, 0, 0)
		i := len(s.receivers)
		for i > 0 && w.at(s.receivers[i-1], 0, 0) > t {
			i--
		}
		if i >= maxReceivers {
			continue
		}
		s.receivers = slices.Insert(s.receivers, i, r)
		s.receivers = s.receivers[:min(len(s.receivers), maxReceivers)]
	}
}

// beats reports whether a change that leaves its ranks at reached is better than the best.
func (v *view) beats(reached, copies float64) bool {
	return v.most-max(reached, v.ideal) > v.best.Score*copies
}

// take makes c the best change.
func (v *view) take(c change, reached, copies float64) {
	c.Score = (v.most - max(reached, v.ideal)) / copies
	v.best = c
}

func (w *layer) tryDrop(i int, s *scratch, v *view) {
	e := w.slots[i]
	n := replicas(w.holders[e])
	if n < 2 {
		return
	}
	lost := s.shares[e]
	more := lost * float64(n) / float64(n-1)
	reached := w.worst(w.holders[e]&^(1<<v.rank), more-lost, more*more-lost*lost, w.at(v.rank, -lost, -lost*lost))
	if v.beats(reached, freeCost) {
		v.take(change{Kind: changeDrop, From: i}, reached, freeCost)
	}
}

// tryRank tries every change between slot i of the slowest rank and the slots of rank r.
func (w *layer) tryRank(i, r int, s *scratch, v *view) {
	a := w.slots[i]
	if w.holders[a]&(1<<r) != 0 {
		return
	}
	t := try{From: i, Other: r, Share: s.shares[a]}
	n := float64(replicas(w.holders[a]))
	t.Next = t.Share * n / (n + 1)
	for j := r * w.slotsPerRank; j < (r+1)*w.slotsPerRank; j++ {
		t.To = j
		b := w.slots[j]
		if b == None {
			t.Freed, t.Others = 0, 0
			w.tryCopy(&t, v)

			continue
		}
		t.Freed = s.shares[b]
		if t.Freed >= t.Share {
			continue // the receiver would only hand work back
		}
		if w.holders[b]&(1<<v.rank) == 0 {
			w.trySwap(&t, v)
		}
		if k := replicas(w.holders[b]); k > 1 {
			t.Others, t.PerOther = w.holders[b]&^(1<<r), t.Freed/float64(k-1)
			t.Square = (t.Freed+t.PerOther)*(t.Freed+t.PerOther) - t.Freed*t.Freed
			w.tryCopy(&t, v)
		}
	}
}

// try describes fetching the expert of slot From into slot To of rank Other.
type try struct {
	From, To, Other int
	// Share and Next are the expert's work on each holder before and after one more replica.
	Share, Next float64
	// Freed is the work that To's former expert leaves, PerOther what it adds to each of Others.
	Freed    float64
	Others   uint64
	PerOther float64
	// Square is what PerOther adds to the spread of each of Others.
	Square float64
}

func (w *layer) trySwap(t *try, v *view) {
	d := t.Share - t.Freed
	square := t.Share*t.Share - t.Freed*t.Freed
	reached := max(w.at(v.rank, -d, -square), w.at(t.Other, d, square))
	if v.beats(reached, 2) {
		v.take(change{Kind: changeSwap, From: t.From, To: t.To}, reached, 2)
	}
}

// tryCopy tries the fetch into an empty slot, or over a replica that can be
// spared, as one more replica and as a move.
func (w *layer) tryCopy(t *try, v *view) {
	onRank, square := 0.0, 0.0
	if t.Others&(1<<v.rank) != 0 {
		onRank, square = t.PerOther, t.Square
	}
	share, next, freed := t.Share*t.Share, t.Next*t.Next, t.Freed*t.Freed
	moved := max(w.at(v.rank, onRank-t.Share, square-share), w.at(t.Other, t.Share-t.Freed, share-freed))
	copied := max(w.at(v.rank, onRank-t.Share+t.Next, square-share+next), w.at(t.Other, t.Next-t.Freed, next-freed))
	if !v.beats(min(moved, copied), 1) {
		return
	}
	others := w.worst(t.Others&^(1<<v.rank), t.PerOther, t.Square, 0)
	if moved = max(moved, others); v.beats(moved, 1) {
		v.take(change{Kind: changeMove, From: t.From, To: t.To}, moved, 1)
	}
	if copied = max(copied, others); v.beats(copied, 1) {
		v.take(change{Kind: changeReplicate, From: t.From, To: t.To}, copied, 1)
	}
}

// worst returns the slowest of the given ranks with extra work each, or floor.
func (w *layer) worst(ranks uint64, extra, square, floor float64) float64 {
	for ; ranks != 0; ranks &= ranks - 1 {
		floor = max(floor, w.at(bits.TrailingZeros64(ranks), extra, square))
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
