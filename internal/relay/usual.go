package relay

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/spread"
)

// usual learns how long requests of each service take, from arrival to the last byte.
//
// The load pattern is an entry that stops while it is busy. The balancer goes on sending
// it callers for two seconds or so, and a draft that begins then may end after the entry
// had to: its caller waits for most of the stop and loses the answer all the same. Such
// a request is refused at once, as not run, and is served whole by another entry.
type usual struct{ services spread.Table[string] }

const (
	// usualMemory is over how many answers the mean is taken: a second or two of an
	// entry's drafts, so that it follows the load.
	usualMemory = 32
	// usualMargin is how many mean distances above the mean an answer may still take:
	// one in twenty of an exponential tail takes longer.
	usualMargin = 3
)

// learn takes in how long a whole answer took.
func (u *usual) learn(service string, took time.Duration) {
	u.services.Learn(service, took, usualMemory)
}

// endsBy says until when nearly all requests of a service that arrive at now have
// ended; now itself for a service that nothing is known of.
func (u *usual) endsBy(now time.Time, service string) time.Time {
	within, _ := u.services.Within(service, usualMargin)

	return now.Add(within)
}
