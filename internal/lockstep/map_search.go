package lockstep

import (
	"math"
	"slices"
)

// Demand is the expected load of each expert, by set. Only the ratios within a set matter.
type Demand [][]float64

// Skew returns SkewWithSlowdowns without slow ranks.
func (m Map) Skew(d Demand) float64 { return m.SkewWithSlowdowns(d, nil) }

// SkewWithSlowdowns returns how long the last rank works on its experts under m, relative to
// the time for the mean load on a rank that is not slow, averaged over the sets. The minimum is
// 1.
func (m Map) SkewWithSlowdowns(d Demand, slowdowns Slowdowns) float64 {
	total := 0.0

	for s := range m {
		loads, sum := m.loads(s, d[s])
		if sum == 0 {
			total++

			continue
		}

		for r := range loads {
			loads[r] *= slowdowns.at(r)
		}

		total += slices.Max(loads) / (sum / float64(len(loads)))
	}

	return total / float64(len(m))
}

func (m Map) loads(set int, demand []float64) (loads []float64, sum float64) {
	loads = make([]float64, len(m[set]))
	holders := make([]int, len(demand))

	for _, experts := range m[set] {
		for _, e := range experts {
			holders[e]++
		}
	}

	for r, experts := range m[set] {
		for _, e := range experts {
			loads[r] += demand[e] / float64(holders[e])
		}

		sum += loads[r]
	}

	return loads, sum
}

// CopyLimits bounds the cost of a new map.
type CopyLimits struct {
	// MaxPerRank is how many new experts a rank may get, over all sets.
	MaxPerRank int
	// MinGain is the gain, relative to the mean load, below which a change of one expert is not
	// worth its copy.
	MinGain float64
}

// mapSearch searches for a map that suits a demand better than the current one and can be
// prepared from it: each rank gets at most shape.SpareSlots new experts of a set. It is a
// greedy search that always makes the change with the largest gain per copy, over all sets. A
// slow rank, for which all others wait, ends up with fewer experts or none.
//
// A search is incremental: a call of improve with higher limits continues from the map that was
// found with lower ones. This takes less time than a new search and finds equally good maps.
type mapSearch struct {
	shape Shape
	sets  []*setSearch
	// newPerRank is how many experts each rank has to copy, over all sets.
	newPerRank []int
}

func newMapSearch(shape Shape, m Map, d Demand, slowdowns Slowdowns) *mapSearch {
	p := &mapSearch{shape: shape, newPerRank: make([]int, shape.Ranks)}
	m = m.Clone()

	for s := range shape.Sets {
		p.sets = append(p.sets, newSetSearch(shape, m[s], d[s], slowdowns))
	}

	return p
}

// improve makes all worthwhile changes within limits, which apply to all changes since the
// search began, and returns the resulting map.
func (p *mapSearch) improve(limits CopyLimits) Map {
	for _, search := range p.sets {
		search.nextValid = false
	}

	for range maxChanges * p.shape.Sets {
		var best *setSearch

		for _, search := range p.sets {
			search.findNext(p.newPerRank, limits.MaxPerRank)

			if search.next.gain > limits.MinGain && (best == nil || search.next.gain > best.next.gain) {
				best = search
			}
		}

		if best == nil {
			break
		}

		best.apply(p.newPerRank)

		for _, search := range p.sets {
			// The remaining changes were found before this one used copies of its ranks.
			search.nextValid = search.nextValid && search != best && search.allows(search.next, p.newPerRank, limits.MaxPerRank)
		}
	}

	out := make(Map, len(p.sets))
	for s, search := range p.sets {
		out[s] = search.ranks
	}

	out = out.Clone()
	out.sort()

	return out
}

const (
	// maxChanges bounds the changes in one call of improve, per set on average.
	maxChanges = 64
	// maxReceivers is how many of the least loaded ranks are considered as new holders of an
	// expert.
	maxReceivers = 12
	// noRank means that no expert is removed, or that no rank receives one.
	noRank = -1
)

// change places expert on rank to. If replaced is not noRank, that expert is removed from rank
// to. If moved is set, expert is removed from rank from, which receives replaced in exchange
// unless discard is set. If to is noRank, expert is only removed from rank from.
type change struct {
	gain     float64
	expert   int
	from, to int
	replaced int
	moved    bool
	discard  bool
}

// setSearch is the part of a search that covers one set.
type setSearch struct {
	shape     Shape
	ranks     [][]uint16
	demand    []float64
	slowdowns Slowdowns
	holders   []int
	has       []bool    // indexed by rank*Experts + expert
	initial   []bool    // has at the start of the search
	loads     []float64 // by rank, multiplied by its slowdown
	mean      float64
	newInSet  []int
	// rankPowers holds the eighth power of each rank's load relative to the mean, powers their
	// sum, and norm the eighth root of the sum. loadDeltas holds the load changes, at the
	// touched ranks, of the change being evaluated.
	rankPowers []float64
	powers     float64
	norm       float64
	loadDeltas []float64
	touched    []int

	nextValid bool
	next      change
}

