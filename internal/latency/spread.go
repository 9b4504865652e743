// Package latency learns how long something usually takes, and how far from that it
// strays, so that waiting longer tells something.
package latency

import "time"

// Estimator is a running mean of durations and their mean distance from it. Its zero value
// is ready and knows nothing.
type Estimator struct {
	Mean      time.Duration
	Deviation time.Duration

	seen int
}

// Observe takes in one duration. The mean is over some memory durations, or over all
// where fewer were seen.
func (s *Estimator) Observe(d time.Duration, memory int) {
	s.seen = min(s.seen+1, memory)
	if s.seen == 1 {
		s.Mean = d

		return
	}

	s.Deviation += ((d - s.Mean).Abs() - s.Deviation) / time.Duration(s.seen)
	s.Mean += (d - s.Mean) / time.Duration(s.seen)
}

// UpperBound returns a duration that few exceed: margin mean distances above the mean. It
// reports false where nothing was learnt.
func (s *Estimator) UpperBound(margin int) (time.Duration, bool) {
	return s.Mean + time.Duration(margin)*s.Deviation, s.seen > 0
}
