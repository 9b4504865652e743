package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/parsleygate/parsleygate/internal/exchange"
	"github.com/parsleygate/parsleygate/internal/fairness"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// course carries out the actions of one exchange.
type course struct {
	entry *Entry
	call  *call
	reply *reply
	ex    *exchange.Exchange
	queue *queue
	item  fairness.Item

	queued bool
	// excluded are targets that failed this request.
	excluded []string
	// stale are targets that refused it since they could not know that they are
	// still in use. That says nothing of the target.
	stale   []string
	choice  routing.Choice
	attempt *wire.ClaimHolder
}

// run takes a call to its end.
func (e *Entry) run(w http.ResponseWriter, r *http.Request, c *call) {
	// The answer of a keyed request is recorded whether or not its caller stays, so
	// that a resend finds it: the caller's disconnect does not cancel it.
	ctx := r.Context()
	if c.keyed() {
		ctx = context.WithoutCancel(ctx)
	}

	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()

	k := &course{
		entry: e, call: c, reply: newReply(w, e.Limits.WriteTimeout),
		ex:    &exchange.Exchange{Idempotent: c.idempotent, Keyed: c.key != "", Deadline: c.deadline},
		queue: e.queue(c.service.GetName()), item: e.item(c),
	}
	k.ex.Retry = k.retry

	finished := k.loop(ctx)
	if k.queued {
		k.queue.leave(k.item.ID, finished.Err == nil)
	}

	k.last(finished)
}

func (c *call) keyed() bool { return c.key != "" && !c.idempotent }

func (e *Entry) item(c *call) fairness.Item {
	it := fairness.Item{
		ID: e.nextItem.Add(1), Workspace: c.workspace, Weight: 1,
		Priority: c.priority, Deadline: c.deadline,
	}
	if ws := e.View().Workspace(c.workspace); ws != nil {
		it.Weight = int(ws.GetWeight())
		it.Priority = max(it.Priority, int(ws.GetPriority()))
	}

	return it
}

// loop does one action after the other until Finish.
func (k *course) loop(ctx context.Context) exchange.Action {
	a := k.ex.Start(time.Now())
	for a.Kind != exchange.Finish {
		a = k.do(ctx, a)
	}

	return a
}

func (k *course) do(ctx context.Context, a exchange.Action) exchange.Action {
	switch a.Kind {
	case exchange.Choose:
		return k.choose(ctx, a.At)
	case exchange.Claim:
		return k.claim(ctx, a.Replaces)
	case exchange.LookUp:
		return k.lookUp(ctx)
	case exchange.Send:
		return k.send(ctx, a.Resume)
	case exchange.Ask:
		return k.ask(ctx, a)
	case exchange.Settle:
		return k.settle(ctx, a)
	default:
		k.reply.deliver(a.Answer)

		return exchange.Action{Kind: exchange.Finish}
	}
}

// last gives the caller the last word.
func (k *course) last(a exchange.Action) {
	counters := &k.entry.counters

	switch {
	case a.Err == nil && !k.reply.gone:
		counters.answered.Add(1)
		k.reply.end()
	case k.reply.headed:
		counters.broken.Add(1)
		k.entry.Logger.Warn("answer cut off", "request", k.call.id, "tries", k.ex.Attempts(), "callerGone", k.reply.gone, "error", a.Err)
		k.reply.abort()
	case a.Err != nil:
		counters.refused(a.Err)
		writeRefusal(k.reply.w, k.call.id, a.Err)
	}
}

func (k *course) retry(now time.Time, err *verdict.Error, tries int) (time.Time, bool) {
	if err.Cause == verdict.CauseStale && k.viewStale() {
		// Neither side is fresh, and no other agent would take this entry's word.
		return time.Time{}, false
	}

	d := k.entry.Budget.Decide(now, retries.Failure{
		Verdict: err.Verdict, Cause: err.Cause, RetryAt: err.RetryAt, Idempotent: k.call.idempotent,
		Attempts: tries, Deadline: k.call.deadline,
		OtherTargets: k.entry.Chooser.Capacity(now, k.call.service.GetName()).Targets > len(k.tried()),
	})

	return d.At, d.Retry
}

// wait sleeps until at, or ctx ends.
func wait(ctx context.Context, at time.Time) {
	if d := time.Until(at); d > 0 {
		pauses.For(ctx, d)
	}
}

// holderAddress returns where the agent of an attempt is reached: the address
// that the configuration has now, else the one that the claim recorded.
func (k *course) holderAddress(h *wire.ClaimHolder) (netip.AddrPort, error) {
	if n := k.entry.View().Agent(h.GetAgentID()); n != nil {
		return netip.ParseAddrPort(n.GetAddress()) //nolint:wrapcheck // names the address
	}

	return netip.ParseAddrPort(h.GetAgentAddress()) //nolint:wrapcheck // names the address
}
