package retries_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/shares"
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

// BenchmarkSharedBudgetWithReports measures a decision of an entry with full windows and the reports of
// seven control VMs.
func BenchmarkSharedBudgetWithReports(b *testing.B) {
	start := time.Unix(1000, 0)
	s := &retries.SharedBudget{Ratio: 0.2, Slack: 132, Window: 10 * time.Second, StartedAt: start}
	now := start
	share := shares.Share{Entries: 20}

	for n := 0; b.Loop(); n++ {
		now = now.Add(10 * time.Millisecond)
		s.RecordRequest(now, "drafts", share)
		retryAtOnce(s, now, "drafts", share)

		if n%10 == 0 {
			control := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1+n/10%7))
			s.SetReport(now, control, retries.Report{Usage: map[string]retries.Usage{"drafts": {Requests: 2500, Retries: 120}}, RecordedSince: start.Add(-time.Minute)})
		}
	}
}

// BenchmarkUsageTable measures what a poll of one of 289 entries costs a control VM, with ten services.
func BenchmarkUsageTable(b *testing.B) {
	const entries, services = 289, 10

	t := &retries.UsageTable{}
	now := time.Unix(1000, 0)
	usage := make(map[string]retries.Usage)

	for i := range services {
		usage[fmt.Sprint("service-", i)] = retries.Usage{Requests: 300, Retries: 40}
	}

	for n := 0; b.Loop(); n++ {
		now = now.Add(2 * time.Millisecond)
		source := retries.Source{ID: fmt.Sprint("entry-", n%entries)}
		t.Record(now, source, 10*time.Second, usage)
		t.Others(now, source)
	}
}
