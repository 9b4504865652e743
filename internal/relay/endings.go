package relay

import (
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// done notes a request that got its answer.
func (p *passage) done() {
	now := time.Now()

	p.relay.counters.served.Add(1)
	p.relay.latencies.whole.Update(millis(p.began, now))
	p.relay.usual.learn(p.service, now.Sub(p.began))

	if p.relay.served.Take(now) {
		p.log(slog.LevelInfo, "Served.", append(p.pauseArgs(), "target", p.placed.Target.ID, "zone", p.placed.Target.Zone,
			"status", p.status, "first", p.first.Round(time.Millisecond))...)
	}
}

// pauseArgs tells the longest pause of a stream, and how long ago it was.
func (p *passage) pauseArgs() []any {
	if p.longestPause == 0 {
		return nil
	}

	return []any{"longestPause", p.longestPause.Round(time.Millisecond), "pausedAgo", time.Since(p.longestAt).Round(time.Millisecond)}
}

// end gives the caller its final answer where the request has none.
func (p *passage) end(err error) {
	now := time.Now()

	switch {
	case p.req.Context().Err() != nil:
		p.relay.counters.left.Add(1)
		p.log(slog.LevelInfo, "Caller left.", "ran", p.ran, "lastEvent", p.lastEvent, "error", err)
		panic(http.ErrAbortHandler)
	case p.streaming:
		p.relay.counters.cut.Add(1)
		p.log(slog.LevelWarn, "Stream cut.", "cause", p.cause(now, err), "lastEvent", p.lastEvent, "room", p.room, "error", err)
		// Without its last piece the answer must not look whole.
		panic(http.ErrAbortHandler)
	case !p.ran:
		p.refuse(err)
	default:
		p.fail(p.cause(now, err), err)
	}
}

// cause tells why a request that may have run has no whole answer. The
// connection that is closed at the deadline looks like a broken answer.
func (p *passage) cause(now time.Time, err error) verdict.Cause {
	if now.Before(p.deadline) {
		return verdict.CauseOf(err)
	}

	return verdict.CauseDeadline
}

// refuse answers a request that has not run and never will.
func (p *passage) refuse(err error) {
	var v *verdict.Error

	wait := p.relay.Settings.MinRetryAfter
	if errors.As(err, &v) && !v.RetryAt.IsZero() {
		wait = max(time.Until(v.RetryAt), time.Millisecond)
	}

	p.relay.counters.refused.Add(1)
	p.log(slog.LevelInfo, "Refused.", "cause", verdict.CauseOf(err), "retryAfter", wait, "room", p.room, "error", err)
	p.w.Header().Set("Retry-After", p.relay.Dialect.RetryAfter(wait))
	http.Error(p.w, "not run: "+string(verdict.CauseOf(err)), http.StatusServiceUnavailable)
}

// fail answers a request that may have run.
func (p *passage) fail(cause verdict.Cause, err error) {
	status := http.StatusBadGateway
	if cause == verdict.CauseDeadline {
		status = http.StatusGatewayTimeout
	}

	p.relay.counters.failed.Add(1)
	p.log(slog.LevelWarn, "Failed.", "status", status, "cause", cause, "error", err)
	http.Error(p.w, "may have run: "+string(cause), status)
}

// deny answers a request that is not proper or not allowed.
func (p *passage) deny(status int, problem string) {
	p.relay.counters.denied.Add(1)
	p.log(slog.LevelInfo, "Denied.", "status", status, "problem", problem)
	http.Error(p.w, problem, status)
}

func (p *passage) log(level slog.Level, text string, args ...any) {
	if !p.relay.Logger.Enabled(p.req.Context(), level) {
		return
	}

	name := ""
	if p.route != nil {
		name = p.route.Name
	}

	args = append(args, "request", p.call.ID, "route", name, "service", p.service, "workspace", p.workspaceName(),
		"sends", p.sends, "tried", p.tried, "waited", p.waited.Round(time.Millisecond), "took", time.Since(p.began).Round(time.Millisecond),
		"number", p.state.Number, "index", p.state.Index)

	if p.notAgain != retries.ReasonNone {
		args = append(args, "notAgain", p.notAgain)
	}

	// A request that was not admitted has no deadline of its route yet.
	if !p.deadline.IsZero() {
		args = append(args, "left", time.Until(p.deadline).Round(time.Millisecond))
	}

	p.relay.Logger.Log(p.req.Context(), level, text, args...)
}
