package relay

import (
	"context"
	"time"
)

const (
	// maxStartupWait bounds how long a request waits at an entry that has no configuration yet.
	maxStartupWait = time.Second
	// startupWaitDivisor bounds that wait to the caller's remaining time divided by it.
	startupWaitDivisor = 4
)

// awaitConfiguration waits for the first configuration, up to a part of the caller's time.
// After a power loss callers retry before the control VMs have elected a leader, most of them
// with one retry left. An entry that loses its connection later keeps its configuration.
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
