// Package verdict defines whether a failed request may have run. Every error of a
// request, in any process, carries a Verdict, and retry decisions depend on nothing else.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request may have run. The zero value is MayHaveRun, so that a
// missing assignment never permits a second run.
type Verdict uint8

const (
	// MayHaveRun means that it is unknown whether the request ran.
	MayHaveRun Verdict = iota
	// NotRun means that the request did not run and never will.
	NotRun
	// Ran means that the request ran.
	Ran
)

// String returns the name of v as callers see it.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "NotRun"
	case Ran:
		return "Ran"
	default:
		return "MayHaveRun"
	}
}

// MayRepeat reports whether a request with this verdict may be retried. An idempotent
// request may always be retried.
func (v Verdict) MayRepeat(idempotent bool) bool {
	return idempotent || v == NotRun
}

// Cause is the reason why a request was refused or failed. Callers read it in the
// Parsleygate-Cause header, so the values are part of the public interface.
type Cause string

// The causes of refused requests and incomplete answers.
const (
	CauseNoTarget       Cause = "NoTarget"
	CauseZoneOut        Cause = "ZoneOut"
	CauseLeaving        Cause = "Leaving"
	CauseOverload       Cause = "Overload"
	CauseColdLimit      Cause = "ColdLimit"
	CauseStale          Cause = "StaleConfiguration"
	CauseCredit         Cause = "CreditExpired"
	CauseIncarnation    Cause = "EarlierIncarnation"
	CauseDuplicate      Cause = "DuplicateAttempt"
	CauseClosed         Cause = "AttemptClosed"
	CauseDeadline       Cause = "DeadlinePassed"
	CauseTargetDown     Cause = "TargetDown"
	CauseSilent         Cause = "ConnectionSilent"
	CauseBroken         Cause = "AnswerBroken"
	CauseCrossed        Cause = "AnswerCrossed"
	CauseTooLarge       Cause = "TooLarge"
	CauseMalformed      Cause = "Malformed"
	CauseUnknownService Cause = "UnknownService"
	CauseKeyConflict    Cause = "KeyConflict"
	CauseKeyLost        Cause = "AnswerLost"
	CauseKeyBusy        Cause = "KeyInProgress"
	CauseClaims         Cause = "ClaimsUnavailable"
	CauseCancelled      Cause = "CallerCancelled"
	CauseStopping       Cause = "Stopping"
	CauseTargetFailure  Cause = "TargetFailure"
	CauseQuarantined    Cause = "Quarantined"
)

// Error is the error of a request that ended without a complete answer.
type Error struct {
	Verdict Verdict
	Cause   Cause
	// RetryAt is when the caller may retry; zero if a retry is of no use.
	RetryAt time.Time
	// Err is the underlying error, or nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Cause, e.Verdict)
	}

	return fmt.Sprintf("%s (%s): %v", e.Cause, e.Verdict, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict that err carries, or MayHaveRun if it carries none, because the
// request may still be running.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}

	return MayHaveRun
}

// CauseOf returns the cause that err carries, or CauseBroken if it carries none.
func CauseOf(err error) Cause {
	var e *Error
	if errors.As(err, &e) {
		return e.Cause
	}

	return CauseBroken
}

// Refuse returns the Error of a request that was refused and did not run.
func Refuse(cause Cause, retryAt time.Time) *Error {
	return &Error{Verdict: NotRun, Cause: cause, RetryAt: retryAt}
}
