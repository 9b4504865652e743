package relay

import (
	"context"
	"time"
)

const (
	// maxStartupWait is how long a caller of an entry without a configuration waits for one at
	// most.
	maxStartupWait = time.Second
	// startupWaitDivisor is the part of a caller's time that it may wait so, as a divisor.
	startupWaitDivisor = 4
)

// awaitConfiguration waits for the first configuration, as long as that is worth the caller's
// time: after a loss of power callers come back before the control VMs have a leader,
// most with one retry left. An entry that loses touch later keeps its configuration.
func (r *Relay) awaitConfiguration(ctx context.Context, now, deadline time.Time) {
	until := now.Add(maxStartupWait)

	if !deadline.IsZero() {
		if capped := now.Add(deadline.Sub(now) / startupWaitDivisor); capped.Before(until) {
			until = capped
		}
	}

	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()

	select {
	case <-r.configured:
	case <-ctx.Done():
	}
}
