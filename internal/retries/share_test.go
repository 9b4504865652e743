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

func newShare() *retries.SharedBudget {
	return &retries.SharedBudget{Ratio: shareRatio, Slack: shareSlack, Window: shareWindow}
}

// An engine group fails again and again, and each entry sends its own requests
// again as often as it may, while entries are killed and start anew. All entries
// together must stay within the budget in any window, or what is left of the
// service gets a multiple of its load.
func TestShareHoldsOverAllEntries(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		entries := make([]*retries.SharedBudget, n)

		for i := range entries {
			entries[i] = newShare()
		}

		start := time.Unix(1000, 0)
		fresh, again := make([]int, 300), make([]int, 300)

		for tick := range fresh {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)

			for i := range entries {
				if rapid.IntRange(0, 400).Draw(t, "restart") == 0 {
					entries[i] = newShare()
				}

				f, a := spend(t, entries[i], now, 3, shares.Share{Index: i, Entries: n})
				fresh[tick] += f
				again[tick] += a
			}
		}

		requireBudget(t, n, fresh, again)
	})
}

// Guards against a storm of sends again after a restart of all entries: each counts too few
// others at first, so takes a larger part of the budget than is its own.
func TestShareHoldsWhileEntriesAreCounted(t *testing.T) {
	t.Parallel()

	// Entries ask all control VMs at once, and again within six tenths of a second.
	const countedAfter = time.Second

	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 30).Draw(t, "entries")
		entries := make([]*retries.SharedBudget, n)
		counted := make([]time.Time, n)
		known := make([]int, n)
		start := time.Unix(1000, 0)
		fresh, again := make([]int, 300), make([]int, 300)

		for tick := range fresh {
			now := start.Add(time.Duration(tick) * 100 * time.Millisecond)

			if tick == 0 || tick == 150 {
				alone := rapid.Bool().Draw(t, "alone")

				for i := range entries {
					entries[i] = newShare()
					counted[i] = now.Add(time.Duration(rapid.IntRange(0, int(countedAfter/time.Millisecond)).Draw(t, "counted")) * time.Millisecond)
					known[i] = rapid.IntRange(1, n).Draw(t, "known")

					if alone {
						counted[i], known[i] = now.Add(countedAfter), 1
					}
				}
			}

			for i := range entries {
				count := n
				if now.Before(counted[i]) {
					count = known[i]
				}

				f, a := spend(t, entries[i], now, 2, shares.Share{Index: i % count, Entries: count})
				fresh[tick] += f
				again[tick] += a
			}
		}

		requireBudget(t, n, fresh, again)
	})
}

// spend lets an entry with such a share get up to mostFresh requests and send again as
// often as it may.
func spend(t *rapid.T, entry *retries.SharedBudget, now time.Time, mostFresh int, of shares.Share) (fresh, again int) {
	fresh = rapid.IntRange(0, mostFresh).Draw(t, "fresh")
	for range fresh {
		entry.RecordRequest(now, "drafts", of)
	}

	for entry.Allow(now, "drafts", of) {
		again++
	}

	return fresh, again
}

// requireBudget holds sends again against the budget in each window. Fresh requests count
// in the window, the one before it, or the one half a window before it, whichever has most.
func requireBudget(t *rapid.T, entries int, fresh, again []int) {
	for end := 100; end <= len(fresh); end += 7 {
		paid := max(sumOf(fresh, end-100, end), sumOf(fresh, end-150, end-50), sumOf(fresh, end-200, end-100))
		if got := float64(sumOf(again, end-100, end)); got > shareRatio*float64(paid)+shareSlack {
			t.Fatalf("%d entries: %.0f sends again in a window of %d requests", entries, got, paid)
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

// A group of twelve engines stalls once a minute and cuts some eighty streams at
// seven entries at once. The budget is there for that: most go on elsewhere.
func TestShareCoversOneStall(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)
	taken := 0

	for e := range 7 {
		s, of := newShare(), shares.Share{Index: e, Entries: 7}
		for i := range 80 { // ten seconds of eight requests a second
			s.RecordRequest(now.Add(time.Duration(i)*125*time.Millisecond), "drafts", of)
		}

		for s.Allow(now.Add(shareWindow), "drafts", of) {
			taken++
		}

		require.False(t, s.Allow(now.Add(shareWindow), "drafts", of), fmt.Sprint(e))
	}

	require.Greater(t, taken, 55)
}

func TestSharesOfServicesAreApart(t *testing.T) {
	t.Parallel()

	s := newShare()
	now := time.Unix(1000, 0)
	s.RecordRequest(now, "drafts", shares.Share{})
	s.RecordRequest(now, "desk", shares.Share{})

	now = now.Add(shareWindow)
	for s.Allow(now, "drafts", shares.Share{}) {
		continue
	}

	require.True(t, s.Allow(now, "desk", shares.Share{}))
}

// Every request fails at every entry. Guards against a budget whose parts are too small to
// be used: from 77 entries on nothing was sent again.
func TestBudgetIsUsedAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	const windows, perWindow = 5, 3000

	for _, n := range []int{1, 3, 39, 77, 410} {
		entries := make([]*retries.SharedBudget, n)
		for i := range entries {
			entries[i] = newShare()
		}

		start := time.Unix(1000, 0)
		again := make([]int, windows)

		for i := range windows * perWindow {
			now := start.Add(time.Duration(i) * shareWindow / perWindow)
			of := shares.Share{Index: i * 7919 % n, Entries: n}
			entry := entries[of.Index]
			entry.RecordRequest(now, "drafts", of)

			if entry.Allow(now, "drafts", of) {
				again[i/perWindow]++
			}
		}

		const budget = shareRatio*perWindow + shareSlack

		for w, got := range again {
			require.LessOrEqual(t, float64(got), budget, "%d entries, window %d", n, w)

			if w > 1 { // the first two are those of a start
				require.GreaterOrEqual(t, float64(got), 0.8*budget, "%d entries, window %d", n, w)
			}
		}
	}
}
