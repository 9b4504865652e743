package relay

import (
	"errors"
	"log/slog"
	"math"
	"net/http"
	"time"

	"github.com/parsleygate/parsleygate/internal/callerconn"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// complete counts and logs a request that was answered.
func (p *proxiedRequest) complete() {
	now := p.relay.Now()

	p.relay.counters.completions.Add(1)
	p.relay.latencies.total.Update(millis(p.arrivedAt, now))
	p.relay.durations.observe(p.service, now.Sub(p.readAt))
	p.observeAnswerLength()

	if p.relay.completions.Allow(now) {
		p.log(slog.LevelInfo, "Served.", append(p.gapAttrs(), "target", p.placed.Target.ID, "zone", p.placed.Target.Zone,
			"status", p.status, "first", p.firstByte.Round(time.Millisecond), "framing", p.framing, "events", p.events, "keptFailure", p.failure != nil)...)
	}
}

// gapAttrs returns log attributes for the longest event gap of a stream and how long ago it ended.
func (p *proxiedRequest) gapAttrs() []any {
	if p.longestGap == 0 {
		return nil
	}

	return []any{"longestPause", p.longestGap.Round(time.Millisecond), "pausedAgo", p.relay.Now().Sub(p.longestGapAt).Round(time.Millisecond)}
}

// endWithError ends a request that no target answered: with an error response, or by closing
// the caller's connection.
func (p *proxiedRequest) endWithError(err error) {
	now := p.relay.Now()

	switch {
	case p.req.Context().Err() != nil:
		p.relay.counters.disconnected.Add(1)
		p.log(slog.LevelInfo, "Caller left.", "ran", p.mayHaveRun, "lastEvent", p.lastEvent, "error", err)
		p.abort()
	case p.streaming:
		p.relay.counters.cut.Add(1)
		p.log(slog.LevelWarn, "Stream cut.", "cause", p.cause(now, err), "lastEvent", p.lastEvent, "room", p.capacity, "framing", p.framing, "events", p.events,
			"keptFailure", p.failure != nil, "error", err)
		p.abort()
	case !p.mayHaveRun:
		p.refuse(err)
	default:
		p.fail(p.cause(now, err), err)
	}
}

// abort closes the caller's connection without the final chunk, which marks the answer as truncated.
// It resets a connection whose end would delimit the answer.
func (p *proxiedRequest) abort() {
	callerconn.Reset(p.req)
	panic(http.ErrAbortHandler)
}

// cause returns why a request that may have run has no complete answer. The connection to
// the target is closed at the deadline and at the end of a stop, so that err looks like a broken answer.
func (p *proxiedRequest) cause(now time.Time, err error) verdict.Cause {
	switch {
	case !now.Before(p.deadline):
		return verdict.CauseDeadline
	case p.relay.stopEnded.Err() != nil:
		return verdict.CauseStopping
	default:
		return verdict.CauseOf(err)
	}
}

// refuse answers a request that did not run and never will: 503 with Retry-After.
func (p *proxiedRequest) refuse(err error) {
	p.countRefused()

	var v *verdict.Error

	wait := p.relay.Settings.MinRetryAfter
	if errors.As(err, &v) && !v.RetryAt.IsZero() {
		wait = max(v.RetryAt.Sub(p.relay.Now()), time.Millisecond)
	}

	p.relay.counters.refused.Add(1)
	p.log(slog.LevelInfo, "Refused.", append(p.urgencyAttrs(), "cause", verdict.CauseOf(err), "retryAfter", wait, "room", p.capacity, "error", err)...)
	p.w.Header().Set("Retry-After", p.relay.Dialect.RetryAfter(wait))
	p.boundRestOfBody()
	p.closeWhileStopping()
	http.Error(p.w, "not run: "+string(verdict.CauseOf(err)), http.StatusServiceUnavailable)
}

// fail answers a request that may have run: 502, or 504 after the deadline.
func (p *proxiedRequest) fail(cause verdict.Cause, err error) {
	status := http.StatusBadGateway
	if cause == verdict.CauseDeadline {
		status = http.StatusGatewayTimeout
	}

	p.relay.counters.failed.Add(1)
	p.log(slog.LevelWarn, "Failed.", "status", status, "cause", cause, "error", err)
	p.closeWhileStopping()
	http.Error(p.w, "may have run: "+string(cause), status)
}

// deny answers an invalid or unauthorized request with status.
func (p *proxiedRequest) deny(status int, problem string) {
	p.relay.counters.denied.Add(1)
	p.log(slog.LevelInfo, "Denied.", "status", status, "problem", problem)
	p.boundRestOfBody()
	p.closeWhileStopping()
	http.Error(p.w, problem, status)
}

// log writes a log line with the attributes that identify the request.
func (p *proxiedRequest) log(level slog.Level, text string, args ...any) {
	if !p.relay.Logger.Enabled(p.req.Context(), level) {
		return
	}

	name := ""
	if p.route != nil {
		name = p.route.Name
	}

	args = append(args, "request", p.caller.ID, "route", name, "service", p.service, "workspace", p.workspaceName(),
		"sends", p.sends, "tried", p.tried, "waited", p.waited.Round(time.Millisecond), "took", p.relay.Now().Sub(p.arrivedAt).Round(time.Millisecond),
		"number", p.state.Number, "index", p.state.Index)

	if p.prioritized {
		// Not "level": that is the key of the line's own level.
		args = append(args, "priorityLevel", p.level(), "work", math.Round(100*p.expectedWork)/100, "late", p.late)
	}

	if p.unanswered > 0 {
		args = append(args, "unanswered", p.unanswered)
	}

	if p.noRetry != retries.ReasonNone {
		args = append(args, "notAgain", p.noRetry)
	}

	// The deadline is set on admission; before, the time left would be meaningless.
	if !p.deadline.IsZero() {
		args = append(args, "left", p.deadline.Sub(p.relay.Now()).Round(time.Millisecond))
	}

	p.relay.Logger.Log(p.req.Context(), level, text, args...)
}
