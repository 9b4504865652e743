package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/parsleygate/parsleygate/internal/exchange"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const (
	// claimTimeout bounds a claim or a settlement, so that a caller is not held by
	// control VMs that are away.
	claimTimeout = 3 * time.Second
	// minCapacityWait is the shortest time between two looks for room.
	minCapacityWait = 10 * time.Millisecond
	// staleRetryDelay is when targets that refused as stale are asked again for the rest of
	// an answer. A control set elects a leader within a second or so; a caller accepts
	// a pause of a tenth.
	staleRetryDelay = 100 * time.Millisecond
)

// choose waits for the request's turn, then for a target and its credit.
func (x *exchangeRun) choose(ctx context.Context, at time.Time) exchange.Action {
	sleepUntil(ctx, at)

	x.entry.Chooser.RecordDemand(time.Now(), x.call.service.GetName())

	if unavailable := x.entry.Chooser.Unavailable(time.Now(), x.call.service.GetName()); unavailable != nil {
		return x.ex.NoTarget(unavailable.Refusal())
	}

	if !x.hasTurn {
		if err := x.queue.enqueue(ctx, x.item); err != nil {
			return x.ex.NoTarget(err)
		}

		x.hasTurn = true
	}

	for {
		refusal := x.acquireTarget(ctx)
		if refusal == nil {
			return x.ex.Chosen(x.attempt)
		}

		if ctx.Err() == nil && x.viewStale() {
			// Without control VMs agents grant nothing and refuse all new work: to say
			// that they are full or cold would send operators the wrong way.
			refusal.Cause = verdict.CauseStale

			return x.ex.NoTarget(refusal)
		}

		if ctx.Err() != nil || !atCapacity(refusal) {
			return x.ex.NoTarget(refusal)
		}

		if x.retryStaleTargets() {
			sleepUntil(ctx, time.Now().Add(staleRetryDelay))

			continue
		}

		if x.allTargetsFailed() {
			return x.ex.NoTarget(x.noTargetLeft(refusal))
		}

		if x.reply.headSent {
			// The caller has half of its answer: it keeps its turn, and no estimate of
			// the queue's gives it up before its deadline.
			sleepUntil(ctx, latest(refusal.RetryAt, time.Now().Add(minCapacityWait)))

			continue
		}

		if err := x.queue.requeue(ctx, x.item.ID); err != nil {
			x.hasTurn = false

			return x.ex.NoTarget(err)
		}
	}
}

// viewStale reports whether the entry's freshness lease has run out.
func (x *exchangeRun) viewStale() bool { return !time.Now().Before(x.entry.View().ValidUntil) }

// allTargetsFailed reports whether every target has failed this request, or refused it as stale.
func (x *exchangeRun) allTargetsFailed() bool {
	n := x.entry.Chooser.Capacity(time.Now(), x.call.service.GetName()).Targets

	return len(x.failedTargets()) >= n
}

// failedTargets returns the targets that this request is not sent to again for now.
func (x *exchangeRun) failedTargets() []string { return slices.Concat(x.excluded, x.staleTargets) }

// retryStaleTargets forgets which targets refused as stale, once all others have failed too
// and the caller has half of its answer. Without a leader of the control VMs every target
// refuses so, and the answer was cut though all of them could go on with it a second
// later. It reports whether there are such targets.
func (x *exchangeRun) retryStaleTargets() bool {
	if !x.reply.headSent || len(x.staleTargets) == 0 || !x.allTargetsFailed() {
		return false
	}

	x.staleTargets = nil

	return true
}

