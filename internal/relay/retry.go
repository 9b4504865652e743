package relay

import (
	"context"
	"log/slog"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// readStatus is how far a try got.
type readStatus uint8

const (
	// readByNone: no target has read the request.
	readByNone readStatus = iota
	// readByOther: another target than the one that was meant has read and rejected it.
	readByOther
	// readByTarget: the target that was meant may have read it.
	readByTarget
)

// maxUndelivered bounds how many targets are tried that do not get the request: their
// connection did not come up, or another target has their address.
const maxUndelivered = 4

// checkRetry returns why the request is not sent to another target after a try that failed;
// ReasonNone where it is. Whatever has read the request had work with it, so that the
// next send draws on the retry budget.
func (p *proxiedRequest) checkRetry(ctx context.Context, err error) retries.Reason {
	now := time.Now()
	delivered := p.sends - p.misdirected

	switch {
	case p.req.Context().Err() != nil:
		return retries.ReasonCallerCanceled
	case ctx.Err() != nil || !now.Before(p.deadline):
		return retries.ReasonDeadline
	case len(p.tried)-delivered >= maxUndelivered:
		return retries.ReasonMaxAttempts
	case verdict.Of(err) != verdict.NotRun && !p.mayRepeat():
		return retries.ReasonMayHaveRun
	case p.readBy == readByTarget && delivered >= max(1, p.route.MostTargets):
		return retries.ReasonMaxAttempts
	case p.streaming && p.route.Repeat != routes.Resume:
		return retries.ReasonMayHaveRun
	}

	// Right after a restart the entries that were known as the request arrived may be few.
	share := p.relay.entryShares.budgetShare(p.service)

	if p.readBy != readByNone && !p.relay.Budget.Allow(now, p.service, share) {
		p.relay.counters.budgetSpent.Add(1)

		return retries.ReasonBudgetExhausted
	}

	return retries.ReasonNone
}

// recordRetry counts and logs that the request goes to placed, after a try that failed.
func (p *proxiedRequest) recordRetry(lastErr error, placed dispatch.Action) {
	charged := p.readBy != readByNone

	p.relay.counters.retries.Add(1)

	if !charged {
		p.relay.counters.freeRetries.Add(1)
	}

	p.log(slog.LevelInfo, "Sent again.", "target", placed.Target.ID, "cause", verdict.CauseOf(lastErr), "verdict", verdict.Of(lastErr).String(),
		"paid", charged, "entries", p.relay.State().Entries, "error", lastErr)
}
