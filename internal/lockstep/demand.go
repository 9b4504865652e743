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
	fresh  Demand // what the last look alone brought
	recent Demand
	long   Demand
	// usual is by how much a look usually differs from the recent demand, as learnt from
	// some looks.
	usual  float64
	learnt int
	// shiftedAt is when demand was last seen to shift.
	shiftedAt time.Time
}

const (
	// longMemory is how many times longer the long memory is.
	longMemory = 12
	// longShare is the part of the long memory in the demand.
	longShare = 0.15
)

// observe takes in all ranks' counts at now. It returns how many choices were new.
func (c *counter) observe(now time.Time, looks []PollResult) float64 {
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
	c.at, c.fresh = now, fresh

	// A look that saw the shift half way still holds choices from before it: what has
	// been counted since counts for no longer than the shift is ago.
	memory := min(c.memory, now.Sub(c.shiftedAt))

	if c.shifted(fresh) {
		c.shiftedAt = now
		memory = 0
	}

	c.recent.fold(fresh, age, memory)
	c.long.fold(fresh, age, c.memory*longMemory)

	return total
}

const (
	// leastShift is the part of the choices that must have gone to other experts for
	// what was counted before to be forgotten at once: a memory of a second would hide a
	// shift for as long. It is low enough for a large group, whose looks each hold a part
	// of the choices from before.
	leastShift = 0.04
	// shiftFactor is how many times further than usual that must be: requests that come
	// and go move a part of the choices as well, more in a small group.
	shiftFactor = 1.7
	// usualMemory is over how many looks the usual distance is averaged.
	usualMemory = 20
	// leastLearnt is how many looks tell what is usual. Until then nothing is, and all that
	// differs is learnt from.
	leastLearnt = 4
)

// shifted reports whether fresh differs from the recent demand far more than by the
// requests that came and went.
func (c *counter) shifted(fresh Demand) bool {
	distance := c.recent.distance(fresh)
	far := distance > max(leastShift, shiftFactor*c.usual)

	if (!far || c.learnt < leastLearnt) && distance > 0 {
		c.learnt = min(c.learnt+1, usualMemory)
		c.usual += (distance - c.usual) / float64(c.learnt)
	}

	return far
}

// distance returns the part of the choices that went to other experts, in the mean
// over the sets.
func (d Demand) distance(fresh Demand) float64 {
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

	return moved / max(sets, 1)
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
		fresh: newDemand(shape), recent: newDemand(shape), long: newDemand(shape),
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
