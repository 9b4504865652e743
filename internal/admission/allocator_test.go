package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// A cold target with room for two would idle, or serve a few entries only, while
// 410 entries want it at once, and a request takes 20 ms. They pass by and go
// elsewhere when refused, or wait, at their own pace or at the agent's advice.
func TestManyEntriesAtSmallLimit(t *testing.T) {
	t.Parallel()

	const (
		entries       = 410
		step          = 5 * time.Millisecond
		steps         = 3000
		durationSteps = 4
	)

	cases := []struct {
		name string
		// next is when a refused entry asks again.
		next func(step, e int, advice time.Duration) int
		// idleSteps is when a served entry has its next request, after the end of this one.
		idleSteps      int
		minUtilization float64
		// neverStarves: each entry waits here until it is served. One that passes by is
		// promised no turn.
		neverStarves bool
		maxSpread    int
	}{
		{"pass by", func(step, e int, _ time.Duration) int { return step + 40 + (e*7919+step*31)%97 }, 90, 0.9, false, 60},
		{"wait at their own pace", func(step, _ int, _ time.Duration) int { return step + 10 }, 1, 0.6, true, 20},
		{"wait as advised", func(step, _ int, advice time.Duration) int {
			return step + int(advice/(5*time.Millisecond))
		}, 1, 0.75, true, 3},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			h := newHarness(t, 2, 2)
			completed := make([]int, entries)
			nextRequestAt := make([]int, entries)
			ends := map[int][]Request{}
			busySlots, requests := 0, 0

			for e := range entries {
				nextRequestAt[e] = e % 40
			}

			for now := range steps {
				for _, r := range ends[now] {
					h.complete(r, nil)
					h.core.Renew(h.now, r.Credit.EntryID)
				}

				for e := range entries {
					if nextRequestAt[e] > now {
						continue
					}

					requests++

					g := h.core.Grant(h.now, GrantRequest{EntryID: fmt.Sprintf("entry-%d", e), Wanted: 1})
					nextRequestAt[e] = tc.next(now, e, g.RetryAt.Sub(h.now))

					if r := h.request(g.Credit); g.Credit.Slots > 0 && h.core.Admit(h.now, r).Admitted {
						completed[e]++
						ends[now+durationSteps] = append(ends[now+durationSteps], r)
						nextRequestAt[e] = now + durationSteps + tc.idleSteps
					}
				}

				require.LessOrEqual(t, len(h.core.running), 2)
				busySlots += len(h.core.running)
				h.advance(step)
			}

			utilization := float64(busySlots) / (2 * steps)
			t.Logf("served %d to %d times, busy %.2f, asks %d", slices.Min(completed), slices.Max(completed), utilization, requests)
			require.True(t, !tc.neverStarves || slices.Min(completed) > 0, "an entry was starved")
			require.LessOrEqual(t, slices.Max(completed)-slices.Min(completed), tc.maxSpread)
			require.GreaterOrEqual(t, utilization, tc.minUtilization, "the target idled")
		})
	}
}

// Callers would be refused at a target with room, since an entry that came first
// took all credits, or one that is gone holds them.
func TestFairShares(t *testing.T) {
	t.Parallel()

	t.Run("later entry gets a fair share within a reservation's time", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 16, 16)
		require.EqualValues(t, 14, h.grant("greedy", 64).Slots)
		require.EqualValues(t, 2, h.grant("late", 8).Slots)

		h.advance(DefaultReservationTTL)
		greedy, late := h.grant("greedy", 64).Slots, h.grant("late", 8).Slots
		require.LessOrEqual(t, greedy+late, uint32(16))
		require.Positive(t, late)
	})
	t.Run("unused credits flow back", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 4, 4)
		h.grant("gone", 4)
		require.Zero(t, h.grant("entry-1", 4).Slots)
		h.advance(DefaultReservationTTL)
		require.EqualValues(t, 4, h.grant("entry-1", 4).Slots)
	})
	t.Run("an entry may give its credit back", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 4, 4)
		h.grant("done", 4)
		h.grant("done", 0)
		require.EqualValues(t, 4, h.grant("entry-1", 4).Slots)
	})
	t.Run("room that nobody reserved is open to all credits", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 4, 4)
		one := h.grant("entry-1", 1)
		two := h.grant("entry-2", 1)
		require.True(t, h.core.Admit(h.now, h.request(one)).Admitted)
		require.True(t, h.core.Admit(h.now, h.request(one)).Admitted)
		require.True(t, h.core.Admit(h.now, h.request(one)).Admitted)
		h.requireRejected(h.request(one), verdict.NotRun, verdict.CauseOverload)
		require.True(t, h.core.Admit(h.now, h.request(two)).Admitted, "reserved for the other entry")
	})
	t.Run("credits that ride on answers keep nobody else out", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 64, 64)
		credits := map[string]Credit{}

		for i := range 2 * 410 {
			id := fmt.Sprint(i % 410)
			if i < 410 {
				credits[id] = h.core.Renew(h.now, id).Credit
			}

			r := h.request(credits[id])
			require.True(t, h.core.Admit(h.now, r).Admitted, "refused with nothing in flight")
			h.complete(r, nil)
			credits[id] = h.core.Renew(h.now, id).Credit
			require.Positive(t, credits[id].Slots)
			h.advance(time.Millisecond)
		}
	})
	t.Run("a credit holds although a later event came with an earlier time", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 4, 4)
		r := h.request(h.grant("entry-1", 1))
		h.core.Grant(h.now.Add(-time.Millisecond), GrantRequest{EntryID: "entry-2", Wanted: 1})
		require.True(t, h.core.Admit(h.now, r).Admitted)
	})
	t.Run("a flood of entry IDs is bounded", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 4, 4)
		for i := range 2 * maxEntries {
			h.grant(fmt.Sprint(i), 1)
		}

		require.LessOrEqual(t, len(h.core.allocator.entries), maxEntries)
	})
}
