package retries_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/shares"
)

func targetAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(i+1))
}

// retryAtOnce retries a request whose attempts are answered in the moment in which they are sent.
func retryAtOnce(s *retries.SharedBudget, now time.Time, service string, share shares.Share) bool {
	d := &retries.Delivery{}
	s.Answered(now, d, targetAddress(0), now)

	allowed := s.Allow(now, service, share, d)
	if allowed {
		s.Answered(now, d, targetAddress(1), now)
	}

	s.End(d)

	return allowed
}

// lateTarget is a target that reads nothing for a time, and then all that it was sent.
type lateTarget struct {
	readsAt time.Time
	unread  []*lateRequest
}

// lateRequest is a request of one entry, which gives its attempts up if the target does not read them in time.
type lateRequest struct {
	delivery *retries.Delivery
	arrivals int
}

// Guards against budgets that hold for what is decided in a window, while targets that stand still read what was sent
// over a longer time in one moment.
func TestBudgetHoldsWhileTargetsReadLate(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		const (
			ticks, perTick = 400, 4
			slack          = 20.0
		)

		start := time.Unix(1000, 0)
		budget := &retries.SharedBudget{Ratio: shareRatio, Slack: slack, Window: shareWindow, StartedAt: start.Add(-shareWindow)}
		share := shares.Share{Entries: 1}
		targets := make([]lateTarget, 3)
		repeats := make([]int, ticks)

		receive := func(tick int, r *lateRequest) {
			if r.arrivals++; r.arrivals > 1 {
				repeats[tick]++
			}
		}

		for tick := range repeats {
			now := start.Add(time.Duration(tick) * reportTick)

			if rapid.IntRange(0, 30).Draw(t, "stop") == 0 {
				i := rapid.IntRange(0, len(targets)-1).Draw(t, "stopped")
				targets[i].readsAt = now.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "for")) * reportTick)
			}

			for i := range targets {
				if !now.Before(targets[i].readsAt) {
					for _, r := range targets[i].unread {
						receive(tick, r)
					}

					targets[i].unread = nil
				}
			}

			for range perTick {
				r := &lateRequest{delivery: &retries.Delivery{}}
				budget.RecordRequest(now, "drafts", share)

				// Each request is sent twice if the budget allows it, as its first answer is a failure or does not come.
				for attempt := range 2 {
					if attempt > 0 && !budget.Allow(now, "drafts", share, r.delivery) {
						break
					}

					i := rapid.IntRange(0, len(targets)-1).Draw(t, "target")
					if now.Before(targets[i].readsAt) {
						targets[i].unread = append(targets[i].unread, r)
						budget.Unanswered(now, r.delivery, targetAddress(i))
					} else {
						receive(tick, r)
						budget.Answered(now, r.delivery, targetAddress(i), now)
					}
				}

				budget.End(r.delivery)
			}
		}

		for end := 100; end <= ticks; end++ {
			if got := sumOf(repeats, end-100, end); float64(got) > shareRatio*100*perTick+slack {
				t.Fatalf("%d repeats in the window that ends at tick %d", got, end)
			}
		}
	})
}

