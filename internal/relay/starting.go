package relay

import (
	"context"
	"time"
)

// The load pattern here is callers at an entry that has just started, after a loss of
// power of all VMs as a rule: everyone whose request was cut comes back within the same
// second, most with one try left. The configuration is there some hundred milliseconds
// later, so who is refused meanwhile loses that try, though there was time to serve it.

const (
	// startWait is how long a caller of an entry without a configuration waits for one at
	// most: control VMs that start together agree on a leader in less.
	startWait = time.Second
	// startShare is the part of a caller's time that it may wait so, as a divisor.
	startShare = 4
)

// awaitTable waits for the first configuration, as long as that is worth the caller's
// time. An entry that has lost touch with the control VMs keeps the configuration that
// it has, so this is at its start alone.
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
