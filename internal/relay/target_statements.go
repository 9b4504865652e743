package relay

import (
	"log/slog"

	"github.com/parsleygate/parsleygate/internal/dispatch"
)

// recordRateLimit passes on the rate limit that the target of the current attempt states.
func (p *proxiedRequest) recordRateLimit(info ResponseInfo) {
	switch {
	case info.Misdirected: // It is the answer of another target.
	case info.RateLimitError != nil:
		p.logStatement(slog.LevelWarn, "Rate limit of a target cannot be read; ignoring it.", "error", info.RateLimitError)
	default:
		previous, sent := p.relay.queue.reportRateLimit(p.placed, info.RateLimit)
		p.logRateLimit(previous, info.RateLimit, sent)
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
