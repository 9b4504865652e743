package placement

import (
	"math"
	"math/bits"
	"slices"
)

// slowestRankDeviations is how many standard deviations the slowest of several
// dozen ranks lies above its own mean: the expected maximum of 32 normally
// distributed values.
const slowestRankDeviations = 2.07

// layerState is the working state of one layer during a decision. Its slices
// are reused for every layer to keep allocations low.
type layerState struct {
	ranks, slotsPerRank int
	slots               []Expert
	// tokens is scaled so that its sum is the number of ranks: a perfect split
	// over ranks of speed 1 then takes time 1.
	tokens []float64
	// holders is, for each expert, the set of live ranks that hold it.
	holders []uint64
	// work is each rank's share of tokens, and timePerToken the time that a token
	// takes there.
	work, timePerToken []float64
	liveRanks          uint64
	speedSum           float64
	// shareSquares is, for each rank, the sum of the squares of its experts'
	// shares. The square root, multiplied by deviationWeight, counts as work.
	shareSquares    []float64
	deviationWeight float64
}

// loadLayer sets w to layer l of m under load d. Slots of unavailable ranks
// keep their experts in w.slots but are not counted in holders and work.
func (w *layerState) loadLayer(m *Map, d *Load, l int) {
	w.loadSlots(m.Layer(l), m.Shape, d, l)
}

// loadSlots sets w to layer l under load d, with the given slots.
func (w *layerState) loadSlots(slots []Expert, s Shape, d *Load, l int) {
	w.ranks, w.slotsPerRank = s.Ranks, s.SlotsPerRank
	w.slots = append(w.slots[:0], slots...)
	w.scaleTokens(d.Tokens[l*s.Experts : (l+1)*s.Experts])
	w.setSpeeds(d)
	w.deviationWeight = slowestRankDeviations * d.Volatility
	w.recount()
}

// scaleTokens sets w.tokens. If a layer has no tokens, all its experts get
// equal shares.
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

// recount computes holders and work from the slots.
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

// addWork adds an expert's share to every rank of a set, or subtracts it if
// sign is -1.
func (w *layerState) addWork(ranks uint64, share, sign float64) {
	for ; ranks != 0; ranks &= ranks - 1 {
		r := bits.TrailingZeros64(ranks)
		w.work[r] += sign * share
		w.shareSquares[r] += sign * share * share
	}
}

// rankTime returns the time that rank r takes for its work plus extra, with
// extraSquares added to its shareSquares. The work of a rank that depends on
// one popular expert varies with that expert, and the slowest rank of a step is
// usually one whose work is above its mean, so the expected deviation counts as
// work.
func (w *layerState) rankTime(r int, extra, extraSquares float64) float64 {
	return (w.work[r] + extra + w.deviationWeight*math.Sqrt(max(0, w.shareSquares[r]+extraSquares))) * w.timePerToken[r]
}

// slowest returns the rank that takes longest, and its time. Unavailable ranks
// have timePerToken 0 and so take no time.
func (w *layerState) slowest() (int, float64) {
	rank, slowestTime := 0, -1.0
	for r := range w.ranks {
		if t := w.rankTime(r, 0, 0); t > slowestTime {
			rank, slowestTime = r, t
		}
	}

	return rank, slowestTime
}

// idealTime returns the time of the layer if its work could be divided
// arbitrarily.
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

// setSlot sets slot i to e, which may be None, and updates holders and work.
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

// copiesFrom returns the number of expert weights that must be fetched to
// change the old slots into w.slots.
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

// resize returns s with n zero elements, reusing its memory if possible.
func resize[T any](s []T, n int) []T {
	if cap(s) < n {
		return make([]T, n)
	}
	s = s[:n]
	clear(s)

	return s
}
