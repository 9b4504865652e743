package relay

import (
	"context"
	"time"
)

const (
	// startWait is how long a caller of an entry without a configuration waits for one at
	// most.
	startWait = time.Second
	// startShare is the part of a caller's time that it may wait so, as a divisor.
	startShare = 4
)

// awaitTable waits for the first configuration, as long as that is worth the caller's
// time: after a loss of power callers come back before the control VMs have a leader,
// most with one retry left. An entry that loses touch later keeps its configuration.
func (r *Relay) awaitTable(ctx context.Context, now, deadline time.Time) {
	until := now.Add(startWait)

	if !deadline.IsZero() {
		if share := now.Add(deadline.Sub(now) / startShare); share.Before(until) {
			until = share
		}
	}

	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()

	select {
	case <-r.configured:
	case <-ctx.Done():
	}
}
