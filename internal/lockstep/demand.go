package lockstep

import (
	"math"
	"time"
)

// counter turns counts that only grow into the demand of now. What runs now runs
// on for a while, so what was chosen lately tells best what is chosen next; a part
// of a longer memory is kept for what comes and goes.
type counter struct {
	shape Shape
	// memory is over how long the recent demand counts.
	memory time.Duration

	last   [][]uint64 // by rank, as read last
	at     time.Time
	recent Demand
	long   Demand
}

const (
	// longMemory is how many times longer the long memory is.
	longMemory = 12
	// longShare is the part of the long memory in the demand.
	longShare = 0.15
)

// observe takes in all ranks' counts at now. It returns how many choices were new.
func (c *counter) observe(now time.Time, looks []Look) float64 {
	fresh := newDemand(c.shape)
	total := 0.0

	for r := range looks {
		counts := looks[r].Counts
		if len(counts) != c.shape.Sets*c.shape.Experts {
			continue
		}

		if c.last[r] != nil && counts[0] >= c.last[r][0] {
			for i, n := range counts {
				if n >= c.last[r][i] {
					v := float64(n - c.last[r][i])
					fresh[i/c.shape.Experts][i%c.shape.Experts] += v
					total += v
				}
			}
		}

		c.last[r] = counts
	}

	age := now.Sub(c.at)
	c.at = now

	memory := c.memory
	if c.recent.shifted(fresh) {
		memory = 0
	}

	c.recent.fold(fresh, age, memory)
	c.long.fold(fresh, age, c.memory*longMemory)

	return total
}

// shiftDistance is the part of the choices that must have gone to other experts
// for what was counted before to be forgotten at once. Requests that come and go
// move a tenth; a memory of a second would hide a shift for as long.
const shiftDistance = 0.25

// shifted reports whether fresh differs from d far more than by the requests that
// came and went.
func (d Demand) shifted(fresh Demand) bool {
	moved, sets := 0.0, 0.0

	for s := range d {
		before, now := sum(d[s]), sum(fresh[s])
		if before == 0 || now == 0 {
			continue
		}

		sets++

		for e := range d[s] {
			moved += math.Abs(d[s][e]/before-fresh[s][e]/now) / 2
		}
	}

	return sets > 0 && moved/sets > shiftDistance
}

// fold adds fresh to d, of which a part of 1/e is left after memory, and nothing
// where memory is 0.
func (d Demand) fold(fresh Demand, age, memory time.Duration) {
	keep := 0.0
	if memory > 0 {
		keep = math.Exp(-float64(age) / float64(memory))
	}

	for s := range d {
		for e := range d[s] {
			d[s][e] = d[s][e]*keep + fresh[s][e]
		}
	}
}

// demand returns the expected shares.
func (c *counter) demand() Demand {
	out := newDemand(c.shape)

	for s := range out {
		recent, long := sum(c.recent[s]), sum(c.long[s])

		for e := range out[s] {
			if recent > 0 {
				out[s][e] += (1 - longShare) * c.recent[s][e] / recent
			}

			if long > 0 {
				out[s][e] += longShare * c.long[s][e] / long
			}
		}
	}

	return out
}

func newCounter(shape Shape, memory time.Duration) *counter {
	return &counter{
		shape: shape, memory: memory, last: make([][]uint64, shape.Ranks), at: time.Now(),
		recent: newDemand(shape), long: newDemand(shape),
	}
}

func newDemand(shape Shape) Demand {
	d := make(Demand, shape.Sets)
	for s := range d {
		d[s] = make([]float64, shape.Experts)
	}

	return d
}

func sum(v []float64) float64 {
	t := 0.0
	for _, x := range v {
		t += x
	}

	return t
}
