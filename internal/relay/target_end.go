package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const (
	// soundEvents is the number of events after which an answer has begun properly: its request did
	// not end the target as that began to answer it.
	soundEvents = 2
	// endCheckWait bounds how long a request whose answer broke off waits to hear whether its target
	// has ended.
	endCheckWait = 50 * time.Millisecond
	// endCheckDelay is after what time a target that accepted a connection is checked again. One that
	// is ending may close its connections before its listener.
	endCheckDelay = 100 * time.Millisecond
)

// endChecks finds out whether targets whose answers broke off have ended. Requests to one target that
// break off together share a check.
type endChecks struct {
	mu      sync.Mutex
	current map[targetclient.Target]*endCheck
}

type endCheck struct {
	// listening is closed if the target accepted a connection at first. done is closed once ended is
	// final.
	listening, done chan struct{}
	ended           bool
}

// start returns the check of a target that is under way, or begins one.
func (e *endChecks) start(target targetclient.Target, hasEnded func() bool) *endCheck {
	e.mu.Lock()
	defer e.mu.Unlock()

	if c := e.current[target]; c != nil {
		return c
	}

	if e.current == nil {
		e.current = make(map[targetclient.Target]*endCheck)
	}

	c := &endCheck{listening: make(chan struct{}), done: make(chan struct{})}
	e.current[target] = c

	go func() {
		if c.ended = hasEnded(); !c.ended {
			close(c.listening)
			time.Sleep(endCheckDelay)

			c.ended = hasEnded()
		}

		e.mu.Lock()
		defer e.mu.Unlock()

		delete(e.current, target)
		close(c.done)
	}()

	return c
}

// brokenAttempt is an attempt whose answer broke off before it had begun properly.
type brokenAttempt struct {
	placed         dispatch.Action
	brokenAt       time.Time
	parts          []quarantine.Part
	ids            []string
	request, route string
}

// recordTargetEnd records that the target of an attempt has ended.
func (r *Relay) recordTargetEnd(a *brokenAttempt) {
	t := &a.placed.Target
	end := quarantine.End{Target: t.ID, StartTime: t.StartTime, Group: t.Group, At: a.brokenAt}

	for i, part := range a.parts {
		end.Candidates = append(end.Candidates, quarantine.Candidate{Part: part, Depth: i, SentAt: a.placed.PlacedAt})
	}

	r.counters.targetEnds.Add(1)
	r.prompts.record(end, a.ids)

	if r.targetStatements.Allow(r.Now()) {
		r.Logger.Warn("Target ended while it had a request.", "target", t.ID, "zone", t.Zone, "group", t.Group, "service", t.Service,
			"parts", a.ids, "sentAgo", a.brokenAt.Sub(a.placed.PlacedAt).Round(time.Millisecond), "request", a.request, "route", a.route)
	}
}

// checkTargetEnd finds out whether the target of the last attempt has ended, if its answer to a request
// with a shared prompt broke off before it had begun properly. The request waits for that only briefly.
func (p *proxiedRequest) checkTargetEnd(ctx context.Context, err error) {
	if len(p.parts) == 0 || p.sound || ctx.Err() != nil || !isBrokenOff(err) {
		return
	}

	target := p.connectionTarget()
	attempt := brokenAttempt{placed: p.placed, brokenAt: p.relay.Now(), parts: p.parts, ids: p.caller.PromptParts, request: p.caller.ID, route: p.route.Name}
	check := p.relay.endChecks.start(target, func() bool { return p.relay.TargetClient.HasEnded(context.WithoutCancel(ctx), target) })
	recorded := make(chan struct{})

	go func() {
		defer close(recorded)

		if <-check.done; check.ended {
			p.relay.recordTargetEnd(&attempt)
		}
	}()

	timer := time.NewTimer(endCheckWait)
	defer timer.Stop()

	select {
	case <-recorded:
	case <-check.listening:
	case <-timer.C:
	}
}

// isBrokenOff reports whether the connection to a target broke while it had the request.
func isBrokenOff(err error) bool {
	return errors.Is(err, targetclient.ErrReusedConnection) || verdict.Of(err) == verdict.MayHaveRun && verdict.CauseOf(err) == verdict.CauseBroken
}
