package fairness

import (
	"math"
	"time"
)

// serviceEstimate estimates how long a request of cost 1 occupies a slot.
type serviceEstimate struct {
	mean      float64
	deviation float64
	samples   int
}

// minSampleWeight is the weight of a new sample once there are enough samples.
const minSampleWeight = 0.05

// record adds the duration of a completed request.
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

// expected returns the expected time in a slot, in nanoseconds.
func (s *serviceEstimate) expected(cost float64) float64 { return s.mean * cost }

// minSamples is how many requests must have completed before any is refused by the
// estimate. Otherwise an initial value that is too high would refuse all requests with
// short deadlines and never be corrected.
const minSamples = 5

// required returns the time that a request should have left when it starts: the mean
// plus margin mean deviations.
func (s *serviceEstimate) required(cost, margin float64) time.Duration {
	if s.samples < minSamples {
		return 0
	}

	return time.Duration(max(0, s.mean+margin*s.deviation) * cost)
}
