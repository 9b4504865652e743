// Package latency learns how long something usually takes, and how far from that it
// strays, so that waiting longer tells something.
package latency

import "time"

// Estimator is a running mean of durations and their mean distance from it. Its zero value
// is ready and knows nothing.
type Estimator struct {
	Mean      time.Duration
	Deviation time.Duration

	samples int
}

// Observe takes in one duration. The mean is over some memory durations, or over all
// where fewer were seen.
func (s *Estimator) Observe(d time.Duration, window int) {
	s.samples = min(s.samples+1, window)
	if s.samples == 1 {
		s.Mean = d

		return
	}

	s.Deviation += ((d - s.Mean).Abs() - s.Deviation) / time.Duration(s.samples)
	s.Mean += (d - s.Mean) / time.Duration(s.samples)
}

// UpperBound returns a duration that few exceed: margin mean distances above the mean. It
// reports false where nothing was learnt.
func (s *Estimator) UpperBound(deviations int) (time.Duration, bool) {
	return s.Mean + time.Duration(deviations)*s.Deviation, s.samples > 0
}
