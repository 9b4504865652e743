package relay

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/latency"
)

// durations estimates how long requests of each service take, from when they have been read to the last byte.
// A stopping entry refuses requests that would not finish before it ends.
type durations struct{ services latency.Estimators[string] }

const (
	// durationWindow is the number of answers over which the mean is taken.
	durationWindow = 32
	// durationMargin is how many mean deviations above the mean an answer is expected to take
	// at most.
	durationMargin = 3
)

// observe records the duration of a completed request.
func (d *durations) observe(service string, took time.Duration) {
	d.services.Observe(service, took, durationWindow)
}

// expectedEnd returns when nearly all requests of a service that are sent at now will have
// ended. For a service without observations it returns now.
func (d *durations) expectedEnd(now time.Time, service string) time.Time {
	upperBound, _ := d.services.UpperBound(service, durationMargin)

	return now.Add(upperBound)
}
