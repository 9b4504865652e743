package relay

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/latency"
)

// usual learns how long requests of each service take, from arrival to the last byte, so
// that an entry that stops refuses what would not end before it does.
type usual struct{ services latency.Estimators[string] }

const (
	// usualMemory is over how many answers the mean is taken.
	usualMemory = 32
	// usualMargin is how many mean distances above the mean an answer may still take.
	usualMargin = 3
)

// learn takes in how long a whole answer took.
func (u *usual) learn(service string, took time.Duration) {
	u.services.Observe(service, took, usualMemory)
}

// endsBy says until when nearly all requests of a service that arrive at now have
// ended; now itself for a service that nothing is known of.
func (u *usual) endsBy(now time.Time, service string) time.Time {
	within, _ := u.services.UpperBound(service, usualMargin)

	return now.Add(within)
}
