package placement

import (
	"math"
	"math/bits"
	"slices"
)

// swing is how many standard deviations the slowest of some tens of ranks lies
// above its own mean: the expected maximum of 32 normal values.
const swing = 2.07

// layer is the working state of one layer during a decision. Its slices are
// reused from layer to layer, so that a decision allocates little.
type layer struct {
	ranks, slotsPerRank int
	slots               []Expert
	// tokens is scaled so that its sum is the number of ranks: a perfect split
	// over ranks of speed 1 then takes time 1.
	tokens []float64
	// holders is the set of live ranks that hold each expert.
	holders []uint64
	// work is each rank's share of tokens, and pace the time a token takes there.
	work, pace []float64
	live       uint64
	speedSum   float64
	// spread sums the squares of the shares of a rank's experts, and risk is how
	// much of its root counts as work.
	spread []float64
	risk   float64
}

// load sets w to layer l of m under d. Slots of ranks that are out keep their
// experts in w.slots, but hold nothing as far as holders and work go.
func (w *layer) load(m *Map, d *Load, l int) {
	w.loadSlots(m.Layer(l), m.Shape, d, l)
}

// loadSlots sets w to layer l under d, with these slots in place of a map's.
func (w *layer) loadSlots(slots []Expert, s Shape, d *Load, l int) {
	w.ranks, w.slotsPerRank = s.Ranks, s.SlotsPerRank
	w.slots = append(w.slots[:0], slots...)
	w.scaleTokens(d.Tokens[l*s.Experts : (l+1)*s.Experts])
	w.setSpeeds(d)
	w.risk = swing * d.Volatility
	w.count()
}

// scaleTokens sets w.tokens. A layer without any known tokens counts as even.
func (w *layer) scaleTokens(tokens []float64) {
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

func (w *layer) setSpeeds(d *Load) {
	w.pace = w.pace[:0]
	w.live, w.speedSum = 0, 0
	for r := range w.ranks {
		if !d.Live(r) {
			w.pace = append(w.pace, 0)

			continue
		}
		w.pace = append(w.pace, 1/d.Speed[r])
		w.live |= 1 << r
		w.speedSum += d.Speed[r]
	}
}

// count derives holders and work from the slots.
func (w *layer) count() {
	w.holders = resize(w.holders, len(w.tokens))
	w.work = resize(w.work, w.ranks)
	w.spread = resize(w.spread, w.ranks)
	for i, e := range w.slots {
		if r := i / w.slotsPerRank; e != None && w.live&(1<<r) != 0 {
			w.holders[e] |= 1 << r
		}
	}
	for e, h := range w.holders {
		if h != 0 {
			w.shift(h, w.tokens[e]/float64(replicas(h)), 1)
		}
	}
}

// shift adds an expert's share to every rank of a set, or takes it off with sign -1.
func (w *layer) shift(ranks uint64, share, sign float64) {
	for ; ranks != 0; ranks &= ranks - 1 {
		r := bits.TrailingZeros64(ranks)
		w.work[r] += sign * share
		w.spread[r] += sign * share * share
	}
}

// at returns the time that rank r takes for its work plus extra, with square
// added to its spread. A rank whose work hangs on one popular expert swings
// with it, and the slowest rank of a step is one that swung up; so the likely
// swing counts as work.
func (w *layer) at(r int, extra, square float64) float64 {
	return (w.work[r] + extra + w.risk*math.Sqrt(max(0, w.spread[r]+square))) * w.pace[r]
}

// slowest returns the rank that takes longest, and its time. Ranks that are out have no pace and so no time.
func (w *layer) slowest() (int, float64) {
	rank, most := 0, -1.0
	for r := range w.ranks {
		if t := w.at(r, 0, 0); t > most {
			rank, most = r, t
		}
	}

	return rank, most
}

// ideal is the time of a layer whose work is split at will.
func (w *layer) ideal() float64 {
	if w.speedSum <= 0 {
		return 0
	}

	return float64(w.ranks) / w.speedSum
}

func (w *layer) time() StepTime {
	sum := 0.0
	for r := range w.ranks {
		sum += w.at(r, 0, 0)
	}
	_, most := w.slowest()

	return StepTime{Slowest: most, Mean: sum / math.Max(1, float64(replicas(w.live))), Ideal: w.ideal()}
}

// put replaces what slot i holds by e, which may be None, and updates holders and work.
func (w *layer) put(i int, e Expert) {
	r := i / w.slotsPerRank
	if old := w.slots[i]; old != None && w.live&(1<<r) != 0 {
		w.hold(old, w.holders[old]&^(1<<r))
	}
	w.slots[i] = e
	if e != None && w.live&(1<<r) != 0 {
		w.hold(e, w.holders[e]|1<<r)
	}
}

// hold changes the holders of e and moves its work between them.
func (w *layer) hold(e Expert, holders uint64) {
	if h := w.holders[e]; h != 0 {
		w.shift(h, w.tokens[e]/float64(replicas(h)), -1)
	}
	w.holders[e] = holders
	if holders != 0 {
		w.shift(holders, w.tokens[e]/float64(replicas(holders)), 1)
	}
}

// copies counts the weights that must be fetched to turn old slots into w.slots.
func (w *layer) copies(old []Expert) int {
	n := 0
	for r := range w.ranks {
		was := old[r*w.slotsPerRank : (r+1)*w.slotsPerRank]
		for _, e := range w.slots[r*w.slotsPerRank : (r+1)*w.slotsPerRank] {
			if e != None && !slices.Contains(was, e) {
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
