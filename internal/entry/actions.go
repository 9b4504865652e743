package entry

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/parsleygate/parsleygate/internal/agentclient"
	"github.com/parsleygate/parsleygate/internal/eventstream"
	"github.com/parsleygate/parsleygate/internal/exchange"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const (
	// claimTimeout bounds a claim or a settlement, so that unreachable control VMs do
	// not keep a caller waiting.
	claimTimeout = 3 * time.Second
	// minCapacityWait is the minimum time between two checks for free capacity.
	minCapacityWait = 10 * time.Millisecond
	// staleRetryDelay is the time before targets that refused as stale are tried again
	// to resume an answer. Control VMs elect a leader within about a second; callers
	// tolerate an additional gap of about 100 ms.
	staleRetryDelay = 100 * time.Millisecond
)

// choose waits for the request's turn in the queue, and then for a target and its
// credit.
func (x *exchangeRun) choose(ctx context.Context, at time.Time) exchange.Action {
	sleepUntil(ctx, at)

	x.entry.Chooser.RecordDemand(time.Now(), x.call.service.GetName())

	if held := x.checkHeld(time.Now()); held != nil {
		return x.ex.NoTarget(held)
	}

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
			// It may have become held while it waited.
			if held := x.checkHeld(time.Now()); held != nil {
				x.releaseTarget(verdict.CauseQuarantined)

				return x.ex.NoTarget(held)
			}

			return x.ex.Chosen(x.attempt)
		}

		if ctx.Err() == nil && x.viewStale() {
			// Without control VMs, agents grant no credits and refuse all new requests.
			// Reporting that they are full or cold would mislead operators.
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
			// The caller has received a part of its answer, so the request keeps its
			// turn until its deadline, whatever waiting time the queue estimates.
			sleepUntil(ctx, latest(refusal.RetryAt, time.Now().Add(minCapacityWait)))

			continue
		}

		if err := x.queue.requeue(ctx, x.item.ID); err != nil {
			x.hasTurn = false

			return x.ex.NoTarget(err)
		}
	}
}

// viewStale reports whether the lease of the entry's view has expired.
func (x *exchangeRun) viewStale() bool { return !time.Now().Before(x.entry.View().ValidUntil) }

// allTargetsFailed reports whether every target has failed this request or refused it
// as stale.
func (x *exchangeRun) allTargetsFailed() bool {
	n := x.entry.Chooser.Capacity(time.Now(), x.call.service.GetName()).Targets

	return len(x.failedTargets()) >= n
}

// failedTargets returns the targets that this request must not be sent to for now.
func (x *exchangeRun) failedTargets() []string { return slices.Concat(x.excluded, x.staleTargets) }

// retryStaleTargets makes the targets that refused as stale eligible again, and reports
// whether there are any. It does so only if all other targets have failed and the
// caller has received a part of its answer: while the control VMs have no leader every
// target refuses as stale, but can resume the answer about a second later.
func (x *exchangeRun) retryStaleTargets() bool {
	if !x.reply.headSent || len(x.staleTargets) == 0 || !x.allTargetsFailed() {
		return false
	}

	x.staleTargets = nil

	return true
}

// noTargetLeft returns the refusal of a request that every target has failed. It has no
// retry time if the caller has received a part of its answer, because waiting cannot
// help then.
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

// acquireTarget chooses a target with a valid credit and starts an attempt for it.
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

		// A caller's disconnect or deadline is no failure of the target.
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

// ensureCredit returns the current credit for a choice, and requests one first if
// needed.
func (x *exchangeRun) ensureCredit(ctx context.Context, c routing.Choice) (*wire.Credit, error) {
	if c.NeedsCredit {
		req := routing.CreditRequest{Service: x.call.service.GetName(), AgentID: c.AgentID, Address: c.Address, Incarnation: c.Incarnation, Wanted: 1}
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
		AgentID: c.AgentID, AgentAddress: c.Address.String(),
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

// setKeyWindow sets the response header HeaderKeyWindow. A resend after that time would
// run again.
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

	r, err := x.entry.Claim(ctx, &wire.ClaimRequest{
		Workspace: x.call.workspace, Service: x.call.service.GetName(), Key: x.call.key,
		BodyDigest: x.call.digest(), Holder: h, Replaces: replaces,
	})
	if err == nil && r.GetState() == wire.ClaimState_ClaimRecorded && isBroken(r.GetAnswer()) {
		return &wire.ClaimResponse{State: wire.ClaimState_ClaimLost, WindowMillis: r.GetWindowMillis()}, nil
	}

	return r, err
}

// isBroken reports whether a has no valid head, or is a stream that was broken off inside an event.
// Earlier builds recorded such answers as complete.
func isBroken(a *wire.Answer) bool {
	if agentclient.CheckHead(a.GetStatus(), a.GetHeaders()) != nil {
		return true
	}

	if !beginsEventStream(&wire.Head{Status: a.GetStatus(), Headers: a.GetHeaders()}) {
		return false
	}

	var events eventstream.Scanner

	events.Scan(a.GetBody())

	return events.InsideEvent()
}

// releaseTarget frees the slot that Choose counted, when no request was sent.
func (x *exchangeRun) releaseTarget(cause verdict.Cause) {
	x.entry.Chooser.Finish(time.Now(), routing.Finished{
		AgentID: x.choice.AgentID, Incarnation: x.choice.Incarnation, Verdict: verdict.NotRun, Cause: cause,
	})
}

func (x *exchangeRun) queryAttempt(ctx context.Context, a exchange.Action) exchange.Action {
	sleepUntil(ctx, a.At)

	address, err := x.holderAddress(a.Holder)
	if err != nil {
		return x.ex.QueryFailed(time.Now())
	}

	// The query may exceed the caller's deadline, bounded by its own short timeout: a
	// certain verdict is worth more to the caller than a prompt one.
	r, err := x.entry.Agents.QueryAttempt(context.WithoutCancel(ctx), address, &wire.AskRequest{
		AttemptID: a.Holder.GetAttemptID(), Incarnation: a.Holder.GetIncarnation(),
		CreditExpiresAtTick: a.Holder.GetCreditExpiresAtTick(), Close: true,
	})
	if err != nil {
		return x.ex.QueryFailed(time.Now())
	}

	if isBroken(r.GetAnswer()) {
		r.Answer = nil
	}

	return x.ex.AttemptQueried(time.Now(), r)
}

// settle records the outcome for a claim. If that fails the claim stays open and a
// resend queries the agent instead, so the exchange continues in both cases.
func (x *exchangeRun) settle(ctx context.Context, a exchange.Action) exchange.Action {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()

	_, err := x.entry.Settle(ctx, &wire.SettleRequest{
		Workspace: x.call.workspace, Service: x.call.service.GetName(), Key: x.call.key,
		AttemptID: a.Attempt, Verdict: wire.Verdict(a.Verdict), Answer: a.Answer,
	})
	if err != nil {
		x.entry.Logger.Warn("Settling a claim failed; a resend will query the agent.", "key", x.call.key, "verdict", a.Verdict.String(), "error", err)
	}

	return *a.Then
}
