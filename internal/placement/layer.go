package placement

import (
	"math"
	"math/bits"
	"slices"
)

// slowestRankDeviations is how many standard deviations the slowest of some tens of ranks lies
// above its own mean: the expected maximum of 32 normal values.
const slowestRankDeviations = 2.07

// layerState is the working state of one layer during a decision. Its slices are
// reused from layer to layer, so that a decision allocates little.
type layerState struct {
	ranks, slotsPerRank int
	slots               []Expert
	// tokens is scaled so that its sum is the number of ranks: a perfect split
	// over ranks of speed 1 then takes time 1.
	tokens []float64
	// holders is the set of live ranks that hold each expert.
	holders []uint64
	// work is each rank's share of tokens, and pace the time a token takes there.
	work, timePerToken []float64
	liveRanks          uint64
	speedSum           float64
	// shareSquares sums the squares of the shares of a rank's experts, and risk is how
	// much of its root counts as work.
	shareSquares    []float64
	deviationWeight float64
}

// loadLayer sets w to layer l of m under d. Slots of ranks that are out keep their
// experts in w.slots, but hold nothing as far as holders and work go.
func (w *layerState) loadLayer(m *Map, d *Load, l int) {
	w.loadSlots(m.Layer(l), m.Shape, d, l)
}

// loadSlots sets w to layer l under d, with these slots in place of a map's.
func (w *layerState) loadSlots(slots []Expert, s Shape, d *Load, l int) {
	w.ranks, w.slotsPerRank = s.Ranks, s.SlotsPerRank
	w.slots = append(w.slots[:0], slots...)
	w.scaleTokens(d.Tokens[l*s.Experts : (l+1)*s.Experts])
	w.setSpeeds(d)
	w.deviationWeight = slowestRankDeviations * d.Volatility
	w.recount()
}

// scaleTokens sets w.tokens. A layer without any known tokens counts as even.
func (w *layerState) scaleTokens(tokens []float64) {
	w.tokens = w.tokens[:0]
	sum := 0.0
	for _, t := range tokens {
		sum += t
	}
	for _, t := range tokens {
		if sum <= 0 {
			t = float64(w.ranks) / float64(len(tokens))
		} else {
			t *= float64(w.ranks) / sum
		}
		w.tokens = append(w.tokens, t)
	}
}

func (w *layerState) setSpeeds(d *Load) {
	w.timePerToken = w.timePerToken[:0]
	w.liveRanks, w.speedSum = 0, 0
	for r := range w.ranks {
		if !d.Live(r) {
			w.timePerToken = append(w.timePerToken, 0)

			continue
		}
		w.timePerToken = append(w.timePerToken, 1/d.Speed[r])
		w.liveRanks |= 1 << r
		w.speedSum += d.Speed[r]
	}
}

// recount derives holders and work from the slots.
func (w *layerState) recount() {
	w.holders = resize(w.holders, len(w.tokens))
	w.work = resize(w.work, w.ranks)
	w.shareSquares = resize(w.shareSquares, w.ranks)
	for i, e := range w.slots {
		if r := i / w.slotsPerRank; e != None && w.liveRanks&(1<<r) != 0 {
			w.holders[e] |= 1 << r
		}
	}
	for e, h := range w.holders {
		if h != 0 {
			w.addWork(h, w.tokens[e]/float64(replicas(h)), 1)
		}
	}
}

// addWork adds an expert's share to every rank of a set, or takes it off with sign -1.
func (w *layerState) addWork(ranks uint64, share, sign float64) {
	for ; ranks != 0; ranks &= ranks - 1 {
		r := bits.TrailingZeros64(ranks)
		w.work[r] += sign * share
		w.shareSquares[r] += sign * share * share
	}
}

// rankTime returns the time that rank r takes for its work plus extra, with square
// added to its spread. A rank whose work hangs on one popular expert swings
// with it, and the slowest rank of a step is one that swung up; so the likely
// swing counts as work.
func (w *layerState) rankTime(r int, extra, extraSquares float64) float64 {
	return (w.work[r] + extra + w.deviationWeight*math.Sqrt(max(0, w.shareSquares[r]+extraSquares))) * w.timePerToken[r]
}

// slowest returns the rank that takes longest, and its time. Ranks that are out have no pace and so no time.
func (w *layerState) slowest() (int, float64) {
	rank, slowestTime := 0, -1.0
	for r := range w.ranks {
		if t := w.rankTime(r, 0, 0); t > slowestTime {
			rank, slowestTime = r, t
		}
	}

	return rank, slowestTime
}

// idealTime is the time of a layer whose work is split at will.
func (w *layerState) idealTime() float64 {
	if w.speedSum <= 0 {
		return 0
	}

	return float64(w.ranks) / w.speedSum
}

func (w *layerState) stepTime() StepTime {
	sum := 0.0
	for r := range w.ranks {
		sum += w.rankTime(r, 0, 0)
	}
	_, slowestTime := w.slowest()

	return StepTime{Slowest: slowestTime, Mean: sum / math.Max(1, float64(replicas(w.liveRanks))), Ideal: w.idealTime()}
}

// setSlot replaces what slot i holds by e, which may be None, and updates holders and work.
func (w *layerState) setSlot(i int, e Expert) {
	r := i / w.slotsPerRank
	if old := w.slots[i]; old != None && w.liveRanks&(1<<r) != 0 {
		w.setHolders(old, w.holders[old]&^(1<<r))
	}
	w.slots[i] = e
	if e != None && w.liveRanks&(1<<r) != 0 {
		w.setHolders(e, w.holders[e]|1<<r)
	}
}

// setHolders changes the holders of e and moves its work between them.
func (w *layerState) setHolders(e Expert, holders uint64) {
	if h := w.holders[e]; h != 0 {
		w.addWork(h, w.tokens[e]/float64(replicas(h)), -1)
	}
	w.holders[e] = holders
	if holders != 0 {
		w.addWork(holders, w.tokens[e]/float64(replicas(holders)), 1)
	}
}

// copiesFrom counts the weights that must be fetched to turn old slots into w.slots.
func (w *layerState) copiesFrom(old []Expert) int {
	n := 0
	for r := range w.ranks {
		oldSlots := old[r*w.slotsPerRank : (r+1)*w.slotsPerRank]
		for _, e := range w.slots[r*w.slotsPerRank : (r+1)*w.slotsPerRank] {
			if e != None && !slices.Contains(oldSlots, e) {
				n++
			}
		}
	}

	return n
}

// resize returns s with n zero elements, reusing its memory.
func resize[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	s = s[:n]
	clear(s)

	return s
}
