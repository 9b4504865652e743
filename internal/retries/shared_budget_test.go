package retries_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/shares"
)

const (
	shareRatio  = 0.2
	shareSlack  = 96.0
	shareWindow = 10 * time.Second
)

func newSharedBudget() *retries.SharedBudget {
	return &retries.SharedBudget{Ratio: shareRatio, Slack: shareSlack, Window: shareWindow}
}

// An engine group fails repeatedly, and each entry retries as often as it may, while
// entries are killed and restarted. All entries together must stay within the budget in any
// window. Otherwise the remaining targets receive a multiple of their load.
func TestBudgetHoldsOverAllEntries(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		entries := make([]*retries.SharedBudget, n)

		for i := range entries {
			entries[i] = newSharedBudget()
		}

		start := time.Unix(1000, 0)
		requests, retried := make([]int, 300), make([]int, 300)

		for tick := range requests {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)

			for i := range entries {
				if rapid.IntRange(0, 400).Draw(t, "restart") == 0 {
					entries[i] = newSharedBudget()
				}

				f, a := spend(t, entries[i], now, 3, shares.Share{Index: i, Entries: n})
				requests[tick] += f
				retried[tick] += a
			}
		}

		requireBudget(t, n, requests, retried)
	})
}

// Targets fail only now and then, so that entries use what they have saved all at once, also
// when the load has fallen meanwhile. Guards against retries that exceed the budget of a
// window because they were earned before it.
func TestBudgetHoldsWhenRetriesAreSaved(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		entries := make([]*retries.SharedBudget, n)

		for i := range entries {
			entries[i] = newSharedBudget()
		}

		start := time.Unix(1000, 0)
		requests, retried := make([]int, 400), make([]int, 400)
		failing, load := false, 3

		for tick := range requests {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)

			if rapid.IntRange(0, 30).Draw(t, "change") == 0 {
				failing = !failing
				load = rapid.IntRange(1, 3).Draw(t, "load")
			}

			for i := range entries {
				share := shares.Share{Index: i, Entries: n}

				if failing {
					f, a := spend(t, entries[i], now, load, share)
					requests[tick] += f
					retried[tick] += a

					continue
				}

				for range load {
					entries[i].RecordRequest(now, "drafts", share)

					requests[tick]++
				}
			}
		}

		requireBudget(t, n, requests, retried)
	})
}

// Guards against entries with few requests that may not retry any of them: an entry counted its
// first seconds from the first request of each service, which came long after it had started.
func TestFirstRequestsOfAServiceMayBeRetried(t *testing.T) {
	t.Parallel()

	const (
		requestsPerSecond = 22
		failEvery         = 7
		seconds           = 25
	)

	for _, n := range []int{14, 289, 578} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()

			start := time.Unix(1000, 0)
			entries := make([]*retries.SharedBudget, n)

			for i := range entries {
				entries[i] = newSharedBudget()
				entries[i].Slack = 1000
				entries[i].StartedAt = start
			}

			failed, retried := 0, 0

			for i := range requestsPerSecond * seconds {
				now := start.Add(shareWindow + time.Duration(i)*time.Second/requestsPerSecond)
				entry := i * 13 % n
				share := shares.Share{Index: entry, Entries: n}
				entries[entry].RecordRequest(now, "desk", share)

				if i%failEvery != 0 {
					continue
				}

				failed++

				if retryAtOnce(entries[entry], now, "desk", share) {
					retried++
				}
			}

			require.GreaterOrEqual(t, float64(retried), 0.98*float64(failed))
		})
	}
}

// Guards against a burst of retries after all entries restart: each entry counts too few
// others at first, and so takes more than its share of the budget.
func TestBudgetHoldsWhileEntryCountsAreIncomplete(t *testing.T) {
	t.Parallel()

	// An entry queries all control VMs immediately, and again within 600 ms.
	const countedAfter = time.Second

	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "entries")
		entries := make([]*retries.SharedBudget, n)
		countedAt := make([]time.Time, n)
		knownEntries := make([]int, n)
		start := time.Unix(1000, 0)
		requests, retried := make([]int, 300), make([]int, 300)

		for tick := range requests {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)

			if tick == 0 || tick == 150 {
				alone := rapid.Bool().Draw(t, "alone")

				for i := range entries {
					entries[i] = newSharedBudget()
					countedAt[i] = now.Add(time.Duration(rapid.IntRange(0, int(countedAfter/time.Millisecond)).Draw(t, "counted")) * time.Millisecond)
					knownEntries[i] = rapid.IntRange(1, n).Draw(t, "known")

					if alone {
						countedAt[i], knownEntries[i] = now.Add(countedAfter), 1
					}
				}
			}

			for i := range entries {
				count := n
				if now.Before(countedAt[i]) {
					count = knownEntries[i]
				}

				f, a := spend(t, entries[i], now, 2, shares.Share{Index: i % count, Entries: count})
				requests[tick] += f
				retried[tick] += a
			}
		}

		requireBudget(t, n, requests, retried)
	})
}

// spend records up to maxRequests requests at an entry and retries as often as the entry
// allows.
func spend(t *rapid.T, entry *retries.SharedBudget, now time.Time, maxRequests int, share shares.Share) (requests, retried int) {
	requests = rapid.IntRange(0, maxRequests).Draw(t, "fresh")
	for range requests {
		entry.RecordRequest(now, "drafts", share)
	}

	for retryAtOnce(entry, now, "drafts", share) {
		retried++
	}

	return requests, retried
}

