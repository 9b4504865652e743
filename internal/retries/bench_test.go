package retries_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// BenchmarkOutage measures the attempts per request with a retry budget and with up to
// three attempts for each request, while all targets are down and while one attempt in five
// fails.
func BenchmarkOutage(b *testing.B) {
	for _, perSecond := range []int{1, 25, 1000} {
		for _, outage := range []bool{true, false} {
			b.Run(fmt.Sprintf("rate=%d/outage=%v", perSecond, outage), func(b *testing.B) {
				for range b.N {
					budgeted, unbounded, answered := outageAttempts(perSecond, outage)
					b.ReportMetric(budgeted, "tries/req")
					b.ReportMetric(unbounded, "unbounded-tries/req")
					b.ReportMetric(100*answered, "answered-%")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// outageAttempts simulates a minute of requests. It returns the attempts per request with
// and without the budget, and the fraction of requests that were answered.
func outageAttempts(perSecond int, outage bool) (budgeted, unbounded, answered float64) {
	budget := newBudget(1)
	n := 60 * perSecond
	now, draw := epoch, 0

	fails := func() bool {
		draw++

		return outage || draw%5 == 0
	}

	for range n {
		now = now.Add(time.Second / time.Duration(perSecond))
		budget.RecordRequest(now)

		unbounded++
		if outage {
			unbounded += 2
		} else {
			unbounded += 0.2 + 0.04
		}

		for attempt := 1; ; attempt++ {
			budgeted++

			if !fails() {
				answered++

				break
			}

			f := retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, OtherTargets: true, Attempts: attempt}
			if !budget.Decide(now, f).Retry {
				break
			}
		}
	}

	return budgeted / float64(n), unbounded / float64(n), answered / float64(n)
}

// BenchmarkDecide measures recording one request and deciding on one retry.
func BenchmarkDecide(b *testing.B) {
	budget := newBudget(1)
	f := retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseOverload, OtherTargets: true, Attempts: 1}

	b.ReportAllocs()

	for b.Loop() {
		budget.RecordRequest(epoch)
		budget.Decide(epoch, f)
	}
}
