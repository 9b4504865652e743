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
		entries = 410
		step    = 5 * time.Millisecond
		steps   = 3000
		takes   = 4
	)

	cases := []struct {
		name string
		// next is when a refused entry asks again.
		next func(step, e int, advice time.Duration) int
		// rest is when a served entry has its next request, after the end of this one.
		rest    int
		minBusy float64
		// waits: each entry waits here until it is served. One that passes by is
		// promised no turn.
		waits     bool
		maxSpread int
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

			b := newBench(t, 2, 2)
			served := make([]int, entries)
			asksAt := make([]int, entries)
			ends := map[int][]Request{}
			busy, asks := 0, 0

			for e := range entries {
				asksAt[e] = e % 40
			}

			for now := range steps {
				for _, r := range ends[now] {
					b.ran(r, nil)
					b.core.Renew(b.now, r.Credit.EntryID)
				}

				for e := range entries {
					if asksAt[e] > now {
						continue
					}

					asks++

					g := b.core.Grant(b.now, GrantRequest{EntryID: fmt.Sprintf("entry-%d", e), Wanted: 1})
					asksAt[e] = tc.next(now, e, g.RetryAt.Sub(b.now))

					if r := b.arrival(g.Credit); g.Credit.Slots > 0 && b.core.Admit(b.now, r).Admitted {
						served[e]++
						ends[now+takes] = append(ends[now+takes], r)
						asksAt[e] = now + takes + tc.rest
					}
				}

				require.LessOrEqual(t, len(b.core.running), 2)
				busy += len(b.core.running)
				b.pass(step)
			}

			part := float64(busy) / (2 * steps)
			t.Logf("served %d to %d times, busy %.2f, asks %d", slices.Min(served), slices.Max(served), part, asks)
			require.True(t, !tc.waits || slices.Min(served) > 0, "an entry was starved")
			require.LessOrEqual(t, slices.Max(served)-slices.Min(served), tc.maxSpread)
			require.GreaterOrEqual(t, part, tc.minBusy, "the target idled")
		})
	}
}

// Callers would be refused at a target with room, since an entry that came first
// took all credits, or one that is gone holds them.
func TestShares(t *testing.T) {
	t.Parallel()

	t.Run("later entry gets a fair share within a reservation's time", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 16, 16)
		require.EqualValues(t, 14, b.grant("greedy", 64).Slots)
		require.EqualValues(t, 2, b.grant("late", 8).Slots)

		b.pass(DefaultReservationTTL)
		greedy, late := b.grant("greedy", 64).Slots, b.grant("late", 8).Slots
		require.LessOrEqual(t, greedy+late, uint32(16))
		require.Positive(t, late)
	})
	t.Run("unused credits flow back", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 4, 4)
		b.grant("gone", 4)
		require.Zero(t, b.grant("entry-1", 4).Slots)
		b.pass(DefaultReservationTTL)
		require.EqualValues(t, 4, b.grant("entry-1", 4).Slots)
	})
	t.Run("an entry may give its credit back", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 4, 4)
		b.grant("done", 4)
		b.grant("done", 0)
		require.EqualValues(t, 4, b.grant("entry-1", 4).Slots)
	})
	t.Run("room that nobody reserved is open to all credits", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 4, 4)
		one := b.grant("entry-1", 1)
		two := b.grant("entry-2", 1)
		require.True(t, b.core.Admit(b.now, b.arrival(one)).Admitted)
		require.True(t, b.core.Admit(b.now, b.arrival(one)).Admitted)
		require.True(t, b.core.Admit(b.now, b.arrival(one)).Admitted)
		b.requireRefused(b.arrival(one), verdict.NotRun, verdict.CauseOverload)
		require.True(t, b.core.Admit(b.now, b.arrival(two)).Admitted, "reserved for the other entry")
	})
	t.Run("credits that ride on answers keep nobody else out", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 64, 64)
		credits := map[string]Credit{}

		for i := range 2 * 410 {
			id := fmt.Sprint(i % 410)
			if i < 410 {
				credits[id] = b.core.Renew(b.now, id).Credit
			}

			r := b.arrival(credits[id])
			require.True(t, b.core.Admit(b.now, r).Admitted, "refused with nothing in flight")
			b.ran(r, nil)
			credits[id] = b.core.Renew(b.now, id).Credit
			require.Positive(t, credits[id].Slots)
			b.pass(time.Millisecond)
		}
	})
	t.Run("a credit holds although a later event came with an earlier time", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 4, 4)
		r := b.arrival(b.grant("entry-1", 1))
		b.core.Grant(b.now.Add(-time.Millisecond), GrantRequest{EntryID: "entry-2", Wanted: 1})
		require.True(t, b.core.Admit(b.now, r).Admitted)
	})
	t.Run("a flood of entry IDs is bounded", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 4, 4)
		for i := range 2 * maxEntries {
			b.grant(fmt.Sprint(i), 1)
		}

		require.LessOrEqual(t, len(b.core.share.entries), maxEntries)
	})
}
