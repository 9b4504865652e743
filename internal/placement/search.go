package placement

import (
	"math/bits"
	"slices"
)

// Bounds of the search within one layer.
const (
	// maxChanges bounds the changes tried on one layer in one decision.
	maxChanges = 48
	// maxChangesWithoutGain is how many changes may pass without a better net gain.
	maxChangesWithoutGain = 4
	// noFetchCopies stands for the copies of a change that fetches nothing, so that
	// gains per copy stay finite.
	noFetchCopies = 0.25
	// maxReceivers is how many ranks are tried as receivers of the slowest rank's work.
	maxReceivers = 4
	// epsilon is the smallest gain that counts, against rounding.
	epsilon = 1e-9
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

// prices says what a layer's time is worth.
type prices struct {
	// LayerTime is the seconds saved over the map's life for each unit of layer time.
	LayerTime float64
	// Copy is the seconds lost for each copy fetched.
	Copy float64
}

// improve changes w while that pays, and returns the time saved and the copies
// fetched. It follows the best change for the slowest rank again and again and
// then keeps the prefix with the highest net gain, so that several equally slow
// ranks, of which each alone gains nothing, can be relieved one after another.
func (w *layerState) improve(p prices, s *scratch) (saved float64, copies int) {
	_, before := w.slowest()
	if (before-w.idealTime())*p.LayerTime <= p.Copy {
		return 0, 0
	}

	s.old = append(s.old[:0], w.slots...)
	s.best = append(s.best[:0], w.slots...)
	bestNet, changesSinceBest := 0.0, 0
	for range maxChanges {
		c := w.bestChange(s)
		if c.Kind == changeNone {
			break
		}
		w.apply(c)
		_, after := w.slowest()
		n := w.copiesFrom(s.old)
		changesSinceBest++
		if v := (before-after)*p.LayerTime - float64(n)*p.Copy; v > bestNet+epsilon {
			bestNet, changesSinceBest = v, 0
			s.lastGain = before - after - saved
			s.best, s.previousBest = s.previousBest, s.best
			saved, copies = before-after, n
			s.best = append(s.best[:0], w.slots...)
		}
		if changesSinceBest > maxChangesWithoutGain {
			break
		}
	}
	w.slots = append(w.slots[:0], s.best...)

	return saved, copies
}

// scratch is memory that improve reuses.
type scratch struct {
	old, best []Expert
	// previousBest is the best prefix before best, and last what best saves more.
	previousBest []Expert
	lastGain     float64
	shares       []float64
	receivers    []int
}

// changeSearch is what bestChange looks at: the slowest rank and the limits of its relief.
type changeSearch struct {
	slowest     int
	slowestTime float64
	idealTime   float64
	best        change
}

// bestChange returns the change that takes most time off the slowest rank for
// each copy, without making any other rank as slow. Only the ranks that finish
// first are tried as receivers.
func (w *layerState) bestChange(s *scratch) change {
	rank, slowestTime := w.slowest()
	v := changeSearch{slowest: rank, slowestTime: slowestTime, idealTime: w.idealTime(), best: change{Score: epsilon}}
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
func (w *layerState) setShares(s *scratch) {
	s.shares = resize(s.shares, len(w.tokens))
	for e, h := range w.holders {
		if h != 0 {
			s.shares[e] = w.tokens[e] / float64(replicas(h))
		}
	}
}

// setReceivers sets the live ranks that finish first, without the slowest.
func (w *layerState) setReceivers(s *scratch, slowest int) {
	s.receivers = s.receivers[:0]
	for r := range w.ranks {
		if r == slowest || w.liveRanks&(1<<r) == 0 {
			continue
		}
		t := w.rankTime(r, 0, 0)
		i := len(s.receivers)
		for i > 0 && w.rankTime(s.receivers[i-1], 0, 0) > t {
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
func (v *changeSearch) beats(newTime, copies float64) bool {
	return v.slowestTime-max(newTime, v.idealTime) > v.best.Score*copies
}

// setBest makes c the best change.
func (v *changeSearch) setBest(c change, newTime, copies float64) {
	c.Score = (v.slowestTime - max(newTime, v.idealTime)) / copies
	v.best = c
}

func (w *layerState) tryDrop(i int, s *scratch, v *changeSearch) {
	e := w.slots[i]
	n := replicas(w.holders[e])
	if n < 2 {
		return
	}
	lost := s.shares[e]
	more := lost * float64(n) / float64(n-1)
	newTime := w.maxRankTime(w.holders[e]&^(1<<v.slowest), more-lost, more*more-lost*lost, w.rankTime(v.slowest, -lost, -lost*lost))
	if v.beats(newTime, noFetchCopies) {
		v.setBest(change{Kind: changeDrop, From: i}, newTime, noFetchCopies)
	}
}

// tryRank tries every change between slot i of the slowest rank and the slots of rank r.
func (w *layerState) tryRank(i, r int, s *scratch, v *changeSearch) {
	a := w.slots[i]
	if w.holders[a]&(1<<r) != 0 {
		return
	}
	t := candidate{From: i, Receiver: r, Share: s.shares[a]}
	n := float64(replicas(w.holders[a]))
	t.ShareIfReplicated = t.Share * n / (n + 1)
	for j := r * w.slotsPerRank; j < (r+1)*w.slotsPerRank; j++ {
		t.To = j
		b := w.slots[j]
		if b == None {
			t.FreedShare, t.OtherHolders = 0, 0
			w.tryCopy(&t, v)

			continue
		}
		t.FreedShare = s.shares[b]
		if t.FreedShare >= t.Share {
			continue // the receiver would only hand work back
		}
		if w.holders[b]&(1<<v.slowest) == 0 {
			w.trySwap(&t, v)
		}
		if k := replicas(w.holders[b]); k > 1 {
			t.OtherHolders, t.ExtraPerHolder = w.holders[b]&^(1<<r), t.FreedShare/float64(k-1)
			t.ExtraSquares = (t.FreedShare+t.ExtraPerHolder)*(t.FreedShare+t.ExtraPerHolder) - t.FreedShare*t.FreedShare
			w.tryCopy(&t, v)
		}
	}
}

// candidate describes fetching the expert of slot From into slot To of rank Other.
type candidate struct {
	From, To, Receiver int
	// Share and Next are the expert's work on each holder before and after one more replica.
	Share, ShareIfReplicated float64
	// FreedShare is the work that To's former expert leaves, PerOther what it adds to each of Others.
	FreedShare     float64
	OtherHolders   uint64
	ExtraPerHolder float64
	// ExtraSquares is what PerOther adds to the spread of each of Others.
	ExtraSquares float64
}

func (w *layerState) trySwap(t *candidate, v *changeSearch) {
	d := t.Share - t.FreedShare
	square := t.Share*t.Share - t.FreedShare*t.FreedShare
	newTime := max(w.rankTime(v.slowest, -d, -square), w.rankTime(t.Receiver, d, square))
	if v.beats(newTime, 2) {
		v.setBest(change{Kind: changeSwap, From: t.From, To: t.To}, newTime, 2)
	}
}

// tryCopy tries the fetch into an empty slot, or over a replica that can be
// spared, as one more replica and as a move.
func (w *layerState) tryCopy(t *candidate, v *changeSearch) {
	onRank, square := 0.0, 0.0
	if t.OtherHolders&(1<<v.slowest) != 0 {
		onRank, square = t.ExtraPerHolder, t.ExtraSquares
	}
	share, next, freed := t.Share*t.Share, t.ShareIfReplicated*t.ShareIfReplicated, t.FreedShare*t.FreedShare
	moved := max(w.rankTime(v.slowest, onRank-t.Share, square-share), w.rankTime(t.Receiver, t.Share-t.FreedShare, share-freed))
	copied := max(w.rankTime(v.slowest, onRank-t.Share+t.ShareIfReplicated, square-share+next), w.rankTime(t.Receiver, t.ShareIfReplicated-t.FreedShare, next-freed))
	if !v.beats(min(moved, copied), 1) {
		return
	}
	others := w.maxRankTime(t.OtherHolders&^(1<<v.slowest), t.ExtraPerHolder, t.ExtraSquares, 0)
	if moved = max(moved, others); v.beats(moved, 1) {
		v.setBest(change{Kind: changeMove, From: t.From, To: t.To}, moved, 1)
	}
	if copied = max(copied, others); v.beats(copied, 1) {
		v.setBest(change{Kind: changeReplicate, From: t.From, To: t.To}, copied, 1)
	}
}

// maxRankTime returns the slowest of the given ranks with extra work each, or floor.
func (w *layerState) maxRankTime(ranks uint64, extra, extraSquares, floor float64) float64 {
	for ; ranks != 0; ranks &= ranks - 1 {
		floor = max(floor, w.rankTime(bits.TrailingZeros64(ranks), extra, extraSquares))
	}

	return floor
}

func (w *layerState) apply(c change) {
	a := w.slots[c.From]
	switch c.Kind {
	case changeDrop:
		w.setSlot(c.From, None)
	case changeReplicate:
		w.setSlot(c.To, a)
	case changeMove:
		w.setSlot(c.To, a)
		w.setSlot(c.From, None)
	case changeSwap:
		b := w.slots[c.To]
		w.setSlot(c.From, None)
		w.setSlot(c.To, a)
		w.setSlot(c.From, b)
	case changeNone:
	}
}
