// Package retries decides whether a failed request is sent again, and when.
// Only what did not run, or is idempotent, is; a budget keeps all retries of an
// entry a small share of its fresh requests.
package retries

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Budget decides on retries. All methods may be called concurrently; each
// holds one lock for a few dozen nanoseconds.
type Budget struct {
	// Settings and Rand are set before the first call. Nothing else may use Rand.
	Settings Settings
	Rand     *rand.Rand

	mu          sync.Mutex
	initialized bool
	tokens      float64
	lastRefill  time.Time
}

// Settings are the tunable numbers of a Budget. The zero value of each field
// stands for the default named beside it.
type Settings struct {
	// Ratio is how many retries a fresh request pays for (0.2).
	Ratio float64
	// MinPerSecond is how many retries are paid for without any request (0.2),
	// so that an entry with few requests can still retry one.
	MinPerSecond float64
	// MaxTokens bounds what is saved up (10).
	MaxTokens float64
	// MaxAttempts bounds the tries of one request, its first included (3).
	MaxAttempts int
	// BaseBackoff is the mean pause before a second try at a broken target; it doubles (25 ms).
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

// Failure is one try that brought no whole answer.
type Failure struct {
	Verdict verdict.Verdict
	Cause   verdict.Cause
	// RetryAt is when the refusing side expects room; zero when it did not say.
	RetryAt    time.Time
	Idempotent bool
	// Attempts is how many tries were made, this one included.
	Attempts int
	// Deadline is the caller's; zero for none.
	Deadline time.Time
	// ExpectedDuration is how long a try usually takes.
	ExpectedDuration time.Duration
	// OtherTargets says that a target not yet tried may take the request.
	OtherTargets bool
}

// Reason says why a request is not retried.
type Reason string

// The reasons against a retry.
const (
	ReasonNone            Reason = ""
	ReasonMayHaveRun      Reason = "MayHaveRun"
	ReasonNotRetryable    Reason = "FinalCause"
	ReasonMaxAttempts     Reason = "TooManyTries"
	ReasonDeadline        Reason = "DeadlineTooNear"
	ReasonBudgetExhausted Reason = "BudgetSpent"
	ReasonNoOtherTarget   Reason = "NoOtherTarget"
	ReasonCallerCanceled  Reason = "CallerLeft"
)

// Decision says whether and when to retry.
type Decision struct {
	Retry bool
	At    time.Time
	// Reason is set when Retry is false.
	Reason Reason
}

// RecordRequest records one new request of a caller. Retries are not fresh.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.tokens = min(b.tokens+b.Settings.Ratio, b.Settings.MaxTokens)
}

// Decide says whether the request behind f is sent again, and takes the retry
// from the budget if so.
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

// reasonAgainst returns the reason that the failure itself gives against a retry.
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

// notRetryable reports whether a second try cannot end otherwise, or nobody waits for it.
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

// needsOtherTarget reports whether only another target can help soon.
func needsOtherTarget(c verdict.Cause) bool {
	switch c {
	case verdict.CauseZoneOut, verdict.CauseLeaving, verdict.CauseOverload,
		verdict.CauseColdLimit, verdict.CauseTargetDown, verdict.CauseStopping:
		return true
	default:
		return false
	}
}

// backoff returns how long to wait: nothing when another target is ready to take
// the request, else what the refusing side said or a growing pause, jittered.
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
