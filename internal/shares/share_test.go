package shares_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// Guards against a refused caller that is told to come back before the entry has a turn.
func TestNextUnitIsTheNextTurn(t *testing.T) {
	t.Parallel()

	const precision = 2 * time.Millisecond

	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

	for _, entries := range []int{1, 3, 39, 77, 410} {
		for index := range min(entries, 8) {
			s := shares.Share{Index: index, Entries: entries}

			for _, total := range []float64{1, 4, 20} {
				for offset := range 5 {
					now := start.Add(time.Duration(offset) * 7 * time.Second)
					at := s.NextUnit(now, total)

					require.Positive(t, s.Units(at, total))
					require.False(t, at.Before(now))

					if wait := at.Sub(now); wait > precision {
						require.Zero(t, s.Units(now.Add(wait/2), total), "index %d of %d, %g units", index, entries, total)
					}
				}
			}
		}
	}
}

// Guards against a share that is not known and counts as the whole limit.
func TestNoneHasNoUnits(t *testing.T) {
	t.Parallel()

	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	require.Zero(t, shares.None().Units(now, 1000))
	require.Equal(t, now, shares.None().NextUnit(now, 1000))
}