func newSetSearch(shape Shape, ranks [][]uint16, demand []float64, slowdowns Slowdowns) *setSearch {
	p := &setSearch{
		shape: shape, ranks: ranks, demand: demand, slowdowns: slowdowns, holders: make([]int, shape.Experts),
		has: make([]bool, shape.Ranks*shape.Experts), loads: make([]float64, shape.Ranks),
		newInSet: make([]int, shape.Ranks), loadDeltas: make([]float64, shape.Ranks), rankPowers: make([]float64, shape.Ranks),
	}

	for r, experts := range ranks {
		for _, e := range experts {
			p.holders[e]++
			p.has[r*shape.Experts+int(e)] = true
		}
	}

	p.initial = slices.Clone(p.has)

	for r, experts := range ranks {
		for _, e := range experts {
			p.loads[r] += p.share(int(e)) * slowdowns.at(r)
			p.mean += p.share(int(e)) / float64(shape.Ranks)
		}
	}

	for r := range p.loads {
		p.updateRankPower(r)
	}

	p.norm = root8(p.powers)

	return p
}

func (p *setSearch) share(e int) float64 { return p.demand[e] / float64(p.holders[e]) }

func (p *setSearch) holds(r, e int) bool { return p.has[r*p.shape.Experts+e] }

// findNext finds the change with the largest gain, unless the last result is still valid.
func (p *setSearch) findNext(newPerRank []int, maxPerRank int) {
	if p.nextValid {
		return
	}

	p.nextValid = true
	p.next = change{}

	if p.mean == 0 {
		return
	}

	byLoad := make([]int, p.shape.Ranks)
	for r := range byLoad {
		byLoad[r] = r
	}

	slices.SortFunc(byLoad, func(a, b int) int {
		switch {
		case p.loads[a] < p.loads[b]:
			return -1
		case p.loads[a] > p.loads[b]:
			return 1
		default:
			return a - b
		}
	})

	mostLoaded := byLoad[len(byLoad)-1]

	for _, e16 := range p.ranks[mostLoaded] {
		if p.slowdowns.at(mostLoaded) > 1 && p.holders[e16] > 1 {
			p.consider(change{expert: int(e16), from: mostLoaded, to: noRank, replaced: noRank, moved: true}, newPerRank, maxPerRank)
		}

		for _, to := range byLoad[:min(maxReceivers, len(byLoad)-1)] {
			if e := int(e16); to != mostLoaded && !p.holds(to, e) {
				p.considerReceiver(e, mostLoaded, to, newPerRank, maxPerRank)
			}
		}
	}
}

// considerReceiver evaluates all ways to bring e from rank from, the most loaded one, to rank
// to.
func (p *setSearch) considerReceiver(e, from, to int, newPerRank []int, maxPerRank int) {
	if len(p.ranks[to]) < p.shape.Slots {
		p.consider(change{expert: e, from: from, to: to, replaced: noRank}, newPerRank, maxPerRank)
		p.consider(change{expert: e, from: from, to: to, replaced: noRank, moved: true}, newPerRank, maxPerRank)
	}

	for _, replaced := range p.ranks[to] {
		f := int(replaced)
		if p.holders[f] > 1 {
			p.consider(change{expert: e, from: from, to: to, replaced: f}, newPerRank, maxPerRank)

			// A slow rank that gives an expert away should not receive another one for it.
			if p.slowdowns.at(from) > 1 {
				p.consider(change{expert: e, from: from, to: to, replaced: f, moved: true, discard: true}, newPerRank, maxPerRank)
			}
		}

		if !p.holds(from, f) {
			p.consider(change{expert: e, from: from, to: to, replaced: f, moved: true}, newPerRank, maxPerRank)
		}
	}
}

func (p *setSearch) consider(c change, newPerRank []int, maxPerRank int) {
	if !p.allows(c, newPerRank, maxPerRank) {
		return
	}

	c.gain = p.gain(c) / p.copyCost(c)

	if c.gain > p.next.gain {
		p.next = c
	}
}

// needsCopy reports whether rank r would have to copy e.
func (p *setSearch) needsCopy(r, e int) bool { return !p.initial[r*p.shape.Experts+e] }

func (p *setSearch) copyCost(c change) float64 {
	n := 0.0
	if c.to != noRank && p.needsCopy(c.to, c.expert) {
		n++
	}

	if c.swaps() && p.needsCopy(c.from, c.replaced) {
		n++
	}

	return max(n, noCopyCost)
}

// noCopyCost is the cost, in copies, of a change that needs no copy.
const noCopyCost = 0.25

