package agent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Drain refuses new work as not run, lets all in flight finish, and then ends
// Run. An ended ctx gives up waiting and returns its error; Run goes on then.
func (a *Agent) Drain(ctx context.Context) error {
	a.prepare()
	a.admitter.drain()
	a.orders.drain()
	a.Logger.Info("Agent is leaving.")

	t := time.NewTicker(a.Settings.TickInterval)
	defer t.Stop()

	for !a.idle() {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "requests are still in flight")
		case <-t.C:
		}
	}

	var err error

	a.shutdownOnce.Do(func() {
		<-a.listening

		err = a.server.Shutdown(ctx)
		close(a.drained)
	})

	return eris.Wrap(err, "shut the server down")
}

// idle reports whether a leaving agent may go: nothing is in flight, no order is at
// the engine, and no entry may still ask for an answer that didn't reach it.
//
// A request leaves the core before its answer has gone out. Between the two, only the
// exchange knows that the answer may not arrive: an agent that looked at the core alone
// left then, and a booking that ran was reported as one that may have run. An exchange
// writes keepUntil before it closes, so that is read last.
func (a *Agent) idle() bool {
	_, runningOrder := a.orders.fencingNumbers()
	now := a.Now()

	return runningOrder == 0 && a.admitter.drained(now) && a.openExchanges.Load() == 0 && now.UnixNano() >= a.answerQueriesUntil.Load()
}

// recordUndelivered notes that an answer didn't reach its entry, which may ask for it
// over another connection. An agent that left at once would make a booking that
// ran into one that may have run.
func (a *Agent) recordUndelivered(now time.Time) {
	a.answerQueriesUntil.Store(now.Add(a.Settings.AttemptQueryWait).UnixNano())
}
