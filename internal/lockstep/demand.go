package lockstep

import (
	"math"
	"time"
)

// demandEstimator turns counts that only grow into the demand of now. What runs now runs
// on for a while, so what was chosen lately tells best what is chosen next; a part
// of a longer memory is kept for what comes and goes.
type demandEstimator struct {
	shape Shape
	// decay is over how long the recent demand counts.
	decay time.Duration

	lastCounts [][]uint64 // by rank, as read last
	observedAt time.Time
	latest     Demand // what the last look alone brought
	recent     Demand
	longTerm   Demand
	// baselineDistance is by how much a look usually differs from the recent demand, as learnt from
	// some looks.
	baselineDistance float64
	baselineSamples  int
	// lastShift is when demand was last seen to shift.
	lastShift time.Time
}

const (
	// longDecayFactor is how many times longer the long memory is.
	longDecayFactor = 12
	// longTermWeight is the part of the long memory in the demand.
	longTermWeight = 0.15
)

// observe takes in all ranks' counts at now. It returns how many choices were new.
func (c *demandEstimator) observe(now time.Time, polls []PollResult) float64 {
	latest := newDemand(c.shape)
	total := 0.0

	for r := range polls {
		counts := polls[r].Counts
		if len(counts) != c.shape.Sets*c.shape.Experts {
			continue
		}

		if c.lastCounts[r] != nil && counts[0] >= c.lastCounts[r][0] {
			for i, n := range counts {
				if n >= c.lastCounts[r][i] {
					v := float64(n - c.lastCounts[r][i])
					latest[i/c.shape.Experts][i%c.shape.Experts] += v
					total += v
				}
			}
		}

		c.lastCounts[r] = counts
	}

	elapsed := now.Sub(c.observedAt)
	c.observedAt, c.latest = now, latest

	// A look that saw the shift half way still holds choices from before it: what has
	// been counted since counts for no longer than the shift is ago.
	decay := min(c.decay, now.Sub(c.lastShift))

	if c.shifted(latest) {
		c.lastShift = now
		decay = 0
	}

	c.recent.decayAndAdd(latest, elapsed, decay)
	c.longTerm.decayAndAdd(latest, elapsed, c.decay*longDecayFactor)

	return total
}

const (
	// minShift is the part of the choices that must have gone to other experts for
	// what was counted before to be forgotten at once: a memory of a second would hide a
	// shift for as long. It is low enough for a large group, whose looks each hold a part
	// of the choices from before.
	minShift = 0.04
	// shiftFactor is how many times further than usual that must be: requests that come
	// and go move a part of the choices as well, more in a small group.
	shiftFactor = 1.7
	// baselineWindow is over how many looks the usual distance is averaged.
	baselineWindow = 20
	// minBaselineSamples is how many looks tell what is usual. Until then nothing is, and all that
	// differs is learnt from.
	minBaselineSamples = 4
)

// shifted reports whether fresh differs from the recent demand far more than by the
// requests that came and went.
func (c *demandEstimator) shifted(latest Demand) bool {
	distance := c.recent.distance(latest)
	exceeds := distance > max(minShift, shiftFactor*c.baselineDistance)

	if (!exceeds || c.baselineSamples < minBaselineSamples) && distance > 0 {
		c.baselineSamples = min(c.baselineSamples+1, baselineWindow)
		c.baselineDistance += (distance - c.baselineDistance) / float64(c.baselineSamples)
	}

	return exceeds
}

// distance returns the part of the choices that went to other experts, in the mean
// over the sets.
func (d Demand) distance(latest Demand) float64 {
	moved, sets := 0.0, 0.0

	for s := range d {
		before, now := sum(d[s]), sum(latest[s])
		if before == 0 || now == 0 {
			continue
		}

		sets++

		for e := range d[s] {
			moved += math.Abs(d[s][e]/before-latest[s][e]/now) / 2
		}
	}

	return moved / max(sets, 1)
}

// decayAndAdd adds fresh to d, of which a part of 1/e is left after memory, and nothing
// where memory is 0.
func (d Demand) decayAndAdd(latest Demand, elapsed, decay time.Duration) {
	retained := 0.0
	if decay > 0 {
		retained = math.Exp(-float64(elapsed) / float64(decay))
	}

	for s := range d {
		for e := range d[s] {
			d[s][e] = d[s][e]*retained + latest[s][e]
		}
	}
}

// expected returns the expected shares.
func (c *demandEstimator) expected() Demand {
	out := newDemand(c.shape)

	for s := range out {
		recent, longTerm := sum(c.recent[s]), sum(c.longTerm[s])

		for e := range out[s] {
			if recent > 0 {
				out[s][e] += (1 - longTermWeight) * c.recent[s][e] / recent
			}

			if longTerm > 0 {
				out[s][e] += longTermWeight * c.longTerm[s][e] / longTerm
			}
		}
	}

	return out
}

func newDemandEstimator(shape Shape, decay time.Duration) *demandEstimator {
	return &demandEstimator{
		shape: shape, decay: decay, lastCounts: make([][]uint64, shape.Ranks), observedAt: time.Now(),
		latest: newDemand(shape), recent: newDemand(shape), longTerm: newDemand(shape),
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
