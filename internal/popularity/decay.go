package popularity

import (
	"math"
	"slices"
	"time"
)

// correlation is the correlation between the experts' deviations from an equal
// share in the estimate and those in the next window.
type correlation struct {
	xy, xx, yy float64
}

func (c *correlation) add(x, y float64) {
	c.xy += x * y
	c.xx += x * x
	c.yy += y * y
}

// value returns the correlation, or 0 if there are no deviations.
func (c *correlation) value() float64 {
	if c.xx <= 0 || c.yy <= 0 {
		return 0
	}

	return c.xy / math.Sqrt(c.xx*c.yy)
}

// correlationLag returns the effective lag between an exponential average and
// the next window. The average weights the window k intervals ago by
// gain*(1-gain)^k. The formula is the first-order approximation of the
// correlation for popularity that decays slowly compared with the interval.
func correlationLag(interval time.Duration, gain float64) time.Duration {
	return time.Duration(float64(interval) * (1 + (1-gain)/2*(1/gain-1/(2-gain))))
}

// decaySamples is the number of windows from which the decay is estimated.
// Their median is used: with a mean, one sudden shift would make the estimate
// so short that no map seems worth its moves, just when a new one is.
const decaySamples = 9

// decayEstimate estimates the time constant with which popularity changes.
type decayEstimate struct {
	samples []time.Duration
}

// observe adds a sample from the correlation at a lag. If popularity decays as
// exp(-t/decay), then decay = -lag/ln(correlation).
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

// value returns the median of the samples, or maxDecay if there are none.
func (e *decayEstimate) value(maxDecay time.Duration) time.Duration {
	if len(e.samples) == 0 {
		return maxDecay
	}
	sorted := slices.Clone(e.samples)
	slices.Sort(sorted)

	return min(maxDecay, sorted[len(sorted)/2])
}
