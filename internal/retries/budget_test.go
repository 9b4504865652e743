package retries_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newBudget(seed uint64) *retries.Budget {
	return &retries.Budget{Rand: rand.New(rand.NewPCG(seed, seed))}
}

func TestDecide(t *testing.T) {
	t.Parallel()

	deadline := epoch.Add(time.Second)
	tests := []struct {
		name string
		f    retries.Failure
		want retries.Reason
	}{
		{"refused, other target available", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseOverload, OtherTargets: true}, retries.ReasonNone},
		{"agent stopping", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseStopping, OtherTargets: true}, retries.ReasonNone},
		{"closed attempt", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseClosed}, retries.ReasonNone},
		{"may have run", retries.Failure{Cause: verdict.CauseSilent, OtherTargets: true}, retries.ReasonMayHaveRun},
		{"may have run, idempotent", retries.Failure{Cause: verdict.CauseSilent, Idempotent: true, OtherTargets: true}, retries.ReasonNone},
		{"ran", retries.Failure{Verdict: verdict.Ran, Cause: verdict.CauseBroken, OtherTargets: true}, retries.ReasonMayHaveRun},
		{"deadline", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseDeadline, OtherTargets: true}, retries.ReasonNotRetryable},
		{"malformed", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseMalformed, OtherTargets: true}, retries.ReasonNotRetryable},
		{"key conflict", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseKeyConflict, OtherTargets: true}, retries.ReasonNotRetryable},
		{"caller canceled", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseCancelled, Idempotent: true}, retries.ReasonNotRetryable},
		{"third attempt", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseOverload, Attempts: 3, OtherTargets: true}, retries.ReasonMaxAttempts},
		{"expected duration exceeds deadline", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseOverload, Deadline: deadline, ExpectedDuration: 2 * time.Second, OtherTargets: true}, retries.ReasonDeadline},
		{"capacity only after the deadline", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseOverload, Deadline: deadline, RetryAt: epoch.Add(2 * time.Second)}, retries.ReasonDeadline},
		{"all targets full", retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseOverload}, retries.ReasonNoOtherTarget},
	}

	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			d := newBudget(1).Decide(epoch, tc.f)
			require.Equal(t, tc.want, d.Reason)
			require.Equal(t, tc.want == retries.ReasonNone, d.Retry)
			require.Equal(t, d.Retry, !d.At.IsZero())
		})
	}
}

// If all targets of a service are down, every request fails immediately. Retrying each of them
// would multiply the load of the callers just when targets come back, and overload them
// again.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		b := newBudget(rapid.Uint64().Draw(t, "seed"))
		now := epoch
		requests, retried := 0, 0

		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 200), 1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(step) * time.Millisecond)
			requests++
			b.RecordRequest(now)

			for attempts := 1; b.Decide(now, retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, OtherTargets: true, Attempts: attempts}).Retry; attempts++ {
				retried++
			}

			bound := 10 + 0.2*float64(requests) + 0.2*now.Sub(epoch).Seconds()
			require.LessOrEqual(t, float64(retried), bound+1e-6)
		}
	})
}
