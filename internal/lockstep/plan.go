package lockstep

import (
	"math"
	"slices"
)

// Demand is how much of the work each expert is expected to get, set by set. Only
// the ratios within a set count.
type Demand [][]float64

// Skew returns SkewAt where all ranks are alike.
func (m Map) Skew(d Demand) float64 { return m.SkewWithSlowdowns(d, nil) }

// SkewWithSlowdowns returns, in the mean over the sets, how long the last rank works on its
// experts under m, against the time that the mean load takes at a usual pace: 1 is
// the least.
func (m Map) SkewWithSlowdowns(d Demand, paces Slowdowns) float64 {
	total := 0.0

	for s := range m {
		loads, sum := m.loads(s, d[s])
		if sum == 0 {
			total++

			continue
		}

		for r := range loads {
			loads[r] *= paces.at(r)
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

// CopyLimits bound what a new map may cost.
type CopyLimits struct {
	// MaxPerRank is how many new experts a rank may get, over all sets.
	MaxPerRank int
	// MinGain is the gain, in parts of the mean load, below which a change of one expert
	// is not worth its copy.
	MinGain float64
}

// plan is the search for a map that is better for some demand than another one, and can
// be prepared from it: each rank gets at most shape.Spare new experts of a set. It
// changes what gains most for each copy first, whichever set that is in. A slow rank,
// which all others wait for, is left with fewer experts, or none.
//
// It goes on from where it was: a search with more copies takes up the map that was found
// with fewer, which is sooner done than one from the start, and finds maps as good.
type plan struct {
	shape Shape
	sets  []*setPlan
	// newAt is how many experts each rank has to copy, over all sets.
	newAt []int
}

func newPlan(shape Shape, m Map, d Demand, paces Slowdowns) *plan {
	p := &plan{shape: shape, newAt: make([]int, shape.Ranks)}
	m = m.Clone()

	for s := range shape.Sets {
		p.sets = append(p.sets, newSetPlan(shape, m[s], d[s], paces))
	}

	return p
}

// improve makes the changes that copies allow, which bound all new experts of a rank,
// and returns the map with them.
func (p *plan) improve(copies CopyLimits) Map {
	for _, set := range p.sets {
		set.found = false
	}

	for range maxChanges * p.shape.Sets {
		var best *setPlan

		for _, set := range p.sets {
			set.find(p.newAt, copies.MaxPerRank)

			if set.next.gain > copies.MinGain && (best == nil || set.next.gain > best.next.gain) {
				best = set
			}
		}

		if best == nil {
			break
		}

		best.apply(p.newAt)

		for _, set := range p.sets {
			// Others were found before this one used up a rank's copies.
			set.found = set.found && set != best && set.allows(set.next, p.newAt, copies.MaxPerRank)
		}
	}

	out := make(Map, len(p.sets))
	for s, set := range p.sets {
		out[s] = set.ranks
	}

	out = out.Clone()
	out.sort()

	return out
}

const (
	// maxChanges bounds the changes of one set.
	maxChanges = 64
	// partners is how many of the least loaded ranks are weighed as new holders.
	partners = 12
	// none marks that no expert leaves, or that no rank gets one.
	none = -1
)

// change brings expert to rank to. Where out is not none, it leaves rank to for it;
// where moved is set, expert leaves rank from, and for a swap out comes there, unless
// it is dropped. Without a rank to, expert is only taken from rank from.
type change struct {
	gain     float64
	expert   int
	from, to int
	out      int
	moved    bool
	dropped  bool
}

// setPlan is the search in one set.
type setPlan struct {
	shape   Shape
	ranks   [][]uint16
	demand  []float64
	paces   Slowdowns
	holders []int
	has     []bool    // rank by rank, expert by expert
	had     []bool    // the same as it was
	loads   []float64 // in the time that the work takes at the rank's pace
	mean    float64
	newHere []int
	// rankPowers are the loads' eighth powers, in parts of the mean, powers is their sum
	// and norm its root; shifts are the changes of the loads of the touched ranks that
	// are weighed just now.
	rankPowers []float64
	powers     float64
	norm       float64
	shifts     []float64
	touched    []int

	found bool
	next  change
}

func newSetPlan(shape Shape, ranks [][]uint16, demand []float64, paces Slowdowns) *setPlan {
	p := &setPlan{
		shape: shape, ranks: ranks, demand: demand, paces: paces, holders: make([]int, shape.Experts),
		has: make([]bool, shape.Ranks*shape.Experts), loads: make([]float64, shape.Ranks),
		newHere: make([]int, shape.Ranks), shifts: make([]float64, shape.Ranks), rankPowers: make([]float64, shape.Ranks),
	}

	for r, experts := range ranks {
		for _, e := range experts {
			p.holders[e]++
			p.has[r*shape.Experts+int(e)] = true
		}
	}

	p.had = slices.Clone(p.has)

	for r, experts := range ranks {
		for _, e := range experts {
			p.loads[r] += p.part(int(e)) * paces.at(r)
			p.mean += p.part(int(e)) / float64(shape.Ranks)
		}
	}

	for r := range p.loads {
		p.weighRank(r)
	}

	p.norm = root(p.powers)

	return p
}

func (p *setPlan) part(e int) float64 { return p.demand[e] / float64(p.holders[e]) }

func (p *setPlan) holds(r, e int) bool { return p.has[r*p.shape.Experts+e] }

// find looks for the change with the largest gain, unless it is known still.
func (p *setPlan) find(newAt []int, most int) {
	if p.found {
		return
	}

	p.found = true
	p.next = change{}

	if p.mean == 0 {
		return
	}

	order := make([]int, p.shape.Ranks)
	for r := range order {
		order[r] = r
	}

	slices.SortFunc(order, func(a, b int) int {
		switch {
		case p.loads[a] < p.loads[b]:
			return -1
		case p.loads[a] > p.loads[b]:
			return 1
		default:
			return a - b
		}
	})

	top := order[len(order)-1]

	for _, e16 := range p.ranks[top] {
		if p.paces.at(top) > 1 && p.holders[e16] > 1 {
			p.weigh(change{expert: int(e16), from: top, to: none, out: none, moved: true}, newAt, most)
		}

		for _, to := range order[:min(partners, len(order)-1)] {
			if e := int(e16); to != top && !p.holds(to, e) {
				p.weighAll(e, top, to, newAt, most)
			}
		}
	}
}

// weighAll weighs each way of bringing e from the most loaded rank to another one.
func (p *setPlan) weighAll(e, from, to int, newAt []int, most int) {
	if len(p.ranks[to]) < p.shape.Slots {
		p.weigh(change{expert: e, from: from, to: to, out: none}, newAt, most)
		p.weigh(change{expert: e, from: from, to: to, out: none, moved: true}, newAt, most)
	}

	for _, out := range p.ranks[to] {
		f := int(out)
		if p.holders[f] > 1 {
			p.weigh(change{expert: e, from: from, to: to, out: f}, newAt, most)

			// What leaves a slow rank is not to be paid for with other work there.
			if p.paces.at(from) > 1 {
				p.weigh(change{expert: e, from: from, to: to, out: f, moved: true, dropped: true}, newAt, most)
			}
		}

		if !p.holds(from, f) {
			p.weigh(change{expert: e, from: from, to: to, out: f, moved: true}, newAt, most)
		}
	}
}

func (p *setPlan) weigh(c change, newAt []int, most int) {
	if !p.allows(c, newAt, most) {
		return
	}

	c.gain = p.gain(c) / p.copies(c)

	if c.gain > p.next.gain {
		p.next = c
	}
}

// isNew reports whether rank r would have to copy e.
func (p *setPlan) isNew(r, e int) bool { return !p.had[r*p.shape.Experts+e] }

func (p *setPlan) copies(c change) float64 {
	n := 0.0
	if c.to != none && p.isNew(c.to, c.expert) {
		n++
	}

	if c.swaps() && p.isNew(c.from, c.out) {
		n++
	}

	return max(n, freeCopy)
}

// freeCopy stands for the cost of a change that needs no copy.
const freeCopy = 0.25

func (p *setPlan) allows(c change, newAt []int, most int) bool {
	room := func(r, e int) bool {
		return !p.isNew(r, e) || p.newHere[r] < p.shape.SpareSlots && newAt[r] < most
	}

	return (c.to == none || room(c.to, c.expert)) && (!c.swaps() || room(c.from, c.out))
}

// swaps reports whether the expert that leaves rank to comes to rank from.
func (c *change) swaps() bool { return c.moved && c.out != none && !c.dropped }

// gain is by how much a change lowers the norm of the loads, in parts of the mean.
// The norm stands for the load of the most loaded rank, and sees progress also
// while several ranks are loaded alike.
func (p *setPlan) gain(c change) float64 {
	p.shift(c)

	after := p.powers

	for _, r := range p.touched {
		if p.shifts[r] == 0 {
			continue
		}

		after += power((p.loads[r]+p.shifts[r])/p.mean) - p.rankPowers[r]
		p.shifts[r] = 0
	}

	p.touched = p.touched[:0]

	return p.norm - root(max(after, 0))
}

// weighRank takes in the load of a rank as it is now.
func (p *setPlan) weighRank(r int) {
	p.powers -= p.rankPowers[r]
	p.rankPowers[r] = power(p.loads[r] / max(p.mean, math.SmallestNonzeroFloat64))
	p.powers += p.rankPowers[r]
}

func power(x float64) float64 {
	x *= x
	x *= x

	return x * x
}

func root(x float64) float64 { return math.Sqrt(math.Sqrt(math.Sqrt(x))) }

// shift notes by how much the loads would change with c.
func (p *setPlan) shift(c change) {
	e, f := c.expert, c.out

	switch {
	case c.to == none:
		p.add(c.from, -p.part(e))
		p.spread(e, p.holders[e]-1, c.from)
	case c.dropped:
		p.add(c.from, -p.part(e))
		p.add(c.to, p.part(e)-p.part(f))
		p.spread(f, p.holders[f]-1, c.to)
	case c.moved && f == none:
		p.add(c.from, -p.part(e))
		p.add(c.to, p.part(e))
	case c.moved:
		diff := p.part(e) - p.part(f)
		p.add(c.from, -diff)
		p.add(c.to, diff)
	default:
		p.spread(e, p.holders[e]+1, none)
		p.add(c.to, p.demand[e]/float64(p.holders[e]+1))

		if f != none {
			p.add(c.to, -p.part(f))
			p.spread(f, p.holders[f]-1, c.to)
		}
	}
}

func (p *setPlan) add(r int, load float64) {
	p.touched = append(p.touched, r)
	p.shifts[r] += load * p.paces.at(r)
}

// spread changes the loads of e's holders but one as if it had n holders.
func (p *setPlan) spread(e, n, but int) {
	diff := p.demand[e]/float64(n) - p.part(e)

	for r := range p.loads {
		if r != but && p.holds(r, e) {
			p.add(r, diff)
		}
	}
}

// apply carries out the change that was found.
func (p *setPlan) apply(newAt []int) {
	c := p.next
	p.found = false

	p.shift(c)

	for _, r := range p.touched {
		p.loads[r] += p.shifts[r]
		p.shifts[r] = 0
		p.weighRank(r)
	}

	p.norm = root(p.powers)
	p.touched = p.touched[:0]

	if c.moved {
		p.drop(c.from, c.expert)
	}

	if c.out != none {
		p.drop(c.to, c.out)
	}

	if c.to != none {
		p.bring(c.to, c.expert, newAt)
	}

	if c.swaps() {
		p.bring(c.from, c.out, newAt)
	}
}

func (p *setPlan) drop(r, e int) {
	i := slices.Index(p.ranks[r], uint16(e))
	p.ranks[r] = slices.Delete(p.ranks[r], i, i+1)
	p.has[r*p.shape.Experts+e] = false
	p.holders[e]--
}

func (p *setPlan) bring(r, e int, newAt []int) {
	p.ranks[r] = append(p.ranks[r], uint16(e))
	p.has[r*p.shape.Experts+e] = true
	p.holders[e]++

	if p.isNew(r, e) {
		p.newHere[r]++
		newAt[r]++
	}
}
