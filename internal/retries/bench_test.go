package retries_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// BenchmarkOutage counts the tries of each request while every target is gone,
// and while one try in five fails, against three tries for each request.
func BenchmarkOutage(b *testing.B) {
	for _, perSecond := range []int{1, 25, 1000} {
		for _, outage := range []bool{true, false} {
			b.Run(fmt.Sprintf("rate=%d/outage=%v", perSecond, outage), func(b *testing.B) {
				for range b.N {
					ours, plain, saved := outageTries(perSecond, outage)
					b.ReportMetric(ours, "tries/req")
					b.ReportMetric(plain, "unbounded-tries/req")
					b.ReportMetric(100*saved, "answered-%")
					b.ReportMetric(0, "ns/op")
				}
			})
		}
	}
}

// outageTries sends a minute of requests. It returns the tries per request, that
// without a budget, and the share of requests that were answered in the end.
func outageTries(perSecond int, outage bool) (ours, plain, answered float64) {
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

		plain++
		if outage {
			plain += 2
		} else {
			plain += 0.2 + 0.04
		}

		for tries := 1; ; tries++ {
			ours++

			if !fails() {
				answered++

				break
			}

			f := retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, OtherTargets: true, Attempts: tries}
			if !budget.Decide(now, f).Retry {
				break
			}
		}
	}

	return ours / float64(n), plain / float64(n), answered / float64(n)
}

// BenchmarkDecide is the cost of a fresh request and one decision.
func BenchmarkDecide(b *testing.B) {
	budget := newBudget(1)
	f := retries.Failure{Verdict: verdict.NotRun, Cause: verdict.CauseOverload, OtherTargets: true, Attempts: 1}

	b.ReportAllocs()

	for b.Loop() {
		budget.RecordRequest(epoch)
		budget.Decide(epoch, f)
	}
}