// requireBudget checks the retries in each window against the budget. Requests are counted
// in the window itself, the window before it, and the window starting half a window
// earlier; the largest count applies.
func requireBudget(t *rapid.T, entries int, requests, retried []int) {
	for end := 100; end <= len(requests); end += 7 {
		requestsInWindow := max(sumOf(requests, end-100, end), sumOf(requests, end-150, end-50), sumOf(requests, end-200, end-100))
		if got := float64(sumOf(retried, end-100, end)); got > shareRatio*float64(requestsInWindow)+shareSlack {
			t.Fatalf("%d entries: %.0f retries in a window of %d requests", entries, got, requestsInWindow)
		}
	}
}

func sumOf(v []int, from, to int) int {
	s := 0
	for i := max(0, from); i < max(0, to); i++ {
		s += v[i]
	}

	return s
}

// A group of twelve engines stalls once a minute and interrupts about 80 streams at seven
// entries at once. The budget must allow most of them to resume at another target.
func TestBudgetCoversOneGroupStall(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)
	taken := 0

	for e := range 7 {
		s, share := newSharedBudget(), shares.Share{Index: e, Entries: 7}
		for i := range 80 { // 8 requests per second for 10 s
			s.RecordRequest(now.Add(time.Duration(i)*125*time.Millisecond), "drafts", share)
		}

		for retryAtOnce(s, now.Add(shareWindow), "drafts", share) {
			taken++
		}

		require.False(t, retryAtOnce(s, now.Add(shareWindow), "drafts", share), fmt.Sprint(e))
	}

	require.Greater(t, taken, 55)
}

// One of two groups fails and interrupts all its streams and queued requests at once, after
// some seconds without a failure. Guards against a budget that expires before it is needed:
// at least 0.8 of it must be usable.
func TestBudgetIsUsableAtOnce(t *testing.T) {
	t.Parallel()

	const entries, perSecond = 18, 224

	all := make([]*retries.SharedBudget, entries)
	for i := range all {
		all[i] = newSharedBudget()
	}

	now := time.Unix(1000, 0)

	for i := range 2 * perSecond * int(shareWindow/time.Second) {
		now = now.Add(time.Second / perSecond)
		all[i%entries].RecordRequest(now, "drafts", shares.Share{Index: i % entries, Entries: entries})
	}

	taken := 0

	for i, s := range all {
		for retryAtOnce(s, now, "drafts", shares.Share{Index: i, Entries: entries}) {
			taken++
		}
	}

	budget := shareRatio*perSecond*shareWindow.Seconds() + shareSlack
	require.GreaterOrEqual(t, float64(taken), 0.8*budget)
	require.LessOrEqual(t, float64(taken), budget)
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	t.Parallel()

	s := newSharedBudget()
	now := time.Unix(1000, 0)
	s.RecordRequest(now, "drafts", shares.Share{})
	s.RecordRequest(now, "desk", shares.Share{})

	now = now.Add(shareWindow)
	for retryAtOnce(s, now, "drafts", shares.Share{}) {
		continue
	}

	require.True(t, retryAtOnce(s, now, "desk", shares.Share{}))
}

// Guards against a budget whose shares are too small to be used: with 77 or more entries,
// nothing was retried although every request failed.
func TestBudgetIsUsedAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	const windows, perWindow = 5, 3000

	for _, n := range []int{1, 3, 39, 77, 410} {
		entries := make([]*retries.SharedBudget, n)
		for i := range entries {
			entries[i] = newSharedBudget()
		}

		start := time.Unix(1000, 0)
		retried := make([]int, windows)

		for i := range windows * perWindow {
			now := start.Add(time.Duration(i) * shareWindow / perWindow)
			share := shares.Share{Index: i * 7919 % n, Entries: n}
			entry := entries[share.Index]
			entry.RecordRequest(now, "drafts", share)

			if retryAtOnce(entry, now, "drafts", share) {
				retried[i/perWindow]++
			}
		}

		const budget = shareRatio*perWindow + shareSlack

		for w, got := range retried {
			require.LessOrEqual(t, float64(got), budget, "%d entries, window %d", n, w)

			if w > 1 { // the first two windows include the initial ramp
				require.GreaterOrEqual(t, float64(got), 0.8*budget, "%d entries, window %d", n, w)
			}
		}
	}
}

// Guards against what requests have earned and is spent twice within a window: first at the entries
// that received them, then at those to which the load has moved, or that have started again.
func TestBudgetHoldsWhenRequestsMoveToOtherEntries(t *testing.T) {
	t.Parallel()

	const (
		entries, perWindow = 20, 1025
		slack              = 132.0
	)

	for _, c := range []struct {
		name    string
		restart bool
	}{{"running", false}, {"restarted", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			start := time.Unix(1000, 0)
			all := make([]*retries.SharedBudget, entries)
			restart := func(i int, at time.Time) {
				all[i] = newSharedBudget()
				all[i].Slack, all[i].StartedAt = slack, at
			}

			for i := range all {
				restart(i, start.Add(-time.Minute))
			}

			share := func(i int) shares.Share { return shares.Share{Index: i, Entries: entries} }
			spent := 0

			for window := range 2 {
				from := start.Add(time.Duration(window) * shareWindow)

				for n := range perWindow {
					i := window*entries/2 + n%(entries/2)
					all[i].RecordRequest(from.Add(time.Duration(n)*shareWindow/perWindow), "drafts", share(i))
				}

				for i := range all {
					for retryAtOnce(all[i], from.Add(shareWindow-time.Duration(window+1)*time.Millisecond), "drafts", share(i)) {
						spent++
					}

					if c.restart && window == 0 {
						restart(i, from.Add(shareWindow))
					}
				}
			}

			require.LessOrEqual(t, float64(spent), shareRatio*perWindow+slack)
		})
	}
}