// noTargetLeft refuses a request that every target has failed. A stream that waits to
// be resumed is not told when to come back: no time helps it.
func (x *exchangeRun) noTargetLeft(refusal *verdict.Error) *verdict.Error {
	if x.reply.headSent {
		return verdict.Refuse(verdict.CauseNoTarget, time.Time{})
	}

	return verdict.Refuse(verdict.CauseNoTarget, refusal.RetryAt)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

func atCapacity(err *verdict.Error) bool {
	return err.Cause == verdict.CauseOverload || err.Cause == verdict.CauseColdLimit
}

// acquireTarget chooses a target and makes sure of a credit.
func (x *exchangeRun) acquireTarget(ctx context.Context) *verdict.Error {
	e := x.entry

	for {
		choice, unavailable := e.Chooser.Choose(time.Now(), routing.Request{
			Service: x.call.service.GetName(), Zone: e.Zone, Region: e.Region,
			Excluded: x.failedTargets(), Idempotent: x.call.idempotent, Prefixes: x.call.prefixHashes(),
		})
		if unavailable != nil {
			return unavailable.Refusal()
		}

		credit, err := x.ensureCredit(ctx, choice)
		if err == nil {
			x.beginAttempt(choice, credit)

			return nil
		}

		// A caller that left, or ran out of time, says nothing about the target.
		cause := verdict.CauseTargetDown
		if ctx.Err() != nil {
			cause = verdict.CauseCancelled
		}

		e.Chooser.Finish(time.Now(), routing.Finished{
			AgentID: choice.AgentID, Incarnation: choice.Incarnation,
			Verdict: verdict.NotRun, Cause: cause,
		})
		x.excluded = append(x.excluded, choice.AgentID)
	}
}

// ensureCredit returns the credit in force for a choice, asking for one if need be.
func (x *exchangeRun) ensureCredit(ctx context.Context, c routing.Choice) (*wire.Credit, error) {
	if c.NeedsCredit {
		req := routing.CreditRequest{Service: x.call.service.GetName(), AgentID: c.AgentID, Addr: c.Addr, Incarnation: c.Incarnation, Wanted: 1}
		if err := x.entry.requestCredit(ctx, req); err != nil {
			return nil, err
		}
	}

	v, ok := x.entry.credits.Load(c.AgentID)
	if !ok {
		return nil, verdict.Refuse(verdict.CauseCredit, time.Time{})
	}

	return v.(*wire.Credit), nil
}

func (x *exchangeRun) beginAttempt(c routing.Choice, credit *wire.Credit) {
	x.choice = c
	x.attempt = &wire.ClaimHolder{
		AttemptID: uuid.NewString(), EntryID: x.entry.ID,
		AgentID: c.AgentID, AgentAddress: c.Addr.String(),
		Incarnation: credit.GetIncarnation(), CreditExpiresAtTick: credit.GetExpiresAtTick(),
	}
}

func (x *exchangeRun) claim(ctx context.Context, replaces string) exchange.Action {
	r, err := x.sendClaim(ctx, x.attempt, replaces)
	if err != nil {
		x.releaseTarget(verdict.CauseClaims)

		return x.ex.ClaimFailed(time.Now())
	}

	x.setKeyWindow(r)

	if r.GetState() != wire.ClaimState_ClaimGranted {
		x.releaseTarget(verdict.CauseClaims)
	}

	return x.ex.Claimed(time.Now(), r)
}

// setKeyWindow tells the caller for how long its key stands for this request: a
// resend that comes later would run anew.
func (x *exchangeRun) setKeyWindow(r *wire.ClaimResponse) {
	if seconds := r.GetWindowMillis() / 1000; seconds > 0 {
		x.reply.w.Header().Set(HeaderKeyWindow, strconv.FormatUint(seconds, 10))
	}
}

func (x *exchangeRun) lookUp(ctx context.Context) exchange.Action {
	r, err := x.sendClaim(ctx, nil, "")
	if err != nil {
		return x.ex.ClaimFailed(time.Now())
	}

	return x.ex.LookedUp(time.Now(), r)
}

func (x *exchangeRun) sendClaim(ctx context.Context, h *wire.ClaimHolder, replaces string) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()

	return x.entry.Claim(ctx, &wire.ClaimRequest{
		Workspace: x.call.workspace, Service: x.call.service.GetName(), Key: x.call.key,
		BodyDigest: x.call.digest(), Holder: h, Replaces: replaces,
	})
}

// releaseTarget gives back the place that Choose counted, when nothing was sent.
func (x *exchangeRun) releaseTarget(cause verdict.Cause) {
	x.entry.Chooser.Finish(time.Now(), routing.Finished{
		AgentID: x.choice.AgentID, Incarnation: x.choice.Incarnation, Verdict: verdict.NotRun, Cause: cause,
	})
}

func (x *exchangeRun) ask(ctx context.Context, a exchange.Action) exchange.Action {
	sleepUntil(ctx, a.At)

	address, err := x.holderAddress(a.Holder)
	if err != nil {
		return x.ex.AskFailed(time.Now())
	}

	// The ask outlives the caller's deadline by its own short timeout: a truthful
	// last word is worth more than a prompt guess.
	r, err := x.entry.Agents.Ask(context.WithoutCancel(ctx), address, &wire.AskRequest{
		AttemptID: a.Holder.GetAttemptID(), Incarnation: a.Holder.GetIncarnation(),
		CreditExpiresAtTick: a.Holder.GetCreditExpiresAtTick(), Close: true,
	})
	if err != nil {
		return x.ex.AskFailed(time.Now())
	}

	return x.ex.Asked(time.Now(), r)
}

// settle records an outcome. If that fails the claim stays open, and a resend
// asks the agent instead, so the exchange goes on either way.
func (x *exchangeRun) settle(ctx context.Context, a exchange.Action) exchange.Action {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()

	_, err := x.entry.Settle(ctx, &wire.SettleRequest{
		Workspace: x.call.workspace, Service: x.call.service.GetName(), Key: x.call.key,
		AttemptID: a.Attempt, Verdict: wire.Verdict(a.Verdict), Answer: a.Answer,
	})
	if err != nil {
		x.entry.Logger.Warn("claim not settled", "key", x.call.key, "verdict", a.Verdict.String(), "error", err)
	}

	return *a.Then
}
