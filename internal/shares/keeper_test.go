package shares_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/shares"
)

func manyPlaces(prefix string, n int) []shares.Place {
	var out []shares.Place
	for i := range n {
		out = append(out, shares.Place{ID: fmt.Sprint(prefix, i), Zone: fmt.Sprint("z", i%3)})
	}

	return out
}

// A zone returns, and its targets join one after the other. An entry that worked
// its subset out at each would spend its processor on nothing else; one that did
// not come back to it would never use the last ones.
func TestSubsetsAreWorkedOutNowAndThen(t *testing.T) {
	t.Parallel()

	const degree = 30

	k := shares.Keeper{Degree: func(int, int) int { return degree }}

	now := time.Unix(1000, 0)
	self := shares.Place{ID: "e0", Zone: "z0"}
	entries := manyPlaces("e", 4)
	first := k.Of(now, "assist", self, entries, manyPlaces("t", 60))
	require.Len(t, first, degree)

	again := k.Of(now.Add(time.Millisecond), "assist", self, entries, manyPlaces("t", 90))
	require.Equal(t, first, again, "the former answer stands")
	require.Equal(t, now.Add(time.Second), k.DueAt, "and is to be asked for again")

	later := k.Of(k.DueAt, "assist", self, entries, manyPlaces("t", 90))
	require.NotEqual(t, first, later)

	// Few targets cost nothing: all are used at once.
	require.Len(t, k.Of(now, "desk", self, entries, manyPlaces("d", 2)), 2)
	require.Len(t, k.Of(now, "desk", self, entries, manyPlaces("d", 3)), 3)
}
