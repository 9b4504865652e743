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
	// shortestLook is the shortest time between two looks for room.
	shortestLook = 10 * time.Millisecond
	// staleLook is when targets that refused as stale are asked again for the rest of
	// an answer. A control set elects a leader within a second or so; a caller accepts
	// a pause of a tenth.
	staleLook = 100 * time.Millisecond
)

// choose waits for the request's turn, then for a target and its credit.
func (k *course) choose(ctx context.Context, at time.Time) exchange.Action {
	wait(ctx, at)

	k.entry.Chooser.RecordDemand(time.Now(), k.call.service.GetName())

	if gone := k.entry.Chooser.Unavailable(time.Now(), k.call.service.GetName()); gone != nil {
		return k.ex.NoTarget(gone.Refusal())
	}

	if !k.queued {
		if err := k.queue.enter(ctx, k.item); err != nil {
			return k.ex.NoTarget(err)
		}

		k.queued = true
	}

	for {
		none := k.look(ctx)
		if none == nil {
			return k.ex.Chosen(k.attempt)
		}

		if ctx.Err() == nil && k.viewStale() {
			// Without control VMs agents grant nothing and refuse all new work: to say
			// that they are full or cold would send operators the wrong way.
			none.Cause = verdict.CauseStale

			return k.ex.NoTarget(none)
		}

		if ctx.Err() != nil || !full(none) {
			return k.ex.NoTarget(none)
		}

		if k.askStaleAgain() {
			wait(ctx, time.Now().Add(staleLook))

			continue
		}

		if k.triedAll() {
			return k.ex.NoTarget(k.noneLeft(none))
		}

		if k.reply.headed {
			// The caller has half of its answer: it keeps its turn, and no estimate of
			// the queue's gives it up before its deadline.
			wait(ctx, later(none.RetryAt, time.Now().Add(shortestLook)))

			continue
		}

		if err := k.queue.again(ctx, k.item.ID); err != nil {
			k.queued = false

			return k.ex.NoTarget(err)
		}
	}
}

// viewStale reports whether the entry's freshness lease has run out.
func (k *course) viewStale() bool { return !time.Now().Before(k.entry.View().ValidUntil) }

// triedAll reports whether every target has failed this request, or refused it as stale.
func (k *course) triedAll() bool {
	n := k.entry.Chooser.Capacity(time.Now(), k.call.service.GetName()).Targets

	return len(k.tried()) >= n
}

// tried returns the targets that this request is not sent to again for now.
func (k *course) tried() []string { return slices.Concat(k.excluded, k.stale) }

// askStaleAgain forgets which targets refused as stale, once all others have failed too
// and the caller has half of its answer. Without a leader of the control VMs every target
// refuses so, and the answer was cut though all of them could go on with it a second
// later. It reports whether there are such targets.
func (k *course) askStaleAgain() bool {
	if !k.reply.headed || len(k.stale) == 0 || !k.triedAll() {
		return false
	}

	k.stale = nil

	return true
}

