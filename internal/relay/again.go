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

// mostDials bounds how many targets are tried whose connection did not come up.
const mostDials = 4

// again returns why the request is not sent to another target after a try that failed;
// ReasonNone where it is.
func (p *passage) again(ctx context.Context, err error) retries.Reason {
	now := time.Now()

	switch {
	case ctx.Err() != nil || !now.Before(p.deadline):
		return retries.ReasonDeadline
	case len(p.tried) >= mostDials+p.sends:
		return retries.ReasonTries
	case verdict.Of(err) != verdict.NotRun && !p.mayRepeat():
		return retries.ReasonMayRun
	case p.sent(err) && p.sends >= max(1, p.route.MostTargets):
		return retries.ReasonTries
	case p.streaming && p.route.Repeat != routes.Resume:
		return retries.ReasonMayRun
	}

	if p.sent(err) && !p.relay.Budget.Take(now, p.service, p.state.Entries) {
		p.relay.counters.spent.Add(1)

		return retries.ReasonBudget
	}

	return retries.ReasonNone
}

// sent reports whether the target of a failed try may have read the request.
func (p *passage) sent(err error) bool {
	return verdict.Of(err) != verdict.NotRun || verdict.CauseOf(err) == verdict.CauseOverload
}

// noteAgain counts and logs that the request goes to placed, after a try that failed.
func (p *passage) noteAgain(failed error, placed dispatch.Action) {
	paid := p.sent(failed)

	p.relay.counters.again.Add(1)

	if !paid {
		p.relay.counters.unpaid.Add(1)
	}

	p.log(slog.LevelInfo, "Sent again.", "target", placed.Target.ID, "cause", verdict.CauseOf(failed), "verdict", verdict.Of(failed).String(),
		"paid", paid, "entries", p.state.Entries, "error", failed)
}
