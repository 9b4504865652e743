package relay

import (
	"context"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// checkStop returns an error if this entry is stopping, and the request is not expected to end in time if it is sent now.
func (p *proxiedRequest) checkStop() error {
	stopsAt, stopping := p.relay.StopsAt()
	now := p.relay.Now()

	if !stopping || p.relay.durations.expectedEnd(now, p.service).Before(stopsAt) {
		return nil
	}

	return p.stopRefusal()
}

// stopRefusal refuses a request because this entry stops.
func (p *proxiedRequest) stopRefusal() *verdict.Error {
	return verdict.Refuse(verdict.CauseStopping, p.relay.Now().Add(p.relay.Settings.MinRetryAfter))
}

// closeWhileStopping announces the end of the connection if this entry is stopping.
func (p *proxiedRequest) closeWhileStopping() {
	if _, stopping := p.relay.StopsAt(); stopping {
		p.w.Header().Set("Connection", "close")
	}
}

// BeginStop must be called once StopsAt reports that this entry is stopping.
func (r *Relay) BeginStop() { r.beginStop() }

// EndRequests ends the requests in flight, as this entry is about to end. Their callers get 502 if they may have run, and 503 otherwise.
// Streams that have begun are cut.
func (r *Relay) EndRequests() { r.endRequests() }

// stopTimer calls a function when a request that waits can no longer be sent in time.
type stopTimer struct {
	mu    sync.Mutex
	timer *time.Timer
	done  bool
}

// whenTooLate calls late, unless the returned function was called before, once this entry is stopping and the request is not
// expected to end in time if it is sent later.
func (p *proxiedRequest) whenTooLate(late func()) (stop func()) {
	t := &stopTimer{}

	unwatch := context.AfterFunc(p.relay.stopBegun, func() {
		stopsAt, _ := p.relay.StopsAt()
		now := p.relay.Now()
		wait := stopsAt.Sub(p.relay.durations.expectedEnd(now, p.service))

		t.mu.Lock()
		defer t.mu.Unlock()

		if !t.done {
			t.timer = time.AfterFunc(wait, func() { t.call(late) })
		}
	})

	return func() {
		unwatch()

		t.mu.Lock()
		defer t.mu.Unlock()

		t.done = true

		if t.timer != nil {
			t.timer.Stop()
		}
	}
}

// call calls late unless the wait is over.
func (t *stopTimer) call(late func()) {
	t.mu.Lock()
	defer t.mu.Unlock()

	if !t.done {
		late()
	}
}
