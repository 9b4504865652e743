// Package spread learns how long something usually takes, and how far from that it
// strays, so that waiting longer tells something.
package spread

import "time"

// Spread is a running mean of durations and their mean distance from it. Its zero value
// is ready and knows nothing.
type Spread struct {
	Mean     time.Duration
	Distance time.Duration

	seen int
}

// Learn takes in one duration. The mean is over some memory durations, or over all
// where fewer were seen.
func (s *Spread) Learn(d time.Duration, memory int) {
	s.seen = min(s.seen+1, memory)
	if s.seen == 1 {
		s.Mean = d

		return
	}

	s.Distance += ((d - s.Mean).Abs() - s.Distance) / time.Duration(s.seen)
	s.Mean += (d - s.Mean) / time.Duration(s.seen)
}

// Within returns a duration that few exceed: margin mean distances above the mean. It
// reports false where nothing was learnt.
func (s *Spread) Within(margin int) (time.Duration, bool) {
	return s.Mean + time.Duration(margin)*s.Distance, s.seen > 0
}
