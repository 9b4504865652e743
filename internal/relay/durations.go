package relay

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/latency"
)

// durations learns how long requests of each service take, from arrival to the last byte, so
// that an entry that stops refuses what would not end before it does.
type durations struct{ services latency.Estimators[string] }

const (
	// durationWindow is over how many answers the mean is taken.
	durationWindow = 32
	// durationMargin is how many mean distances above the mean an answer may still take.
	durationMargin = 3
)

// observe takes in how long a whole answer took.
func (d *durations) observe(service string, took time.Duration) {
	d.services.Observe(service, took, durationWindow)
}

// expectedEnd says until when nearly all requests of a service that arrive at now have
// ended; now itself for a service that nothing is known of.
func (d *durations) expectedEnd(now time.Time, service string) time.Time {
	within, _ := d.services.UpperBound(service, durationMargin)

	return now.Add(within)
}