func (p *setSearch) allows(c change, newPerRank []int, maxPerRank int) bool {
	hasCapacity := func(r, e int) bool {
		return !p.needsCopy(r, e) || p.newInSet[r] < p.shape.SpareSlots && newPerRank[r] < maxPerRank
	}

	return (c.to == noRank || hasCapacity(c.to, c.expert)) && (!c.swaps() || hasCapacity(c.from, c.replaced))
}

// swaps reports whether rank c.from receives the expert that rank c.to gives away.
func (c *change) swaps() bool { return c.moved && c.replaced != noRank && !c.discard }

// gain returns how much a change lowers the norm of the loads, relative to the mean load. The
// norm approximates the load of the most loaded rank, but also falls when one of several
// equally loaded ranks improves.
func (p *setSearch) gain(c change) float64 {
	p.computeLoadDeltas(c)

	after := p.powers

	for _, r := range p.touched {
		if p.loadDeltas[r] == 0 {
			continue
		}

		after += pow8((p.loads[r]+p.loadDeltas[r])/p.mean) - p.rankPowers[r]
		p.loadDeltas[r] = 0
	}

	p.touched = p.touched[:0]

	return p.norm - root8(max(after, 0))
}

// updateRankPower updates the powers after a change of the rank's load.
func (p *setSearch) updateRankPower(r int) {
	p.powers -= p.rankPowers[r]
	p.rankPowers[r] = pow8(p.loads[r] / max(p.mean, math.SmallestNonzeroFloat64))
	p.powers += p.rankPowers[r]
}

func pow8(x float64) float64 {
	x *= x
	x *= x

	return x * x
}

func root8(x float64) float64 { return math.Sqrt(math.Sqrt(math.Sqrt(x))) }

// computeLoadDeltas adds the load changes that c causes to loadDeltas.
func (p *setSearch) computeLoadDeltas(c change) {
	e, f := c.expert, c.replaced

	switch {
	case c.to == noRank:
		p.addLoadDelta(c.from, -p.share(e))
		p.addShareDeltas(e, p.holders[e]-1, c.from)
	case c.discard:
		p.addLoadDelta(c.from, -p.share(e))
		p.addLoadDelta(c.to, p.share(e)-p.share(f))
		p.addShareDeltas(f, p.holders[f]-1, c.to)
	case c.moved && f == noRank:
		p.addLoadDelta(c.from, -p.share(e))
		p.addLoadDelta(c.to, p.share(e))
	case c.moved:
		diff := p.share(e) - p.share(f)
		p.addLoadDelta(c.from, -diff)
		p.addLoadDelta(c.to, diff)
	default:
		p.addShareDeltas(e, p.holders[e]+1, noRank)
		p.addLoadDelta(c.to, p.demand[e]/float64(p.holders[e]+1))

		if f != noRank {
			p.addLoadDelta(c.to, -p.share(f))
			p.addShareDeltas(f, p.holders[f]-1, c.to)
		}
	}
}

func (p *setSearch) addLoadDelta(r int, load float64) {
	p.touched = append(p.touched, r)
	p.loadDeltas[r] += load * p.slowdowns.at(r)
}

// addShareDeltas adds the load changes at all holders of e, except one, that result if e has n
// holders.
func (p *setSearch) addShareDeltas(e, n, except int) {
	diff := p.demand[e]/float64(n) - p.share(e)

	for r := range p.loads {
		if r != except && p.holds(r, e) {
			p.addLoadDelta(r, diff)
		}
	}
}

// apply makes the change that findNext has found.
func (p *setSearch) apply(newPerRank []int) {
	c := p.next
	p.nextValid = false

	p.computeLoadDeltas(c)

	for _, r := range p.touched {
		p.loads[r] += p.loadDeltas[r]
		p.loadDeltas[r] = 0
		p.updateRankPower(r)
	}

	p.norm = root8(p.powers)
	p.touched = p.touched[:0]

	if c.moved {
		p.removeExpert(c.from, c.expert)
	}

	if c.replaced != noRank {
		p.removeExpert(c.to, c.replaced)
	}

	if c.to != noRank {
		p.addExpert(c.to, c.expert, newPerRank)
	}

	if c.swaps() {
		p.addExpert(c.from, c.replaced, newPerRank)
	}
}

func (p *setSearch) removeExpert(r, e int) {
	i := slices.Index(p.ranks[r], uint16(e))
	p.ranks[r] = slices.Delete(p.ranks[r], i, i+1)
	p.has[r*p.shape.Experts+e] = false
	p.holders[e]--
}

func (p *setSearch) addExpert(r, e int, newPerRank []int) {
	p.ranks[r] = append(p.ranks[r], uint16(e))
	p.has[r*p.shape.Experts+e] = true
	p.holders[e]++

	if p.needsCopy(r, e) {
		p.newInSet[r]++
		newPerRank[r]++
	}
}
