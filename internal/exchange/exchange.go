// Package exchange is the state machine of one request at an entry, from choosing a
// target to the final response to the caller. It does no I/O: the entry performs each
// Action and reports the result by a method, which returns the next Action. Two rules
// apply throughout: a request is sent again only if it did not run or is idempotent,
// and the caller gets the verdict NotRun only if it is certain.
package exchange

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const (
	// minQueryInterval and maxQueryInterval bound the time between two queries for the
	// state of an attempt. The interval doubles each time.
	minQueryInterval = 50 * time.Millisecond
	maxQueryInterval = time.Second
	// maxInterruptions bounds how many times one answer is resumed. resumeDelay is the time
	// before each resumption.
	maxInterruptions = 3
	resumeDelay      = 20 * time.Millisecond
	// maxQueryFailures bounds the queries to an agent that does not answer.
	maxQueryFailures = 4
	// retryAfter is the time after which a caller may retry when its key is in use, or
	// when the outcome or the claim cannot be determined at the moment.
	retryAfter = time.Second
)

// Exchange is the state of one request. Its exported fields must be set before Start.
type Exchange struct {
	// Idempotent is set if the service declares this call idempotent.
	Idempotent bool
	// Keyed is set if the caller sent an idempotency key.
	Keyed bool
	// Resumable is set if another target can continue the relayed part of this answer.
	// Unlike the other fields it is set before each call of Ended.
	Resumable bool
	// Deadline is the caller's deadline.
	Deadline time.Time
	// Retry asks the entry's retry budget whether the request may be sent again after
	// the given number of attempts, the last of which ended with err, and from when on.
	Retry func(now time.Time, err *verdict.Error, attempts int) (at time.Time, ok bool)

	attempts       int
	ownAttempt     *wire.ClaimHolder
	queriedAttempt *wire.ClaimHolder
	claimedID      string
	granted        bool
	lookedUp       bool
	relayed        bool
	mayHaveRun     bool
	interruptions  int
	queryFailures  int
	queryInterval  time.Duration
	lastErr        *verdict.Error
}

// Start returns the first action.
func (e *Exchange) Start(now time.Time) Action {
	return e.choose(now)
}

// Attempts returns how many attempts have been chosen.
func (e *Exchange) Attempts() int { return e.attempts }

// Chosen reports that a target and credit were chosen for the attempt in holder.
func (e *Exchange) Chosen(holder *wire.ClaimHolder) Action {
	e.ownAttempt = holder
	e.queriedAttempt = nil
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
		return e.finishMayHaveRun(err)
	default:
		return Action{Kind: Choose, At: err.RetryAt, Resume: true}
	}
}

// Claimed reports the control VMs' response to a claim.
func (e *Exchange) Claimed(now time.Time, r *wire.ClaimResponse) Action {
	switch r.GetState() {
	case wire.ClaimState_ClaimGranted:
		e.claimedID = e.ownAttempt.GetAttemptID()
		e.granted = true

		return Action{Kind: Send}
	case wire.ClaimState_ClaimOpen:
		return e.queryOtherAttempt(now, r.GetHolder())
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

// ClaimFailed reports that no control VM answered a claim or a lookup. This exchange
// sends nothing, but an earlier request with the same key may have run, so the verdict
// is not NotRun. The caller can safely resend under the same key.
func (e *Exchange) ClaimFailed(now time.Time) Action {
	return finish(&verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseClaims, RetryAt: now.Add(retryAfter)})
}

// LookedUp reports the state of the key of a request that is about to be refused.
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
		// The answer was too large to be recorded, so resends get AnswerLost.
		return e.settleThen(verdict.MayHaveRun, Action{Kind: Finish})
	case outcome.Complete && e.granted:
		return e.settleRan(outcome.Answer)
	case outcome.Complete:
		return Action{Kind: Finish}
	case outcome.CallerDisconnected && !e.granted:
		return finish(&verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseCancelled, Err: outcome.Err})
	case e.relayed:
		return e.resumeStream(now, outcome.Err)
	case outcome.Err.Verdict == verdict.NotRun:
		return e.retry(now, outcome.Err)
	case e.Idempotent:
		e.mayHaveRun = true

		return e.retry(now, outcome.Err)
	default:
		return e.queryOwnAttempt(now, outcome.Err)
	}
}

// AttemptQueried reports an agent's response to QueryAttempt.
func (e *Exchange) AttemptQueried(now time.Time, r *wire.AskResponse) Action {
	switch r.GetState() {
	case wire.AskState_AskRunning:
		e.queryFailures = 0

		return e.queryAgain(now, verdict.CauseKeyBusy)
	case wire.AskState_AskRan:
		return e.handleRan(r.GetAnswer())
	case wire.AskState_AskClosed:
		return e.handleClosed(now)
	default:
		return e.finishAnswerLost()
	}
}

// QueryFailed reports that the agent could not be reached. The state of the attempt
// remains unknown, so its claim stays open and a later resend can query it again.
func (e *Exchange) QueryFailed(now time.Time) Action {
	e.queryFailures++
	if e.queryFailures >= maxQueryFailures {
		return finish(&verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseSilent, RetryAt: now.Add(retryAfter)})
	}

	return e.queryAgain(now, verdict.CauseSilent)
}

func (e *Exchange) choose(now time.Time) Action {
	if !now.Before(e.Deadline) {
		return e.NoTarget(verdict.Refuse(verdict.CauseDeadline, time.Time{}))
	}

	return Action{Kind: Choose, At: now}
}