// noneLeft refuses a request that every target has failed. A stream that waits to
// be resumed is not told when to come back: no time helps it.
func (k *course) noneLeft(none *verdict.Error) *verdict.Error {
	if k.reply.headed {
		return verdict.Refuse(verdict.CauseNoTarget, time.Time{})
	}

	return verdict.Refuse(verdict.CauseNoTarget, none.RetryAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

func full(err *verdict.Error) bool {
	return err.Cause == verdict.CauseOverload || err.Cause == verdict.CauseColdLimit
}

// look chooses a target and makes sure of a credit.
func (k *course) look(ctx context.Context) *verdict.Error {
	e := k.entry

	for {
		choice, none := e.Chooser.Choose(time.Now(), routing.Request{
			Service: k.call.service.GetName(), Zone: e.Zone, Region: e.Region,
			Excluded: k.tried(), Idempotent: k.call.idempotent, Prefixes: k.call.prefixes(),
		})
		if none != nil {
			return none.Refusal()
		}

		credit, err := k.credit(ctx, choice)
		if err == nil {
			k.accept(choice, credit)

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
		k.excluded = append(k.excluded, choice.AgentID)
	}
}

// credit returns the credit in force for a choice, asking for one if need be.
func (k *course) credit(ctx context.Context, c routing.Choice) (*wire.Credit, error) {
	if c.NeedsCredit {
		ask := routing.CreditRequest{Service: k.call.service.GetName(), AgentID: c.AgentID, Addr: c.Addr, Incarnation: c.Incarnation, Wanted: 1}
		if err := k.entry.credit(ctx, ask); err != nil {
			return nil, err
		}
	}

	v, ok := k.entry.credits.Load(c.AgentID)
	if !ok {
		return nil, verdict.Refuse(verdict.CauseCredit, time.Time{})
	}

	return v.(*wire.Credit), nil
}

func (k *course) accept(c routing.Choice, credit *wire.Credit) {
	k.choice = c
	k.attempt = &wire.ClaimHolder{
		AttemptID: uuid.NewString(), EntryID: k.entry.ID,
		AgentID: c.AgentID, AgentAddress: c.Addr.String(),
		Incarnation: credit.GetIncarnation(), CreditExpiresAtTick: credit.GetExpiresAtTick(),
	}
}

func (k *course) claim(ctx context.Context, replaces string) exchange.Action {
	r, err := k.claimRequest(ctx, k.attempt, replaces)
	if err != nil {
		k.free(verdict.CauseClaims)

		return k.ex.ClaimFailed(time.Now())
	}

	k.tellWindow(r)

	if r.GetState() != wire.ClaimState_ClaimGranted {
		k.free(verdict.CauseClaims)
	}

	return k.ex.Claimed(time.Now(), r)
}

// tellWindow tells the caller for how long its key stands for this request: a
// resend that comes later would run anew.
func (k *course) tellWindow(r *wire.ClaimResponse) {
	if s := r.GetWindowMillis() / 1000; s > 0 {
		k.reply.w.Header().Set(HeaderKeyWindow, strconv.FormatUint(s, 10))
	}
}

func (k *course) lookUp(ctx context.Context) exchange.Action {
	r, err := k.claimRequest(ctx, nil, "")
	if err != nil {
		return k.ex.ClaimFailed(time.Now())
	}

	return k.ex.LookedUp(time.Now(), r)
}

func (k *course) claimRequest(ctx context.Context, h *wire.ClaimHolder, replaces string) (*wire.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()

	return k.entry.Claim(ctx, &wire.ClaimRequest{
		Workspace: k.call.workspace, Service: k.call.service.GetName(), Key: k.call.key,
		BodyDigest: k.call.digest(), Holder: h, Replaces: replaces,
	})
}

// free gives back the place that Choose counted, when nothing was sent.
func (k *course) free(cause verdict.Cause) {
	k.entry.Chooser.Finish(time.Now(), routing.Finished{
		AgentID: k.choice.AgentID, Incarnation: k.choice.Incarnation, Verdict: verdict.NotRun, Cause: cause,
	})
}

func (k *course) ask(ctx context.Context, a exchange.Action) exchange.Action {
	wait(ctx, a.At)

	address, err := k.holderAddress(a.Holder)
	if err != nil {
		return k.ex.AskFailed(time.Now())
	}

	// The ask outlives the caller's deadline by its own short timeout: a truthful
	// last word is worth more than a prompt guess.
	r, err := k.entry.Agents.Ask(context.WithoutCancel(ctx), address, &wire.AskRequest{
		AttemptID: a.Holder.GetAttemptID(), Incarnation: a.Holder.GetIncarnation(),
		CreditExpiresAtTick: a.Holder.GetCreditExpiresAtTick(), Close: true,
	})
	if err != nil {
		return k.ex.AskFailed(time.Now())
	}

	return k.ex.Asked(time.Now(), r)
}

// settle records an outcome. If that fails the claim stays open, and a resend
// asks the agent instead, so the exchange goes on either way.
func (k *course) settle(ctx context.Context, a exchange.Action) exchange.Action {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claimTimeout)
	defer cancel()

	_, err := k.entry.Settle(ctx, &wire.SettleRequest{
		Workspace: k.call.workspace, Service: k.call.service.GetName(), Key: k.call.key,
		AttemptID: a.Attempt, Verdict: wire.Verdict(a.Verdict), Answer: a.Answer,
	})
	if err != nil {
		k.entry.Logger.Warn("claim not settled", "key", k.call.key, "verdict", a.Verdict.String(), "error", err)
	}

	return *a.Then
}
