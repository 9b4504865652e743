package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Guards against an idle target and starved entries when 410 entries compete for a cold
// target with a limit of two and a request takes 20 ms. An entry that gets no slot goes
// to another target, or asks again at a fixed interval or at the advised time.
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
		// next returns the step at which an entry without a slot asks again.
		next func(step, e int, advice time.Duration) int
		// idleSteps is how many steps after the end of a request an entry has its
		// next one.
		idleSteps      int
		minUtilization float64
		// neverStarves says that each entry must get a slot. Entries that go to
		// another target keep no queue position and may get none.
		neverStarves bool
		maxSpread    int
	}{
		{"go to another target", func(step, e int, _ time.Duration) int { return step + 40 + (e*7919+step*31)%97 }, 90, 0.9, false, 60},
		{"wait and ask at a fixed interval", func(step, _ int, _ time.Duration) int { return step + 10 }, 1, 0.6, true, 20},
		{"wait and ask at the advised time", func(step, _ int, advice time.Duration) int {
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
			t.Logf("completed %d to %d requests per entry, utilization %.2f, %d credit requests", slices.Min(completed), slices.Max(completed), utilization, requests)
			require.True(t, !tc.neverStarves || slices.Min(completed) > 0, "an entry got no slot")
			require.LessOrEqual(t, slices.Max(completed)-slices.Min(completed), tc.maxSpread)
			require.GreaterOrEqual(t, utilization, tc.minUtilization, "the target was idle too long")
		})
	}
}

// Guards against requests that are rejected although the target has capacity, because
// the first entry took all slots or an entry that no longer exists still holds them.
func TestFairShares(t *testing.T) {
	t.Parallel()

	t.Run("later entry gets its fair share within ReservationTTL", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 16, 16)
		require.EqualValues(t, 14, h.grant("greedy", 64).Slots)
		require.EqualValues(t, 2, h.grant("late", 8).Slots)

		h.advance(DefaultReservationTTL)
		greedy, late := h.grant("greedy", 64).Slots, h.grant("late", 8).Slots
		require.LessOrEqual(t, greedy+late, uint32(16))
		require.Positive(t, late)
	})
	t.Run("unused reservations expire", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 4, 4)
		h.grant("gone", 4)
		require.Zero(t, h.grant("entry-1", 4).Slots)
		h.advance(DefaultReservationTTL)
		require.EqualValues(t, 4, h.grant("entry-1", 4).Slots)
	})
	t.Run("an entry may return its reservation", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 4, 4)
		h.grant("done", 4)
		h.grant("done", 0)
		require.EqualValues(t, 4, h.grant("entry-1", 4).Slots)
	})
	t.Run("unreserved capacity is open to all credits", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 4, 4)
		one := h.grant("entry-1", 1)
		two := h.grant("entry-2", 1)
		require.True(t, h.core.Admit(h.now, h.request(one)).Admitted)
		require.True(t, h.core.Admit(h.now, h.request(one)).Admitted)
		require.True(t, h.core.Admit(h.now, h.request(one)).Admitted)
		h.requireRejected(h.request(one), verdict.NotRun, verdict.CauseOverload)
		require.True(t, h.core.Admit(h.now, h.request(two)).Admitted, "slot reserved for this entry was not available")
	})
	t.Run("credits sent with answers reserve nothing", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 64, 64)
		credits := map[string]Credit{}

		for i := range 2 * 410 {
			id := fmt.Sprint(i % 410)
			if i < 410 {
				credits[id] = h.core.Renew(h.now, id).Credit
			}

			r := h.request(credits[id])
			require.True(t, h.core.Admit(h.now, r).Admitted, "rejected although nothing is in flight")
			h.complete(r, nil)
			credits[id] = h.core.Renew(h.now, id).Credit
			require.Positive(t, credits[id].Slots)
			h.advance(time.Millisecond)
		}
	})
	t.Run("credit stays valid after an event with an earlier time", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 4, 4)
		r := h.request(h.grant("entry-1", 1))
		h.core.Grant(h.now.Add(-time.Millisecond), GrantRequest{EntryID: "entry-2", Wanted: 1})
		require.True(t, h.core.Admit(h.now, r).Admitted)
	})
	t.Run("number of entries is bounded", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 4, 4)
		for i := range 2 * maxEntries {
			h.grant(fmt.Sprint(i), 1)
		}

		require.LessOrEqual(t, len(h.core.allocator.entries), maxEntries)
	})
}
