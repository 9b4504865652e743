package lockstep

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxCopies is the most experts that a rank has to copy for next.
func (m Map) maxCopies(next Map) int {
	highest := 0

	for r := range m[0] {
		n := 0
		for s := range m {
			n += len(missing(next[s][r], m[s][r]))
		}

		highest = max(highest, n)
	}

	return highest
}

// Demand shifts, and the steps of a busy group are three times as long until the next map
// comes. The map that is best for as long as demand stays needs three copies a rank, one
// after the other: drafts had pauses that nobody bears for twice as long as with the map
// that one copy brings, which takes most of the excess away. That one goes first.
func TestFewCopiesPreferredAfterDemandShift(t *testing.T) {
	t.Parallel()

	shape := Shape{Sets: 4, Experts: 72, Ranks: 12, Slots: 8, SpareSlots: 3, CopyTime: 98 * time.Millisecond}

	for seed := range uint64(10) {
		x := newFakeRequests(shape, 100, seed)
		d := &Director{Shape: shape, Settings: DefaultSettings()}
		d.current = demandSimulation{shape: shape}.pack(x.meanDemand())

		x.shift(4)

		demand := x.meanDemand()
		before := d.current.Skew(demand)
		next, after, _ := d.bestMap(demand, before)
		require.Greater(t, before, 1.8)
		require.Equal(t, 1, d.current.maxCopies(next), "seed %d", seed)
		require.Less(t, after-1, (before-1)/2, "seed %d", seed)
	}
}
