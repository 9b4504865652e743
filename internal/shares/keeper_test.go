package shares_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/shares"
)

func manyPlaces(prefix string, n int) []shares.Node {
	var out []shares.Node
	for i := range n {
		out = append(out, shares.Node{ID: fmt.Sprint(prefix, i), Zone: fmt.Sprint("z", i%3)})
	}

	return out
}

// A zone returns, and its targets join one after the other. An entry that worked
// its subset out at each would spend its processor on nothing else; one that did
// not come back to it would never use the last ones.
func TestSubsetsAreWorkedOutNowAndThen(t *testing.T) {
	t.Parallel()

	const degree = 30

	k := shares.SubsetCache{SubsetSize: func(int, int) int { return degree }}

	now := time.Unix(1000, 0)
	self := shares.Node{ID: "e0", Zone: "z0"}
	entries := manyPlaces("e", 4)
	first := k.Targets(now, "assist", self, entries, manyPlaces("t", 60))
	require.Len(t, first, degree)

	again := k.Targets(now.Add(time.Millisecond), "assist", self, entries, manyPlaces("t", 90))
	require.Equal(t, first, again, "the former answer stands")
	require.Equal(t, now.Add(time.Second), k.RecomputeAt, "and is to be asked for again")

	later := k.Targets(k.RecomputeAt, "assist", self, entries, manyPlaces("t", 90))
	require.NotEqual(t, first, later)

	// Few targets cost nothing: all are used at once.
	require.Len(t, k.Targets(now, "desk", self, entries, manyPlaces("d", 2)), 2)
	require.Len(t, k.Targets(now, "desk", self, entries, manyPlaces("d", 3)), 3)
}

// A zone returns and brings many changes within the pause. Guards against a timer for each
// of them, which all go off at once and work the same out again.
func TestDueIsToldOnce(t *testing.T) {
	t.Parallel()

	k := shares.SubsetCache{SubsetSize: func(int, int) int { return 30 }}
	now := time.Unix(1000, 0)
	ask := func(at time.Time, targets int) (time.Duration, bool) {
		k.Targets(at, "assist", shares.Node{ID: "e0", Zone: "z0"}, manyPlaces("e", 4), manyPlaces("t", targets))

		return k.RecomputeDue(at)
	}

	_, due := ask(now, 60)
	require.False(t, due, "the answer is new")

	wait, due := ask(now.Add(100*time.Millisecond), 61)
	require.True(t, due)
	require.Equal(t, 900*time.Millisecond, wait)

	_, due = ask(now.Add(200*time.Millisecond), 62)
	require.False(t, due, "told already")

	_, due = ask(now.Add(time.Second), 62)
	require.False(t, due, "the answer is new")

	_, due = ask(now.Add(1100*time.Millisecond), 63)
	require.True(t, due)
}
