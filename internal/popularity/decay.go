package popularity

import (
	"math"
	"slices"
	"time"
)

// correlation compares the experts' deviations from an even share in the
// estimate with those in the next window.
type correlation struct {
	xy, xx, yy float64
}

func (c *correlation) add(x, y float64) {
	c.xy += x * y
	c.xx += x * x
	c.yy += y * y
}

// value is the correlation, or 0 where nothing deviates.
func (c *correlation) value() float64 {
	if c.xx <= 0 || c.yy <= 0 {
		return 0
	}

	return c.xy / math.Sqrt(c.xx*c.yy)
}

// correlationLag is the time that the correlation of an average with the next
// window spans. The average has weights gain*(1-gain)^k; for popularity that
// decays slowly against the interval, the first order of the correlation gives
// this.
func correlationLag(interval time.Duration, gain float64) time.Duration {
	return time.Duration(float64(interval) * (1 + (1-gain)/2*(1/gain-1/(2-gain))))
}

// decaySamples is how many windows the estimate of a life looks back on. Their
// median counts, so that one sudden shift among them does not make the planner
// believe that no map is worth its moves, just when one is.
const decaySamples = 9

// decayEstimate estimates how long popularity keeps its shape.
type decayEstimate struct {
	samples []time.Duration
}

// observe takes in the correlation over an age. Where popularity decays as
// exp(-t/life), the life is -age/ln(correlation).
func (e *decayEstimate) observe(c correlation, lag, maxDecay time.Duration) {
	if c.xx <= 0 || lag <= 0 {
		return
	}
	sample := maxDecay
	if v := c.value(); v <= 0 {
		sample = lag
	} else if decay := -lag.Seconds() / math.Log(v); v < 1 && decay < maxDecay.Seconds() {
		sample = time.Duration(decay * float64(time.Second))
	}
	e.samples = append(e.samples, max(sample, lag))
	if len(e.samples) > decaySamples {
		e.samples = e.samples[1:]
	}
}

// value is the median of the samples, or most before the first.
func (e *decayEstimate) value(maxDecay time.Duration) time.Duration {
	if len(e.samples) == 0 {
		return maxDecay
	}
	sorted := slices.Clone(e.samples)
	slices.Sort(sorted)

	return min(maxDecay, sorted[len(sorted)/2])
}
