package relay

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// readStatus says which target may have read the request in an attempt.
type readStatus uint8

const (
	// readByNone means that no target read the request.
	readByNone readStatus = iota
	// readByOther means that a target other than the intended one read and rejected it.
	readByOther
	// readByTarget means that the intended target may have read it.
	readByTarget
)

// maxUndelivered bounds the attempts of a request that do not reach the intended target:
// the connection failed, or another target has its address.
const maxUndelivered = 4

// checkRetry returns why a failed request must not be sent to another target, or ReasonNone
// if it may. A target that read the request has spent work on it, so the next attempt
// counts against the retry budget.
func (p *proxiedRequest) checkRetry(ctx context.Context, err error) retries.Reason {
	now := p.relay.Now()
	delivered := p.sends - p.misdirected

	switch {
	case p.req.Context().Err() != nil:
		return retries.ReasonCallerCanceled
	case p.relay.stopEnded.Err() != nil:
		return retries.ReasonStopping
	case ctx.Err() != nil || !now.Before(p.deadline):
		return retries.ReasonDeadline
	case len(p.tried)-delivered >= maxUndelivered:
		return retries.ReasonMaxAttempts
	case verdict.Of(err) != verdict.NotRun && !p.mayRepeat():
		return retries.ReasonMayHaveRun
	case p.readBy == readByTarget && delivered >= max(1, p.route.MaxTargets):
		return retries.ReasonMaxAttempts
	case errors.Is(err, errTargetFailure) && !p.relay.failureRate.RetryHelps(p.service):
		return retries.ReasonMostFail
	case p.streaming && p.route.Retry != routes.RetryResume:
		return retries.ReasonMayHaveRun
	}

	// The share is read now: when the request arrived, shortly after a restart, this entry
	// may have known only a few of the others and overestimated its share.
	share := p.relay.entryShares.budgetShare(p.service)

	if p.readBy != readByNone && !p.relay.Budget.Allow(now, p.service, share, p.delivery) {
		p.relay.counters.budgetSpent.Add(1)

		return retries.ReasonBudgetExhausted
	}

	return retries.ReasonNone
}

// recordRetry counts and logs a retry at the target in placed.
func (p *proxiedRequest) recordRetry(lastErr error, placed dispatch.Action) {
	charged := p.readBy != readByNone

	p.relay.counters.retries.Add(1)

	if !charged {
		p.relay.counters.freeRetries.Add(1)
	}

	now := p.relay.Now()
	usage := p.relay.Budget.Usage(now, p.service)
	p.relay.latencies.retryDelay.Update(millis(p.retryDecidedAt, now))

	p.log(slog.LevelInfo, "Sent again.", "target", placed.Target.ID, "cause", verdict.CauseOf(lastErr), "verdict", verdict.Of(lastErr).String(),
		"paid", charged, "entries", p.relay.entryShares.budgetShare(p.service).Entries, "windowRequests", usage.Requests, "windowRetries", usage.Retries,
		"decidedAgo", now.Sub(p.retryDecidedAt).Round(time.Millisecond), "error", lastErr)
}
