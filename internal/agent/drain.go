package agent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Drain refuses new requests as not run, waits for those in flight and then makes Run return.
// If ctx ends first, Drain returns its error and Run continues.
func (a *Agent) Drain(ctx context.Context) error {
	a.prepare()
	a.admitter.drain()
	a.orders.drain()
	a.Logger.Info("Draining: refusing new requests and waiting for those in flight.")

	t := time.NewTicker(a.Settings.TickInterval)
	defer t.Stop()

	for !a.idle() {
		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "drain ended with requests or orders still in flight")
		case <-t.C:
		}
	}

	var err error

	a.shutdownOnce.Do(func() {
		<-a.listening

		err = a.server.Shutdown(ctx)
		close(a.drained)
	})

	return eris.Wrap(err, "shut down the HTTP server")
}

// idle reports whether a draining agent may stop: no request is in flight, no order is at the
// engine, and no entry may still query a response that it did not receive.
//
// The admission core releases a request before its response has been written. In between, only
// the exchange shows that the response may not arrive. If the agent stopped then, a request
// that ran would be reported as one that may have run. An exchange sets answerQueriesUntil
// before it decrements openExchanges, so answerQueriesUntil must be read last.
func (a *Agent) idle() bool {
	_, runningOrder := a.orders.fencingNumbers()
	now := a.Now()

	return runningOrder == 0 && a.admitter.drained(now) && a.openExchanges.Load() == 0 && now.UnixNano() >= a.answerQueriesUntil.Load()
}

// recordUndelivered keeps a draining agent up for AttemptQueryWait, so that the entry that did
// not receive a response can query it over another connection. Otherwise a request that ran
// would be reported as one that may have run.
func (a *Agent) recordUndelivered(now time.Time) {
	a.answerQueriesUntil.Store(now.Add(a.Settings.AttemptQueryWait).UnixNano())
}
