// Package retries decides whether and when a failed request is retried. Only requests that
// did not run, or that are idempotent, are retried, and a budget limits the retries of an
// entry to a small fraction of its requests.
package retries

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Budget limits retries with a token bucket. It is safe for concurrent use; each call holds
// a single lock for a few dozen nanoseconds.
type Budget struct {
	// Settings and Rand must be set before the first call. Rand must not be shared.
	Settings Settings
	Rand     *rand.Rand

	mu          sync.Mutex
	initialized bool
	tokens      float64
	lastRefill  time.Time
}

// Settings are the tunable parameters of a Budget. A zero field means the default
// given in parentheses.
type Settings struct {
	// Ratio is the number of retries that each request adds to the budget (0.2).
	Ratio float64
	// MinPerSecond is the number of retries per second added without any request (0.2), so
	// that an entry with few requests can still retry one.
	MinPerSecond float64
	// MaxTokens is the capacity of the bucket, in retries (10).
	MaxTokens float64
	// MaxAttempts limits the attempts per request, including the first (3).
	MaxAttempts int
	// BaseBackoff is the mean delay before the second attempt at the same target (25 ms).
	// It doubles with each attempt.
	BaseBackoff time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Ratio = cmp.Or(s.Ratio, 0.2)
	s.MinPerSecond = cmp.Or(s.MinPerSecond, 0.2)
	s.MaxTokens = cmp.Or(s.MaxTokens, 10)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, 3)
	s.BaseBackoff = cmp.Or(s.BaseBackoff, 25*time.Millisecond)

	return s
}

// Failure describes an attempt that returned no complete answer.
type Failure struct {
	Verdict verdict.Verdict
	Cause   verdict.Cause
	// RetryAt is when the refusing side expects to have capacity, or zero if not stated.
	RetryAt    time.Time
	Idempotent bool
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	// Deadline is the caller's deadline, or zero if there is none.
	Deadline time.Time
	// ExpectedDuration is the typical duration of an attempt.
	ExpectedDuration time.Duration
	// OtherTargets reports whether a target that was not tried yet may accept the request.
	OtherTargets bool
}

// Reason is the reason why a request is not retried.
type Reason string

// Reasons against a retry.
const (
	ReasonNone            Reason = ""
	ReasonMayHaveRun      Reason = "MayHaveRun"
	ReasonNotRetryable    Reason = "FinalCause"
	ReasonMaxAttempts     Reason = "TooManyTries"
	ReasonDeadline        Reason = "DeadlineTooNear"
	ReasonBudgetExhausted Reason = "BudgetSpent"
	ReasonNoOtherTarget   Reason = "NoOtherTarget"
	ReasonCallerCanceled  Reason = "CallerLeft"
	ReasonMostFail        Reason = "MostTargetsFail"
	ReasonStopping        Reason = "Stopping"
)

// Decision says whether and when to retry.
type Decision struct {
	Retry bool
	At    time.Time
	// Reason is set if Retry is false.
	Reason Reason
}

// RecordRequest records a new request. Retries must not be recorded.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+b.Settings.Ratio, b.Settings.MaxTokens)
}

// Decide decides whether the failed request is retried. If so, it takes one retry from the
// budget.
func (b *Budget) Decide(now time.Time, f Failure) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)

	if r := reasonAgainst(&f, b.Settings.MaxAttempts); r != ReasonNone {
		return Decision{Reason: r}
	}

	at := now.Add(b.backoff(now, &f))
	if !f.Deadline.IsZero() && at.Add(f.ExpectedDuration).After(f.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}

	if b.tokens < 1 {
		return Decision{Reason: ReasonBudgetExhausted}
	}

	b.tokens--

	return Decision{Retry: true, At: at}
}

func (b *Budget) refill(now time.Time) {
	if !b.initialized {
		b.initialized = true
		b.Settings = b.Settings.withDefaults()
		b.tokens = b.Settings.MaxTokens
		b.lastRefill = now
	}

	if d := now.Sub(b.lastRefill); d > 0 {
		b.tokens = min(b.tokens+d.Seconds()*b.Settings.MinPerSecond, b.Settings.MaxTokens)
		b.lastRefill = now
	}
}

// reasonAgainst returns the reason against a retry that follows from the failure alone.
func reasonAgainst(f *Failure, maxAttempts int) Reason {
	switch {
	case !f.Verdict.MayRepeat(f.Idempotent):
		return ReasonMayHaveRun
	case notRetryable(f.Cause):
		return ReasonNotRetryable
	case f.Attempts >= maxAttempts:
		return ReasonMaxAttempts
	case !f.OtherTargets && f.RetryAt.IsZero() && needsOtherTarget(f.Cause):
		return ReasonNoOtherTarget
	default:
		return ReasonNone
	}
}

// notRetryable reports whether another attempt would fail in the same way, or the caller no
// longer waits for it.
func notRetryable(c verdict.Cause) bool {
	switch c {
	case verdict.CauseDeadline, verdict.CauseMalformed, verdict.CauseTooLarge,
		verdict.CauseUnknownService, verdict.CauseKeyConflict, verdict.CauseKeyLost,
		verdict.CauseKeyBusy, verdict.CauseCancelled, verdict.CauseDuplicate, verdict.CauseClaims:
		return true
	default:
		return false
	}
}

// needsOtherTarget reports whether only another target can accept the request soon.
func needsOtherTarget(c verdict.Cause) bool {
	switch c {
	case verdict.CauseZoneOut, verdict.CauseLeaving, verdict.CauseOverload,
		verdict.CauseColdLimit, verdict.CauseTargetDown, verdict.CauseStopping:
		return true
	default:
		return false
	}
}

// backoff returns the delay before the retry. It is zero if another target may accept the
// request. Otherwise it is the time until RetryAt or an exponentially growing delay,
// whichever is longer, with jitter.
func (b *Budget) backoff(now time.Time, f *Failure) time.Duration {
	if f.OtherTargets {
		return 0
	}

	mean := b.Settings.BaseBackoff << max(0, f.Attempts-1)
	if hinted := f.RetryAt.Sub(now); !f.RetryAt.IsZero() && hinted > mean {
		return hinted + time.Duration(b.Rand.Float64()*float64(mean))
	}

	return mean/2 + time.Duration(b.Rand.Float64()*float64(mean))
}
