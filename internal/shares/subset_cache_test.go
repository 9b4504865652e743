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

// A zone returns, and its targets join one after the other. An entry that worked
// its subset out at each would spend its processor on nothing else; one that did
// not come back to it would never use the last ones.
func TestSubsetsAreRecomputedAtMostOncePerInterval(t *testing.T) {
	t.Parallel()

	const size = 30

	k := shares.SubsetCache{SubsetSize: func(int, int) int { return size }}

	now := time.Unix(1000, 0)
	self := shares.Node{ID: "e0", Zone: "z0"}
	entries := manyNodes("e", 4)
	first := k.Targets(now, "assist", self, entries, manyNodes("t", 60))
	require.Len(t, first, size)

	cached := k.Targets(now.Add(time.Millisecond), "assist", self, entries, manyNodes("t", 90))
	require.Equal(t, first, cached, "the former answer stands")
	require.Equal(t, now.Add(time.Second), k.RecomputeAt, "and is to be asked for again")

	recomputed := k.Targets(k.RecomputeAt, "assist", self, entries, manyNodes("t", 90))
	require.NotEqual(t, first, recomputed)

	// Few targets cost nothing: all are used at once.
	require.Len(t, k.Targets(now, "desk", self, entries, manyNodes("d", 2)), 2)
	require.Len(t, k.Targets(now, "desk", self, entries, manyNodes("d", 3)), 3)
}

// A zone returns and brings many changes within the pause. Guards against a timer for each
// of them, which all go off at once and work the same out again.
func TestRecomputeIsReportedOnce(t *testing.T) {
	t.Parallel()

	k := shares.SubsetCache{SubsetSize: func(int, int) int { return 30 }}
	now := time.Unix(1000, 0)
	change := func(at time.Time, targets int) (time.Duration, bool) {
		k.Targets(at, "assist", shares.Node{ID: "e0", Zone: "z0"}, manyNodes("e", 4), manyNodes("t", targets))

		return k.RecomputeDue(at)
	}

	_, due := change(now, 60)
	require.False(t, due, "the answer is new")

	wait, due := change(now.Add(100*time.Millisecond), 61)
	require.True(t, due)
	require.Equal(t, 900*time.Millisecond, wait)

	_, due = change(now.Add(200*time.Millisecond), 62)
	require.False(t, due, "told already")

	_, due = change(now.Add(time.Second), 62)
	require.False(t, due, "the answer is new")

	_, due = change(now.Add(1100*time.Millisecond), 63)
	require.True(t, due)
}
