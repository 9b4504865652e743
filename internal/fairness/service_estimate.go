package fairness

import (
	"math"
	"time"
)

// serviceEstimate learns how long a request of cost 1 holds a slot.
type serviceEstimate struct {
	mean      float64
	deviation float64
	samples   int
}

// The weight of one new sample, once enough have been seen.
const minSampleWeight = 0.05

// record takes in one finished request.
func (s *serviceEstimate) record(d time.Duration, cost float64) {
	x := float64(d) / cost
	s.samples++

	weight := max(minSampleWeight, 1/float64(s.samples))
	s.deviation += weight * (math.Abs(x-s.mean) - s.deviation)

	if s.samples == 1 {
		s.deviation = x / 2
	}

	s.mean += weight * (x - s.mean)
}

// expected is the expected time in a slot, in nanoseconds.
func (s *serviceEstimate) expected(cost float64) float64 { return s.mean * cost }

// minSamples is how many requests must have ended before any is given up for
// what they took. A first guess that is too long would else refuse all requests
// with short deadlines, and never be corrected.
const minSamples = 5

// required is the time that a request should have left when it starts: that many
// mean deviations beyond the mean.
func (s *serviceEstimate) required(cost, margin float64) time.Duration {
	if s.samples < minSamples {
		return 0
	}

	return time.Duration(max(0, s.mean+margin*s.deviation) * cost)
}
