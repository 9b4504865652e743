package callers_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/callers"
)

var startTime = time.Unix(1000, 0)

// meanAge is the age of the mean demand when it reaches an entry, tick the time between two steps.
const (
	meanAge = 1300 * time.Millisecond
	tick    = 10 * time.Millisecond
)

// play adds demand to one of entries, the others of which get one request per tick, and returns when
// it was first and last excessive, zero if it was not.
func play(entries int, duration time.Duration, perTick func(since time.Duration) int, others func(since time.Duration) int) (first, last time.Duration) {
	var (
		d, other callers.Demand
		means    []float64
	)

	for since := time.Duration(0); since < duration; since += tick {
		now := startTime.Add(since)

		for range perTick(since) {
			d.Add(now)
		}

		for range others(since) {
			other.Add(now)
		}

		means = append(means, (d.PerSecond(now)+float64(entries-1)*other.PerSecond(now))/float64(entries))
		if old := len(means) - 1 - int(meanAge/tick); old >= 0 {
			d.SetMean(now, means[old])
		}

		if d.IsExcessive(now) {
			if first == 0 {
				first = since
			}

			last = since
		}
	}

	return first, last
}

// step returns a demand per tick that changes once.
func step(at time.Duration, before, after int) func(time.Duration) int {
	return func(since time.Duration) int {
		if since < at {
			return before
		}

		return after
	}
}

// Guards against an entry that notices too late, or not at all, that it gets most new connections.
func TestDemandOfOneEntryIsExcessiveWithinThreeSeconds(t *testing.T) {
	t.Parallel()

	for _, entries := range []int{3, 7, 289} {
		first, _ := play(entries, 12*time.Second, step(6*time.Second, 2, 2*entries), step(6*time.Second, 2, 0))
		require.Greater(t, first, 6*time.Second, "%d entries", entries)
		require.Less(t, first, 9*time.Second, "%d entries", entries)
	}
}

// Guards against entries that all decline connections because the demand rises at all of them, and the
// mean that they compare it with is older.
func TestDemandThatRisesAtAllEntriesIsNotExcessive(t *testing.T) {
	t.Parallel()

	rising := step(6*time.Second, 2, 12)
	first, _ := play(7, 12*time.Second, rising, rising)
	require.Zero(t, first)
}

// Guards against an entry that compares its demand with an outdated mean for long.
func TestDemandIsNotExcessiveWithoutARecentMean(t *testing.T) {
	t.Parallel()

	var d callers.Demand

	load := func(from, to time.Duration) {
		for since := from; since < to; since += tick {
			d.Add(startTime.Add(since))
		}
	}

	load(0, 5*time.Second)
	require.False(t, d.IsExcessive(startTime.Add(5*time.Second)), "no mean")

	d.SetMean(startTime.Add(5*time.Second), 10)
	require.True(t, d.IsExcessive(startTime.Add(5*time.Second)))

	load(5*time.Second, 16*time.Second)
	require.False(t, d.IsExcessive(startTime.Add(16*time.Second)), "outdated mean")
}

// Guards against demand that is counted for longer than the window, or lost after a pause.
func TestDemandIsCountedOverTwoSeconds(t *testing.T) {
	t.Parallel()

	var d callers.Demand

	for since := time.Duration(0); since < 10*time.Second; since += tick {
		d.Add(startTime.Add(since))
	}

	require.InDelta(t, 100, d.PerSecond(startTime.Add(10*time.Second-tick)), 5)
	require.InDelta(t, 50, d.PerSecond(startTime.Add(11*time.Second)), 6)
	require.Zero(t, d.PerSecond(startTime.Add(time.Hour)))

	d.Add(startTime.Add(time.Hour))
	require.InDelta(t, 0.5, d.PerSecond(startTime.Add(time.Hour)), 0.01)
}

// Guards against entries that decline connections since few requests arrive, and more of them at one entry
// by chance.
func TestFewRequestsAreNoExcess(t *testing.T) {
	t.Parallel()

	const entries, perSecond = 7, 3

	r := rand.New(rand.NewPCG(1, 1))
	demands := make([]callers.Demand, entries)
	excessive, all := 0, 0

	for since := time.Duration(0); since < 10*time.Minute; since += tick {
		now := startTime.Add(since)
		demands[0].SetMean(now, perSecond)

		for i := range demands {
			if r.Float64() < perSecond*tick.Seconds() {
				demands[i].Add(now)
			}
		}

		all++

		if demands[0].IsExcessive(now) {
			excessive++
		}
	}

	t.Logf("excessive for %.4f of the time", float64(excessive)/float64(all))
	require.LessOrEqual(t, float64(excessive)/float64(all), 0.01)
}
