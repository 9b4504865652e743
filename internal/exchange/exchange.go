// Package exchange holds the course of one request at an entry, from choosing a
// target to the last word to the caller, as a core without I/O. The shell does
// what an Action says and reports what came of it; each report returns the next
// Action. Two rules decide everything: only a request that did not run, or an
// idempotent one, is sent again, and NotRun is said only when it is known.
package exchange

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const (
	// minAskInterval and maxAskWait bound the wait between two asks about one attempt.
	minAskInterval = 50 * time.Millisecond
	maxAskInterval = time.Second
	// maxInterruptions bounds how often one answer is resumed, resumePause the rate.
	maxInterruptions = 3
	resumeDelay      = 20 * time.Millisecond
	// maxAskFailures bounds the asks to an agent that does not answer.
	maxAskFailures = 4
	// retryAfter is when a caller whose key is in use elsewhere may come back.
	retryAfter = time.Second
)

// Exchange is the aggregate of one request. Its fields are set before Start.
type Exchange struct {
	// Idempotent says that the service declares this call repeatable.
	Idempotent bool
	// Keyed says that the caller gave an idempotency key.
	Keyed bool
	// Resumable says that another target can continue what was relayed of this
	// answer; it is set before Ended.
	Resumable bool
	// Deadline is the caller's.
	Deadline time.Time
	// Retry asks the entry's retry budget whether the request, after so many tries
	// of which the last ended with err, may be tried again, and from when on.
	Retry func(now time.Time, err *verdict.Error, attempts int) (at time.Time, ok bool)

	attempts      int
	ownAttempt    *wire.ClaimHolder
	askedAttempt  *wire.ClaimHolder
	claimedID     string
	granted       bool
	lookedUp      bool
	relayed       bool
	mayHaveRun    bool
	interruptions int
	askFailures   int
	askInterval   time.Duration
	lastErr       *verdict.Error
}

// Start returns the first action.
func (e *Exchange) Start(now time.Time) Action {
	return e.choose(now)
}

// Attempts returns how many attempts have been chosen.
func (e *Exchange) Attempts() int { return e.attempts }

// Chosen reports the attempt that is to be sent, with its target and credit.
func (e *Exchange) Chosen(holder *wire.ClaimHolder) Action {
	e.ownAttempt = holder
	e.askedAttempt = nil
	e.attempts++

	if e.Keyed && !e.Idempotent {
		return Action{Kind: Claim, Replaces: e.claimedID}
	}

	return Action{Kind: Send, Resume: e.relayed}
}

// NoTarget reports that no target could be chosen.
func (e *Exchange) NoTarget(err *verdict.Error) Action {
	switch {
	case !e.relayed:
		return e.refuse(err)
	case err.RetryAt.IsZero() || !err.RetryAt.Before(e.Deadline) || err.Cause == verdict.CauseCancelled:
		return e.finishBroken(err)
	default:
		return Action{Kind: Choose, At: err.RetryAt, Resume: true}
	}
}

// Claimed reports what the control VMs answered to a claim.
func (e *Exchange) Claimed(now time.Time, r *wire.ClaimResponse) Action {
	switch r.GetState() {
	case wire.ClaimState_ClaimGranted:
		e.claimedID = e.ownAttempt.GetAttemptID()
		e.granted = true

		return Action{Kind: Send}
	case wire.ClaimState_ClaimOpen:
		return e.askOther(now, r.GetHolder())
	case wire.ClaimState_ClaimRecorded:
		return Action{Kind: Deliver, Answer: r.GetAnswer()}
	case wire.ClaimState_ClaimConflict:
		return finish(verdict.Refuse(verdict.CauseKeyConflict, time.Time{}))
	case wire.ClaimState_ClaimLost:
		return finish(&verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyLost})
	case wire.ClaimState_ClaimFull:
		return finish(verdict.Refuse(verdict.CauseClaims, now.Add(retryAfter)))
	default:
		return e.ClaimFailed(now)
	}
}

