package fairness

import (
	"math"
	"time"
)

// service learns how long a request of cost 1 holds a slot.
type service struct {
	mean      float64
	deviation float64
	samples   int
}

// The weight of one new sample, once enough have been seen.
const serviceSample = 0.05

// learn takes in one finished request.
func (s *service) learn(d time.Duration, cost float64) {
	x := float64(d) / cost
	s.samples++

	weight := max(serviceSample, 1/float64(s.samples))
	s.deviation += weight * (math.Abs(x-s.mean) - s.deviation)

	if s.samples == 1 {
		s.deviation = x / 2
	}

	s.mean += weight * (x - s.mean)
}

// work is the expected time in a slot, in nanoseconds.
func (s *service) work(cost float64) float64 { return s.mean * cost }

// samplesNeeded is how many requests must have ended before any is given up for
// what they took. A first guess that is too long would else refuse all requests
// with short deadlines, and never be corrected.
const samplesNeeded = 5

// needs is the time that a request should have left when it starts: that many
// mean deviations beyond the mean.
func (s *service) needs(cost, margin float64) time.Duration {
	if s.samples < samplesNeeded {
		return 0
	}

	return time.Duration(max(0, s.mean+margin*s.deviation) * cost)
}
