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