// ClaimFailed reports that no control VM answered a claim or a look-up. This
// exchange sends nothing, but an earlier send of the same key may have run, so
// NotRun would be a guess. A resend under the same key stays safe.
func (e *Exchange) ClaimFailed(now time.Time) Action {
	return finish(&verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseClaims, RetryAt: now.Add(retryAfter)})
}

// LookedUp reports what a key stands for that this exchange is about to refuse.
func (e *Exchange) LookedUp(now time.Time, r *wire.ClaimResponse) Action {
	if r.GetState() == wire.ClaimState_ClaimFree {
		return finish(e.lastErr)
	}

	return e.Claimed(now, r)
}

// Ended reports how the attempt that was sent ended.
func (e *Exchange) Ended(now time.Time, outcome Outcome) Action {
	e.relayed = e.relayed || outcome.Relayed

	switch {
	case outcome.Complete && e.granted && outcome.Relayed:
		// The answer was too large to be recorded: resends learn that it is lost.
		return e.settleThen(verdict.MayHaveRun, Action{Kind: Finish})
	case outcome.Complete && e.granted:
		return e.settleRan(outcome.Answer)
	case outcome.Complete:
		return Action{Kind: Finish}
	case outcome.CallerDisconnected && !e.granted:
		return finish(&verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCancelled, Err: outcome.Err})
	case e.relayed:
		return e.resume(now, outcome.Err)
	case outcome.Err.Verdict == verdict.NotRun:
		return e.retry(now, outcome.Err)
	case e.Idempotent:
		e.mayHaveRun = true

		return e.retry(now, outcome.Err)
	default:
		return e.askOwn(now, outcome.Err)
	}
}

// Asked reports what an agent said of the attempt that Ask named.
func (e *Exchange) Asked(now time.Time, r *wire.AskResponse) Action {
	switch r.GetState() {
	case wire.AskState_AskRunning:
		e.askFailures = 0

		return e.askAgain(now, verdict.CauseKeyBusy)
	case wire.AskState_AskRan:
		return e.askedRan(r.GetAnswer())
	case wire.AskState_AskClosed:
		return e.askedClosed(now)
	default:
		return e.finishUnknown()
	}
}

// AskFailed reports that the agent could not be asked. That says nothing of the
// attempt, so a claim stays open for a later resend to ask again.
func (e *Exchange) AskFailed(now time.Time) Action {
	e.askFailures++
	if e.askFailures >= maxAskFailures {
		return finish(&verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseSilent, RetryAt: now.Add(retryAfter)})
	}

	return e.askAgain(now, verdict.CauseSilent)
}

func (e *Exchange) choose(now time.Time) Action {
	if !now.Before(e.Deadline) {
		return e.NoTarget(verdict.Refuse(verdict.CauseDeadline, time.Time{}))
	}

	return Action{Kind: Choose, At: now}
}

// retry sends the request once more, if the retry budget leaves room. err is
// NotRun, or the call is idempotent.
func (e *Exchange) retry(now time.Time, err *verdict.Error) Action {
	at, ok := e.Retry(now, err, e.attempts)
	if !ok {
		return e.refuse(err)
	}

	return Action{Kind: Choose, At: at}
}

// resume continues a stream of which the caller has some. It asks no retry
// budget: the broken attempt has freed its place, so going on adds no load, and
// targets that are full at the moment are no reason to cut an answer off while
// its caller still waits. Only answers that break again and again end it.
func (e *Exchange) resume(now time.Time, err *verdict.Error) Action {
	if err.Verdict != verdict.NotRun {
		e.interruptions++
	}

	at := now.Add(resumeDelay)
	if !e.Resumable || !e.Idempotent || e.interruptions > maxInterruptions || !at.Before(e.Deadline) {
		return e.finishBroken(err)
	}

	return Action{Kind: Choose, At: at, Resume: true}
}

