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

// reach is how far a try got.
type reach uint8

const (
	// reachNone: no target has read the request.
	reachNone reach = iota
	// reachOther: another target than the one that was meant has read and rejected it.
	reachOther
	// reachTarget: the target that was meant may have read it.
	reachTarget
)

// mostMissed bounds how many targets are tried that do not get the request: their
// connection did not come up, or another target has their address.
const mostMissed = 4

// again returns why the request is not sent to another target after a try that failed;
// ReasonNone where it is. Whatever has read the request had work with it, so that the
// next send draws on the retry budget.
func (p *passage) again(ctx context.Context, err error) retries.Reason {
	now := time.Now()
	got := p.sends - p.misdirected

	switch {
	case p.req.Context().Err() != nil:
		return retries.ReasonCallerCanceled
	case ctx.Err() != nil || !now.Before(p.deadline):
		return retries.ReasonDeadline
	case len(p.tried)-got >= mostMissed:
		return retries.ReasonMaxAttempts
	case verdict.Of(err) != verdict.NotRun && !p.mayRepeat():
		return retries.ReasonMayHaveRun
	case p.reached == reachTarget && got >= max(1, p.route.MostTargets):
		return retries.ReasonMaxAttempts
	case p.streaming && p.route.Repeat != routes.Resume:
		return retries.ReasonMayHaveRun
	}

	// Right after a restart the entries that were known as the request arrived may be few.
	share := p.relay.parts.budget(p.service)

	if p.reached != reachNone && !p.relay.Budget.Allow(now, p.service, share) {
		p.relay.counters.spent.Add(1)

		return retries.ReasonBudgetExhausted
	}

	return retries.ReasonNone
}

// noteAgain counts and logs that the request goes to placed, after a try that failed.
func (p *passage) noteAgain(failed error, placed dispatch.Action) {
	paid := p.reached != reachNone

	p.relay.counters.again.Add(1)

	if !paid {
		p.relay.counters.unpaid.Add(1)
	}

	p.log(slog.LevelInfo, "Sent again.", "target", placed.Target.ID, "cause", verdict.CauseOf(failed), "verdict", verdict.Of(failed).String(),
		"paid", paid, "entries", p.relay.State().Entries, "error", failed)
}
