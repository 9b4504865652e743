package relay

import (
	"context"
	"errors"
	"log/slog"
	"strings"
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

// brokenAttempt is an attempt whose answer broke off.
type brokenAttempt struct {
	placed   dispatch.Action
	brokenAt time.Time
	parts    requestParts
	// sound is set if the answer had begun properly. events is how many events of it had arrived.
	sound          bool
	events         int
	request, route string
}

// recordTargetEnd records that the target of an attempt has ended.
func (r *Relay) recordTargetEnd(a *brokenAttempt) {
	r.counters.targetEnds.Add(1)
	r.Budget.Ended(r.Now(), a.placed.Target.Address)
	r.queue.recordTargetEnd(a.placed, a.brokenAt)
	r.logBroken("Target ended while it had a request.", slog.LevelWarn, a)

	t := &a.placed.Target
	end := quarantine.End{Target: t.ID, StartTime: t.StartTime, Group: t.Group, At: a.brokenAt}

	first := 0
	if a.sound {
		first = a.parts.shared
	}

	for i := first; i < len(a.parts.all); i++ {
		end.Candidates = append(end.Candidates, quarantine.Candidate{Part: a.parts.all[i], Depth: a.parts.depths[i], SentAt: a.placed.PlacedAt})
	}

	r.guard.record(end, a.parts.ids[first:])
}

// recordTargetUp records that the target of a broken attempt still accepts connections.
func (r *Relay) recordTargetUp(a *brokenAttempt) {
	r.counters.brokenAnswers.Add(1)
	r.logBroken("Answer broke off, and its target still accepts connections.", slog.LevelInfo, a)
	r.rememberBroken(a)
}

// logBroken logs what is known about a broken attempt. The same content under several IDs is a request
// that its caller has sent again.
func (r *Relay) logBroken(text string, level slog.Level, a *brokenAttempt) {
	if !r.targetStatements.Allow(r.Now()) {
		return
	}

	t := &a.placed.Target
	r.Logger.Log(context.Background(), level, text, "target", t.ID, "zone", t.Zone, "group", t.Group, "service", t.Service,
		"parts", a.parts.ids[:a.parts.shared], "own", strings.Join(a.parts.ids[a.parts.shared:len(a.parts.ids)-1], ""), "content", hashOf(a.parts.content()), "events", a.events,
		"sentAgo", a.brokenAt.Sub(a.placed.PlacedAt).Round(time.Millisecond), "request", a.request, "route", a.route)
}

// checkTargetEnd finds out whether the target of the last attempt has ended, if its answer broke off. The
// request waits for that only briefly.
func (p *proxiedRequest) checkTargetEnd(ctx context.Context, err error) {
	if ctx.Err() != nil || !isBrokenOff(err) {
		return
	}

	target := p.connectionTarget()
	attempt := brokenAttempt{
		placed: p.placed, brokenAt: p.relay.Now(), parts: p.parts, sound: p.sound, events: p.answerEvents, request: p.caller.ID, route: p.route.Name,
	}

	check := p.relay.endChecks.start(target, func() bool { return p.relay.TargetClient.HasEnded(context.WithoutCancel(ctx), target) })
	recorded := make(chan struct{})

	go func() {
		defer close(recorded)

		if <-check.done; check.ended {
			p.relay.recordTargetEnd(&attempt)
		} else {
			p.relay.recordTargetUp(&attempt)
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