// retry sends the request again if the retry budget permits. err must be NotRun or the
// call idempotent.
func (e *Exchange) retry(now time.Time, err *verdict.Error) Action {
	at, ok := e.Retry(now, err, e.attempts)
	if !ok {
		return e.refuse(err)
	}

	return Action{Kind: Choose, At: at}
}

// resumeStream continues a stream of which the caller has received a part. It does not
// use the retry budget: the interrupted attempt has freed its slot, so a resumption
// adds no load, and targets that are full at the moment are no reason to cut off an
// answer while its caller waits. The resumptions are bounded by maxInterruptions.
func (e *Exchange) resumeStream(now time.Time, err *verdict.Error) Action {
	if err.Verdict != verdict.NotRun {
		e.interruptions++
	}

	at := now.Add(resumeDelay)
	if !e.Resumable || !e.Idempotent || e.interruptions > maxInterruptions || !at.Before(e.Deadline) {
		return e.finishMayHaveRun(err)
	}

	return Action{Kind: Choose, At: at, Resume: true}
}

func (e *Exchange) queryOwnAttempt(now time.Time, err *verdict.Error) Action {
	e.lastErr = err
	e.queriedAttempt = e.ownAttempt
	e.queryInterval = minQueryInterval

	return Action{Kind: QueryAttempt, Holder: e.queriedAttempt, At: now}
}

func (e *Exchange) queryOtherAttempt(now time.Time, holder *wire.ClaimHolder) Action {
	e.queriedAttempt = holder
	e.queryInterval = minQueryInterval

	return Action{Kind: QueryAttempt, Holder: holder, At: now}
}

func (e *Exchange) queryAgain(now time.Time, cause verdict.Cause) Action {
	at := now.Add(e.queryInterval)
	e.queryInterval = min(2*e.queryInterval, maxQueryInterval)

	if at.After(e.Deadline) {
		return finish(&verdict.Error{Verdict: verdict.MayHaveRun, Cause: cause, RetryAt: now.Add(retryAfter)})
	}

	return Action{Kind: QueryAttempt, Holder: e.queriedAttempt, At: at}
}

func (e *Exchange) handleRan(answer *wire.Answer) Action {
	if answer != nil && e.Keyed {
		return e.settleRan(answer)
	}

	if answer != nil {
		return Action{Kind: Deliver, Answer: answer}
	}

	err := &verdict.Error{Verdict: verdict.Ran, Cause: verdict.CauseKeyLost}

	return e.settleThen(verdict.MayHaveRun, finish(err))
}

// handleClosed continues a request whose attempt is closed and can no longer run.
func (e *Exchange) handleClosed(now time.Time) Action {
	if e.queriedAttempt != e.ownAttempt {
		// Another entry's attempt is closed, so this exchange may replace its claim.
		e.claimedID = e.queriedAttempt.GetAttemptID()
		if e.lookedUp {
			return finish(e.lastErr)
		}

		return e.choose(now)
	}

	err := *e.lastErr
	err.Verdict = verdict.NotRun

	return e.retry(now, &err)
}

// finishAnswerLost ends an exchange if the agent cannot determine the outcome of the
// attempt, because it restarted, has evicted the record, or lost its connection to the
// target.
func (e *Exchange) finishAnswerLost() Action {
	err := &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseKeyLost}

	return e.settleThen(verdict.MayHaveRun, finish(err))
}

// refuse ends an exchange without an answer and releases its claim.
func (e *Exchange) refuse(err *verdict.Error) Action {
	e.lastErr = err

	switch {
	case err.Verdict != verdict.NotRun:
		return finish(err)
	case e.mayHaveRun:
		// An earlier attempt of this idempotent request may have run, so the caller
		// must not get NotRun although the last attempt did not run.
		return e.finishMayHaveRun(err)
	case e.granted:
		return e.settleThen(verdict.NotRun, finish(err))
	case e.Keyed && !e.Idempotent && !e.lookedUp:
		// The refused request (overload, no target) may be a resend of one that ran. On
		// NotRun its caller would book again under a new key, so look up the key first.
		e.lookedUp = true

		return Action{Kind: LookUp}
	default:
		return finish(err)
	}
}

// finishMayHaveRun ends an exchange with err, but with the verdict MayHaveRun, because
// an attempt ran in part or may have run. An answer of which the caller has received a
// part must never end as if it were complete.
func (e *Exchange) finishMayHaveRun(err *verdict.Error) Action {
	final := *err
	final.Verdict = verdict.MayHaveRun

	return finish(&final)
}

func (e *Exchange) settleRan(answer *wire.Answer) Action {
	a := e.settleThen(verdict.Ran, Action{Kind: Deliver, Answer: answer})
	a.Answer = answer

	return a
}

// settleThen records v for the attempt that was queried or, if there is none, for
// the claim that this exchange holds.
func (e *Exchange) settleThen(v verdict.Verdict, then Action) Action {
	if !e.Keyed || e.Idempotent {
		return then
	}

	attempt := e.claimedID
	if e.queriedAttempt != nil {
		attempt = e.queriedAttempt.GetAttemptID()
	}

	return Action{Kind: Settle, Verdict: v, Attempt: attempt, Then: &then}
}

func finish(err *verdict.Error) Action {
	return Action{Kind: Finish, Err: err}
}
