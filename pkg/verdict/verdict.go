// Package verdict says whether a request may have run. Every error that a
// request can meet, in any process, carries one Verdict, and retry decisions
// read nothing else.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run. The zero value is the cautious
// one, so that a forgotten assignment never permits a second run.
type Verdict uint8

const (
	// MayHaveRun means that nobody can tell whether the request ran.
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

// MayRepeat reports whether a request with this verdict may be sent again.
// An idempotent request always may.
func (v Verdict) MayRepeat(idempotent bool) bool {
	return idempotent || v == NotRun
}

// Cause names why a request was refused or broken. Callers read it in the
// Parsleygate-Cause header, so the values are part of the interface.
type Cause string

// The causes of refusals and broken answers.
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
)

// Error is a request's end without a whole answer.
type Error struct {
	Verdict Verdict
	Cause   Cause
	// RetryAt is when the caller may try again; zero where a retry is of no use.
	RetryAt time.Time
	// Err is the fault below, or nil.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Cause, e.Verdict)
	}

	return fmt.Sprintf("%s (%s): %v", e.Cause, e.Verdict, e.Err)
}

// Unwrap returns the fault below.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict that err carries. An error without one may have left
// the request running, so the answer is MayHaveRun.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}

	return MayHaveRun
}

// CauseOf returns the cause that err carries, or CauseBroken.
func CauseOf(err error) Cause {
	var e *Error
	if errors.As(err, &e) {
		return e.Cause
	}

	return CauseBroken
}

// Refuse returns an Error for a request that did not run.
func Refuse(cause Cause, retryAt time.Time) *Error {
	return &Error{Verdict: NotRun, Cause: cause, RetryAt: retryAt}
}