func (e *Exchange) askOwn(now time.Time, err *verdict.Error) Action {
	e.lastErr = err
	e.askedAttempt = e.ownAttempt
	e.askInterval = minAskInterval

	return Action{Kind: Ask, Holder: e.askedAttempt, At: now}
}

func (e *Exchange) askOther(now time.Time, holder *wire.ClaimHolder) Action {
	e.askedAttempt = holder
	e.askInterval = minAskInterval

	return Action{Kind: Ask, Holder: holder, At: now}
}

func (e *Exchange) askAgain(now time.Time, cause verdict.Cause) Action {
	at := now.Add(e.askInterval)
	e.askInterval = min(2*e.askInterval, maxAskInterval)

	if at.After(e.Deadline) {
		return finish(&verdict.Error{Verdict: verdict.MayHaveRun, Cause: cause, RetryAt: now.Add(retryAfter)})
	}

	return Action{Kind: Ask, Holder: e.askedAttempt, At: at}
}

func (e *Exchange) askedRan(answer *wire.Answer) Action {
	if answer != nil && e.Keyed {
		return e.settleRan(answer)
	}

	if answer != nil {
		return Action{Kind: Deliver, Answer: answer}
	}

	err := &verdict.Error{Verdict: verdict.Ran, Cause: verdict.CauseKeyLost}

	return e.settleThen(verdict.MayHaveRun, finish(err))
}

// askedClosed goes on with a request whose attempt is now known never to run.
func (e *Exchange) askedClosed(now time.Time) Action {
	if e.askedAttempt != e.ownAttempt {
		// Another entry's attempt is closed: this exchange may take its claim over.
		e.claimedID = e.askedAttempt.GetAttemptID()
		if e.lookedUp {
			return finish(e.lastErr)
		}

		return e.choose(now)
	}

	err := *e.lastErr
	err.Verdict = verdict.NotRun

	return e.retry(now, &err)
}

// finishUnknown ends an exchange whose agent cannot tell, because its incarnation is gone.
func (e *Exchange) finishUnknown() Action {
	err := &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyLost}

	return e.settleThen(verdict.MayHaveRun, finish(err))
}

// refuse ends an exchange without an answer. A claim that it holds is freed.
func (e *Exchange) refuse(err *verdict.Error) Action {
	e.lastErr = err

	switch {
	case err.Verdict != verdict.NotRun:
		return finish(err)
	case e.mayHaveRun:
		// An earlier attempt of this idempotent request may have run: that the last
		// one did not is no ground for telling the caller NotRun.
		return e.finishBroken(err)
	case e.granted:
		return e.settleThen(verdict.NotRun, finish(err))
	case e.Keyed && !e.Idempotent && !e.lookedUp:
		// A resend refused here (overload, no target) may be of a key that ran before:
		// its caller would take NotRun as leave to book under a new key.
		e.lookedUp = true

		return Action{Kind: LookUp}
	default:
		return finish(err)
	}
}

// finishBroken ends an answer of which the caller has some. It is never ended as if whole.
func (e *Exchange) finishBroken(err *verdict.Error) Action {
	broken := *err
	broken.Verdict = verdict.MayHaveRun

	return finish(&broken)
}

func (e *Exchange) settleRan(answer *wire.Answer) Action {
	a := e.settleThen(verdict.Ran, Action{Kind: Deliver, Answer: answer})
	a.Answer = answer

	return a
}

// settleThen records v for the claim that was asked about or is held, if any.
func (e *Exchange) settleThen(v verdict.Verdict, then Action) Action {
	if !e.Keyed || e.Idempotent {
		return then
	}

	attempt := e.claimedID
	if e.askedAttempt != nil {
		attempt = e.askedAttempt.GetAttemptID()
	}

	return Action{Kind: Settle, Verdict: v, Attempt: attempt, Then: &then}
}

func finish(err *verdict.Error) Action {
	return Action{Kind: Finish, Err: err}
}
