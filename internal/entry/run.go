package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/parsleygate/parsleygate/internal/exchange"
	"github.com/parsleygate/parsleygate/internal/fairness"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// exchangeRun performs the actions of one exchange.
type exchangeRun struct {
	entry *Entry
	call  *call
	reply *reply
	ex    *exchange.Exchange
	queue *queue
	item  fairness.Item

	hasTurn bool
	// excluded are the targets that failed this request.
	excluded []string
	// staleTargets are the targets that refused it because the lease of their view had
	// expired. This is no failure of the target.
	staleTargets []string
	choice       routing.Choice
	attempt      *wire.ClaimHolder
	// parts are those by which the request is known when targets end under it. trial is set if isTrial is:
	// the request tries whether they still do.
	parts   []quarantine.Part
	trial   quarantine.Trial
	isTrial bool
}

// execute runs the exchange of a call and responds to the caller.
func (e *Entry) execute(w http.ResponseWriter, r *http.Request, c *call) {
	// A disconnect of the caller does not cancel a keyed request: its answer is
	// recorded, so that a resend finds it.
	ctx := r.Context()
	if c.keyed() {
		ctx = context.WithoutCancel(ctx)
	}

	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()

	x := &exchangeRun{
		entry: e, call: c, reply: newReply(w, r, e.Limits.WriteTimeout),
		ex:    &exchange.Exchange{Idempotent: c.idempotent, Keyed: c.key != "", Deadline: c.deadline},
		queue: e.queue(c.service.GetName()), item: e.newItem(c), parts: c.parts(),
	}
	x.ex.Retry = x.retry

	defer x.endTrial()

	final := x.runActions(ctx)
	if x.hasTurn {
		x.queue.release(x.item.ID, final.Err == nil)
	}

	x.respond(final)
}

func (c *call) keyed() bool { return c.key != "" && !c.idempotent }

func (e *Entry) newItem(c *call) fairness.Item {
	item := fairness.Item{
		ID: e.nextItemID.Add(1), Workspace: c.workspace, Weight: 1,
		Priority: c.priority, Deadline: c.deadline,
	}
	if ws := e.View().Workspace(c.workspace); ws != nil {
		item.Weight = int(ws.GetWeight())
		item.Priority = max(item.Priority, int(ws.GetPriority()))
	}

	return item
}

// runActions performs actions until Finish and returns that one.
func (x *exchangeRun) runActions(ctx context.Context) exchange.Action {
	a := x.ex.Start(time.Now())
	for a.Kind != exchange.Finish {
		a = x.perform(ctx, a)
	}

	return a
}

func (x *exchangeRun) perform(ctx context.Context, a exchange.Action) exchange.Action {
	switch a.Kind {
	case exchange.Choose:
		return x.choose(ctx, a.At)
	case exchange.Claim:
		return x.claim(ctx, a.Replaces)
	case exchange.LookUp:
		return x.lookUp(ctx)
	case exchange.Send:
		return x.send(ctx, a.Resume)
	case exchange.QueryAttempt:
		return x.queryAttempt(ctx, a)
	case exchange.Settle:
		return x.settle(ctx, a)
	default:
		x.reply.writeAnswer(a.Answer)

		return exchange.Action{Kind: exchange.Finish}
	}
}

// respond completes the response to the caller.
func (x *exchangeRun) respond(a exchange.Action) {
	counters := &x.entry.counters

	if a.Err == nil {
		x.reply.finish()
	}

	switch {
	case a.Err == nil && !x.reply.callerGone:
		counters.answered.Add(1)
	case x.reply.headSent:
		counters.broken.Add(1)
		x.entry.Logger.Warn("Answer to the caller was cut off.", "request", x.call.id, "tries", x.ex.Attempts(), "callerGone", x.reply.callerGone, "error", a.Err)
		x.reply.abort()
	case a.Err != nil:
		counters.countRefusal(a.Err)
		writeRefusal(x.reply.w, x.call.id, a.Err)
	}
}

func (x *exchangeRun) retry(now time.Time, err *verdict.Error, attempts int) (time.Time, bool) {
	if err.Cause == verdict.CauseStale && x.viewStale() {
		// The leases of both the agent's and this entry's view have expired, so other
		// agents cannot rely on this entry's view either.
		return time.Time{}, false
	}

	d := x.entry.Budget.Decide(now, retries.Failure{
		Verdict: err.Verdict, Cause: err.Cause, RetryAt: err.RetryAt, Idempotent: x.call.idempotent,
		Attempts: attempts, Deadline: x.call.deadline,
		OtherTargets: x.entry.Chooser.Capacity(now, x.call.service.GetName()).Targets > len(x.failedTargets()),
	})

	return d.At, d.Retry
}

// sleepUntil sleeps until at or until ctx ends.
func sleepUntil(ctx context.Context, at time.Time) {
	if d := time.Until(at); d > 0 {
		pauses.Sleep(ctx, d)
	}
}

// holderAddress returns the address of an attempt's agent: the current one in the view
// if there is one, otherwise the one recorded in the claim.
func (x *exchangeRun) holderAddress(h *wire.ClaimHolder) (netip.AddrPort, error) {
	if n := x.entry.View().Agent(h.GetAgentID()); n != nil {
		return netip.ParseAddrPort(n.GetAddress()) //nolint:wrapcheck // names the address
	}

	return netip.ParseAddrPort(h.GetAgentAddress()) //nolint:wrapcheck // names the address
}
