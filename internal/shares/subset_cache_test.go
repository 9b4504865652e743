package shares_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/shares"
)

func manyNodes(prefix string, n int) []shares.Node {
	var out []shares.Node
	for i := range n {
		out = append(out, shares.Node{ID: fmt.Sprint(prefix, i), Zone: fmt.Sprint("z", i%3)})
	}

	return out
}

// A zone returns, and its targets join one by one. Recomputing the subset after each change
// would use all CPU time; never recomputing it after the last change would leave the last
// targets unused.
func TestSubsetsAreRecomputedAtMostOncePerInterval(t *testing.T) {
	t.Parallel()

	const size = 30

	cache := shares.SubsetCache{SubsetSize: func(int, int) int { return size }}

	now := time.Unix(1000, 0)
	self := shares.Node{ID: "e0", Zone: "z0"}
	entries := manyNodes("e", 4)
	first := cache.Targets(now, "assist", self, entries, manyNodes("t", 60))
	require.Len(t, first, size)

	cached := cache.Targets(now.Add(time.Millisecond), "assist", self, entries, manyNodes("t", 90))
	require.Equal(t, first, cached, "the cached subset is returned")
	require.Equal(t, now.Add(time.Second), cache.RecomputeAt, "and recomputed later")

	recomputed := cache.Targets(cache.RecomputeAt, "assist", self, entries, manyNodes("t", 90))
	require.NotEqual(t, first, recomputed)

	// Small sets of targets are used immediately, as they need no computation.
	require.Len(t, cache.Targets(now, "desk", self, entries, manyNodes("d", 2)), 2)
	require.Len(t, cache.Targets(now, "desk", self, entries, manyNodes("d", 3)), 3)
}

// Guards against entries that spend a growing part of their processor time on subsets while
// others come and go: a computation costs in proportion to the pairs of entries and targets.
func TestPairsComparedPerSecondDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()

	pairsPerSecond := func(entries, targets int) float64 {
		const duration = 30 * time.Second

		cache := shares.SubsetCache{SubsetSize: shares.SubsetSize}
		begin := time.Unix(1000, 0)
		all := manyNodes("t", targets)
		computed := 0

		for elapsed := time.Duration(0); elapsed < duration; elapsed += 500 * time.Millisecond {
			roster := append(manyNodes("e", entries-1), shares.Node{ID: fmt.Sprint("joined-", elapsed), Zone: "z0"})
			cache.RecomputeAt = time.Time{}
			cache.Targets(begin.Add(elapsed), "assist", roster[0], roster, all)

			if cache.RecomputeAt.IsZero() {
				computed++
			}
		}

		return float64(computed*entries*targets) / duration.Seconds()
	}

	require.LessOrEqual(t, pairsPerSecond(600, 1200), 1.1*pairsPerSecond(300, 600))
}

// A zone returns and causes many changes within the recompute interval. Guards against one
// timer for each change, all of which would fire at once and repeat the same computation.
func TestRecomputeIsReportedOnce(t *testing.T) {
	t.Parallel()

	cache := shares.SubsetCache{SubsetSize: func(int, int) int { return 30 }}
	now := time.Unix(1000, 0)
	change := func(at time.Time, targets int) (time.Duration, bool) {
		cache.Targets(at, "assist", shares.Node{ID: "e0", Zone: "z0"}, manyNodes("e", 4), manyNodes("t", targets))

		return cache.RecomputeDue(at)
	}

	_, due := change(now, 60)
	require.False(t, due, "the subset is up to date")

	wait, due := change(now.Add(100*time.Millisecond), 61)
	require.True(t, due)
	require.Equal(t, 900*time.Millisecond, wait)

	_, due = change(now.Add(200*time.Millisecond), 62)
	require.False(t, due, "already reported")

	_, due = change(now.Add(time.Second), 62)
	require.False(t, due, "the subset is up to date")

	_, due = change(now.Add(1100*time.Millisecond), 63)
	require.True(t, due)
}

// Guards against entries that use few targets of one group: when another group was slow, an
// entry with 6 of its 21 targets in the sound one refused its callers beside free places.
func TestSubsetsHaveTheSamePartOfEachGroup(t *testing.T) {
	t.Parallel()

	for name, sizes := range map[string][]int{"one group": {64}, "two groups": {32, 32}, "unlike sizes": {8, 56, 32}, "sixteen groups": {32, 32, 32, 32, 32, 32, 32, 32, 32, 32, 32, 32, 32, 32, 32, 32}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			const entries = 18

			var targets []shares.Node

			for g, size := range sizes {
				for _, n := range manyNodes(fmt.Sprintf("g%d-", g), size) {
					n.Group = fmt.Sprint("g", g)
					targets = append(targets, n)
				}
			}

			size := shares.SubsetSize(entries, len(targets))
			usedBy := map[string]int{}

			for _, self := range manyNodes("e", entries) {
				cache := shares.SubsetCache{SubsetSize: shares.SubsetSize}
				subset := cache.Targets(time.Unix(1000, 0), "drafts", self, manyNodes("e", entries), targets)
				byGroup := map[string]int{}

				for _, n := range targets {
					if _, ok := subset[n.ID]; ok {
						byGroup[n.Group]++
						usedBy[n.ID]++
					}
				}

				for g, members := range sizes {
					require.InDelta(t, float64(size*members)/float64(len(targets)), byGroup[fmt.Sprint("g", g)], 1, "%s, group %d", self.ID, g)
				}
			}

			for _, n := range targets {
				require.GreaterOrEqual(t, usedBy[n.ID], 1, n.ID)
				require.LessOrEqual(t, usedBy[n.ID], 9, n.ID)
			}
		})
	}
}
