// Package latency estimates how long an operation usually takes and how much that varies,
// so that an unusually long wait can be detected.
package latency

import "time"

// Estimator tracks the running mean of durations and their mean absolute deviation. The
// zero value is ready to use.
type Estimator struct {
	Mean      time.Duration
	Deviation time.Duration

	samples int
}

// Observe adds a duration. The averages are taken over about window durations, or over all
// while there are fewer.
func (e *Estimator) Observe(d time.Duration, window int) {
	e.samples = min(e.samples+1, window)
	if e.samples == 1 {
		e.Mean = d

		return
	}

	e.Deviation += ((d - e.Mean).Abs() - e.Deviation) / time.Duration(e.samples)
	e.Mean += (d - e.Mean) / time.Duration(e.samples)
}

// UpperBound returns a duration that few observations exceed: the mean plus the given
// number of mean deviations. It returns false if there are no observations.
func (e *Estimator) UpperBound(deviations int) (time.Duration, bool) {
	return e.Mean + time.Duration(deviations)*e.Deviation, e.samples > 0
}
