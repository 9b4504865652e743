package lockstep

import (
	"math"
	"slices"
	"time"
)

// demandEstimator estimates the current demand for experts from counters that only grow.
// Running requests continue for a while, so recent choices predict the next ones best; a small
// share of a long-term average covers demand that comes and goes.
type demandEstimator struct {
	shape Shape
	// decay is the time constant by which recent counts decay.
	decay time.Duration

	lastCounts [][]uint64 // by rank, from the latest poll
	observedAt time.Time
	latest     Demand // increase of the counts in the latest poll
	recent     Demand
	longTerm   Demand
	// baselineDistance is the mean distance between the counts of one poll and recent, over
	// baselineSamples polls.
	baselineDistance float64
	baselineSamples  int
	// lastShift is when a shift of demand was last detected.
	lastShift time.Time
}

const (
	// longDecayFactor is the ratio of the long-term decay to the recent one.
	longDecayFactor = 12
	// longTermWeight is the share of the long-term counts in the expected demand.
	longTermWeight = 0.15
)

// observe adds the counts of all ranks as of now. It returns how many expert choices are new.
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

	// A poll taken halfway through a shift still contains choices from before it. Limiting the
	// decay to the time since the shift makes these choices fade quickly.
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
	// minShift is the smallest share of choices that must have moved to other experts before
	// earlier counts are dropped immediately. Without that, a decay of one second would hide a
	// shift for as long. The value is low enough for a large group, where each poll contains
	// some choices from before the shift.
	minShift = 0.04
	// shiftFactor is how many times larger than the baseline distance the distance of a shift
	// must be. Turnover of requests also moves some of the choices, more so in a small group.
	shiftFactor = 1.7
	// baselineWindow is the number of polls in the baseline distance.
	baselineWindow = 20
	// minBaselineSamples is the number of polls needed for a baseline. Until then every
	// distance is added to it.
	minBaselineSamples = 4
)

// shifted reports whether latest differs from the recent demand by much more than turnover of
// requests explains.
func (c *demandEstimator) shifted(latest Demand) bool {
	distance := c.recent.distance(latest)
	exceeds := distance > max(minShift, shiftFactor*c.baselineDistance)

	if (!exceeds || c.baselineSamples < minBaselineSamples) && distance > 0 {
		c.baselineSamples = min(c.baselineSamples+1, baselineWindow)
		c.baselineDistance += (distance - c.baselineDistance) / float64(c.baselineSamples)
	}

	return exceeds
}

// distance returns the share of choices that moved to other experts, averaged over the sets.
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

// decayAndAdd adds latest to d, whose earlier counts decay to 1/e within decay, or to nothing
// if decay is 0.
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

// demand returns the expected share of each expert.
func (c *demandEstimator) demand() Demand {
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

// seed sets the demand that is expected until the first counts, and returns false if it does
// not have the shape of the group. Counts outweigh it at once, because it stands for few choices.
func (c *demandEstimator) seed(d Demand) bool {
	if len(d) != c.shape.Sets || slices.ContainsFunc(d, func(set []float64) bool { return len(set) != c.shape.Experts }) {
		return false
	}

	for s := range d {
		copy(c.recent[s], d[s])
		copy(c.longTerm[s], d[s])
	}

	return true
}

// known returns the expected demand, or nil if there were no counts.
func (c *demandEstimator) known() Demand {
	if sum(c.recent[0]) == 0 {
		return nil
	}

	return c.demand()
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
