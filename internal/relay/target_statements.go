package relay

import (
	"log/slog"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
)

// recordStatements passes on what the target of the current attempt states about the requests that
// it accepts.
func (p *proxiedRequest) recordStatements(info ResponseInfo) {
	if info.Misdirected { // It is the answer of another target.
		return
	}

	p.recordRateLimit(info)
	p.recordRest(info)
	p.recordLeaving(info)
}

func (p *proxiedRequest) recordRateLimit(info ResponseInfo) {
	if info.RateLimitError != nil {
		p.logStatement(slog.LevelWarn, "Rate limit of a target cannot be read; ignoring it.", "error", info.RateLimitError)

		return
	}

	previous, sent := p.relay.queue.reportRateLimit(p.placed, info.RateLimit)
	p.logRateLimit(previous, info.RateLimit, sent)
}

func (p *proxiedRequest) recordRest(info ResponseInfo) {
	switch {
	case info.RestError != nil:
		p.logStatement(slog.LevelWarn, "Rest that a target asks for cannot be read; ignoring it.", "error", info.RestError)
	case info.Rest == 0:
		p.relay.queue.reportRest(p.placed, time.Time{})
	default:
		until := p.relay.Now().Add(info.Rest)
		p.relay.queue.reportRest(p.placed, until)
		p.logStatement(slog.LevelInfo, "Target asks for rest.", "until", until, "tried", p.tried)
	}
}

func (p *proxiedRequest) recordLeaving(info ResponseInfo) {
	if info.Leaving {
		p.relay.TargetClient.Pause(p.connectionTarget())
	}

	switch {
	case info.LeavingError != nil:
		p.logStatement(slog.LevelWarn, "Whether a target is leaving cannot be read; ignoring it.", "error", info.LeavingError)
	case info.Leaving && p.relay.queue.reportLeaving(p.placed):
		p.logStatement(slog.LevelInfo, "Target is leaving.")
	}
}

func (p *proxiedRequest) logRateLimit(previous, current dispatch.RateLimit, sent int) {
	switch {
	case previous == current:
	case current.Stated:
		p.logStatement(slog.LevelInfo, "Target states a rate limit.", "perSecond", current.PerSecond, "sentLately", sent)
	default:
		p.logStatement(slog.LevelInfo, "Target states no rate limit any more.", "sentLately", sent)
	}
}

// logStatement logs what a target states in its answers. A target may repeat it with each of them.
func (p *proxiedRequest) logStatement(level slog.Level, text string, args ...any) {
	if !p.relay.targetStatements.Allow(p.relay.Now()) {
		return
	}

	args = append(args, "target", p.placed.Target.ID, "zone", p.placed.Target.Zone, "service", p.service,
		"entries", p.placed.Target.Share.Entries, "request", p.caller.ID)
	p.relay.Logger.Log(p.req.Context(), level, text, args...)
}

func (q *queue) reportRateLimit(a dispatch.Action, l dispatch.RateLimit) (previous dispatch.RateLimit, sent int) {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.dispatcher.ReportRateLimit(q.now(), a, l)
}

func (q *queue) reportRest(a dispatch.Action, until time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.dispatcher.ReportRest(a, until)
}

func (q *queue) reportLeaving(a dispatch.Action) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.dispatcher.ReportLeaving(q.now(), a)
}

func (q *queue) backpressure() dispatch.BackpressureSummary {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.dispatcher.Backpressure(q.now())
}
