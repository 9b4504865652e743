package placement

import (
	"math/bits"
	"slices"
)

// Limits of the search within one layer.
const (
	// maxChanges is the maximum number of changes tried on one layer per
	// decision.
	maxChanges = 48
	// maxChangesWithoutGain is the number of changes after the best net gain
	// beyond which the search stops.
	maxChangesWithoutGain = 4
	// noFetchCopies is the number of copies counted for a change that fetches
	// nothing, so that the gain per copy stays finite.
	noFetchCopies = 0.25
	// maxReceivers is the number of ranks tried as receivers of the slowest
	// rank's work.
	maxReceivers = 4
	// epsilon is the smallest gain that counts; smaller ones may be rounding
	// errors.
	epsilon = 1e-9
)

// changeKind is the way in which a change relieves the slowest rank.
type changeKind uint8

const (
	changeNone changeKind = iota
	// changeDrop drops a replica from the slowest rank.
	changeDrop
	// changeReplicate adds a replica of one of the slowest rank's experts to
	// another rank.
	changeReplicate
	// changeMove moves one of the slowest rank's experts to another rank.
	changeMove
	// changeSwap exchanges an expert of the slowest rank with one of another
	// rank.
	changeSwap
)

// change is one step of the local search. Slot From is on the slowest rank,
// slot To on another.
type change struct {
	Kind     changeKind
	From, To int
	// Score is the time taken off the slowest rank per copy fetched.
	Score float64
}

// prices converts layer time and copies to seconds of the group's working time.
type prices struct {
	// LayerTime is the number of seconds saved over the gain horizon per unit of
	// layer time.
	LayerTime float64
	// Copy is the number of seconds lost per copy fetched.
	Copy float64
}

// improve changes w while that pays, and returns the time saved and the copies
// fetched. It repeatedly applies the best change for the slowest rank and then
// keeps the prefix of changes with the highest net gain. This relieves several
// equally slow ranks one after another, although relieving only one of them
// gains nothing.
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

// scratch holds buffers that improve reuses.
type scratch struct {
	old, best []Expert
	// previousBest holds the slots of the best prefix before best, and lastGain
	// is the additional time that best saves.
	previousBest []Expert
	lastGain     float64
	shares       []float64
	receivers    []int
}

// changeSearch is the state of bestChange: the slowest rank and its time, the
// lower bound of that time, and the best change found.
type changeSearch struct {
	slowest     int
	slowestTime float64
	idealTime   float64
	best        change
}

// bestChange returns the change that takes the most time off the slowest rank
// per copy, without making any other rank as slow. Only the ranks that finish
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

// setReceivers sets the receivers: up to maxReceivers live ranks that finish
// first, except the slowest rank.
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

// improves reports whether a change that brings the time of the slowest rank it
// touches to newTime is better than the best one.
func (v *changeSearch) improves(newTime, copies float64) bool {
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
	if v.improves(newTime, noFetchCopies) {
		v.setBest(change{Kind: changeDrop, From: i}, newTime, noFetchCopies)
	}
}

// tryRank tries every change between slot i of the slowest rank and the slots
// of rank r.
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
			continue // the slowest rank would get back at least as much work
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

// candidate describes fetching the expert of slot From into slot To of rank
// Receiver.
type candidate struct {
	From, To, Receiver int
	// Share and ShareIfReplicated are the expert's work on each of its holders
	// before and after adding a replica.
	Share, ShareIfReplicated float64
	// FreedShare is the work of the expert now in slot To, ExtraPerHolder what
	// dropping that replica adds to each of OtherHolders.
	FreedShare     float64
	OtherHolders   uint64
	ExtraPerHolder float64
	// ExtraSquares is what ExtraPerHolder adds to the shareSquares of each of
	// OtherHolders.
	ExtraSquares float64
}

func (w *layerState) trySwap(t *candidate, v *changeSearch) {
	d := t.Share - t.FreedShare
	extraSquares := t.Share*t.Share - t.FreedShare*t.FreedShare
	newTime := max(w.rankTime(v.slowest, -d, -extraSquares), w.rankTime(t.Receiver, d, extraSquares))
	if v.improves(newTime, 2) {
		v.setBest(change{Kind: changeSwap, From: t.From, To: t.To}, newTime, 2)
	}
}

// tryCopy tries the fetch into an empty slot, or over a replica that can be
// dropped, both as an additional replica and as a move.
func (w *layerState) tryCopy(t *candidate, v *changeSearch) {
	extraOnSlowest, extraSquares := 0.0, 0.0
	if t.OtherHolders&(1<<v.slowest) != 0 {
		extraOnSlowest, extraSquares = t.ExtraPerHolder, t.ExtraSquares
	}
	share, next, freed := t.Share*t.Share, t.ShareIfReplicated*t.ShareIfReplicated, t.FreedShare*t.FreedShare
	moved := max(w.rankTime(v.slowest, extraOnSlowest-t.Share, extraSquares-share), w.rankTime(t.Receiver, t.Share-t.FreedShare, share-freed))
	copied := max(w.rankTime(v.slowest, extraOnSlowest-t.Share+t.ShareIfReplicated, extraSquares-share+next), w.rankTime(t.Receiver, t.ShareIfReplicated-t.FreedShare, next-freed))
	if !v.improves(min(moved, copied), 1) {
		return
	}
	others := w.maxRankTime(t.OtherHolders&^(1<<v.slowest), t.ExtraPerHolder, t.ExtraSquares, 0)
	if moved = max(moved, others); v.improves(moved, 1) {
		v.setBest(change{Kind: changeMove, From: t.From, To: t.To}, moved, 1)
	}
	if copied = max(copied, others); v.improves(copied, 1) {
		v.setBest(change{Kind: changeReplicate, From: t.From, To: t.To}, copied, 1)
	}
}

// maxRankTime returns the longest time of the given ranks with extra work each,
// or floor if that is longer.
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