// Guards against retries that count for good, or not at all, after each end that an attempt can have.
func TestRetryCountsUntilAWindowAfterItWasRead(t *testing.T) {
	t.Parallel()

	const delay = 25 * time.Second

	start := time.Unix(1000, 0)

	for _, c := range []struct {
		name string
		// retry plays the attempts of a request from the decision to retry it on, and returns when the retry was read.
		retry func(s *retries.SharedBudget, d *retries.Delivery) time.Time
		// used is the number of retries that count until a window after that.
		used int
	}{
		{name: "answered at once", used: 1, retry: func(s *retries.SharedBudget, d *retries.Delivery) time.Time {
			s.Answered(start, d, targetAddress(1), start)
			s.End(d)

			return start
		}},
		{name: "sent late", used: 1, retry: func(s *retries.SharedBudget, d *retries.Delivery) time.Time {
			s.Answered(start.Add(delay), d, targetAddress(1), start.Add(delay))
			s.End(d)

			return start.Add(delay)
		}},
		{name: "never sent", used: 0, retry: func(s *retries.SharedBudget, d *retries.Delivery) time.Time {
			s.End(d)

			return start
		}},
		{name: "given up, and the target answers a later request", used: 1, retry: func(s *retries.SharedBudget, d *retries.Delivery) time.Time {
			other := &retries.Delivery{}

			s.Unanswered(start, d, targetAddress(1))
			s.End(d)
			s.Answered(start.Add(time.Second), other, targetAddress(1), start.Add(-time.Second)) // sent earlier
			s.Answered(start.Add(time.Second), other, targetAddress(2), start.Add(time.Second))  // of another target
			s.Answered(start.Add(delay), other, targetAddress(1), start.Add(time.Second))

			return start.Add(delay)
		}},
		{name: "given up, and the target ends", used: 1, retry: func(s *retries.SharedBudget, d *retries.Delivery) time.Time {
			s.Unanswered(start, d, targetAddress(1))
			s.End(d)
			s.Ended(start.Add(delay), targetAddress(1))

			return start.Add(delay)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			s := &retries.SharedBudget{Slack: 10, Window: shareWindow, StartedAt: time.Unix(1, 0)}
			d := &retries.Delivery{}
			s.Answered(start, d, targetAddress(0), start)
			require.True(t, s.Allow(start, "drafts", shares.Share{Entries: 1}, d))

			readAt := c.retry(s, d)
			require.Equal(t, c.used, s.Usage(readAt.Add(shareWindow-1), "drafts").Retries)
			require.Zero(t, s.Usage(readAt.Add(shareWindow), "drafts").Retries)
			require.Zero(t, s.UnansweredAttempts())
		})
	}
}

// Guards against a first attempt that is read after the retry, and then counts as the repeat.
func TestFirstAttemptThatIsReadLateCountsAsTheRepeat(t *testing.T) {
	t.Parallel()

	start := time.Unix(1000, 0)
	s := &retries.SharedBudget{Slack: 10, Window: shareWindow, StartedAt: time.Unix(1, 0)}
	d := &retries.Delivery{}

	s.Unanswered(start, d, targetAddress(0))
	require.True(t, s.Allow(start, "drafts", shares.Share{Entries: 1}, d))
	s.Answered(start, d, targetAddress(1), start)
	s.End(d)

	readAt := start.Add(25 * time.Second)
	s.Answered(readAt, &retries.Delivery{}, targetAddress(0), start.Add(time.Second))
	require.Equal(t, 1, s.Usage(readAt.Add(shareWindow-1), "drafts").Retries)
	require.Zero(t, s.Usage(readAt.Add(shareWindow), "drafts").Retries)
}

// Guards against a budget that is used up for good by targets that have lost power, and never answer again.
func TestRetryOfALostTargetCountsForALimitedTime(t *testing.T) {
	t.Parallel()

	const slack = 10

	start := time.Unix(1000, 0)
	share := shares.Share{Entries: 1}
	s := &retries.SharedBudget{Slack: slack, Window: shareWindow, StartedAt: time.Unix(1, 0)}
	used := func(now time.Time) int {
		n := 0

		for {
			d := &retries.Delivery{}
			s.Answered(now, d, targetAddress(0), now)

			if !s.Allow(now, "drafts", share, d) {
				return n
			}

			n++

			s.Unanswered(now, d, targetAddress(1))
			s.End(d)
		}
	}

	first := used(start)
	require.Positive(t, first)
	require.Zero(t, used(start.Add(30*time.Second)))
	require.Zero(t, used(start.Add(time.Minute)))

	// Others are told as well, also if nothing is retried any more.
	require.Equal(t, first, s.Reported(start.Add(time.Minute + shareWindow - 1))["drafts"].Retries)
	require.Empty(t, s.Reported(start.Add(time.Minute+shareWindow)))
	require.Equal(t, first, used(start.Add(time.Minute+shareWindow)))
}

// Guards against an entry that goes on to report the retries of a lost target, so that the others have less of the budget for good.
func TestRetriesOfALostTargetAreNotReportedForGood(t *testing.T) {
	t.Parallel()

	start := time.Unix(1000, 0)
	s := &retries.SharedBudget{Slack: 10, Window: shareWindow, StartedAt: time.Unix(1, 0)}
	d := &retries.Delivery{}

	s.Answered(start, d, targetAddress(0), start)
	require.True(t, s.Allow(start, "drafts", shares.Share{Entries: 1}, d))
	s.Unanswered(start, d, targetAddress(1))
	s.End(d)

	require.Equal(t, 1, s.Reported(start.Add(time.Minute))["drafts"].Retries)
	require.Empty(t, s.Reported(start.Add(time.Minute+shareWindow)))
	require.Zero(t, s.UnansweredAttempts())
}
