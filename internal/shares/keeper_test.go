package role

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/routing"
)

func manyPlaces(prefix string, n int) []routing.Place {
	var out []routing.Place
	for i := range n {
		out = append(out, routing.Place{ID: fmt.Sprint(prefix, i), Zone: fmt.Sprint("z", i%3)})
	}

	return out
}

// A zone returns, and its targets join one after the other. An entry that worked
// its subset out at each would spend its processor on nothing else; one that did
// not come back to it would never use the last ones.
func TestSubsetsAreWorkedOutNowAndThen(t *testing.T) {
	t.Parallel()

	var s subsets

	now := time.Unix(1000, 0)
	self := routing.Place{ID: "e0", Zone: "z0"}
	entries := manyPlaces("e", 4)
	first := s.of(now, "assist", self, entries, manyPlaces("t", 60))
	require.Len(t, first, subsetDegree)

	again := s.of(now.Add(time.Millisecond), "assist", self, entries, manyPlaces("t", 90))
	require.Equal(t, first, again, "the former answer stands")
	require.Equal(t, now.Add(subsetPause), s.dueAt, "and is to be asked for again")

	later := s.of(s.dueAt, "assist", self, entries, manyPlaces("t", 90))
	require.NotEqual(t, first, later)

	// Few targets cost nothing: all are used at once.
	require.Len(t, s.of(now, "desk", self, entries, manyPlaces("d", 2)), 2)
	require.Len(t, s.of(now, "desk", self, entries, manyPlaces("d", 3)), 3)
}
