package lockstep

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// maxCopies returns the largest number of experts that a rank has to copy for next.
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

// After a shift of demand, the steps of a busy group take three times as long until the next
// map is in use. The best map in the long run needs three copies per rank, one after the other.
// Guards against waiting for it: event gaps were intolerable for twice as long as with the map
// that needs one copy and removes most of the skew.
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

// A group of 32 ranks is ordered by fan-out, and the few ranks that did not answer are ordered
// directly. Guards against direct orders that wait for a lost answer as long as the upper bound
// allows, because none was ever answered: each of them kept the wrong map in use for 0.2 s.
func TestDirectOrderWaitsNoLongerThanFanOut(t *testing.T) {
	t.Parallel()

	s := &Switcher{Settings: DefaultSettings(), Group: GroupClient{Size: 32}}
	prepare := s.order(wire.EngineOrderKind_EngineOrderPrepare, 1, 1, 0)
	require.Equal(t, s.orderTimeout(prepare, 4), s.answerTimeout(prepare, 0, 4), "nothing is known")

	for range 20 {
		s.fanOutTimes.record(prepare.GetKind(), 40*time.Millisecond)
	}

	require.Equal(t, 40*time.Millisecond, s.answerTimeout(prepare, 0, 4))
	require.Equal(t, 80*time.Millisecond, s.answerTimeout(prepare, 1, 4), "ranks may have become slower")

	for range 20 {
		s.answerTimes.record(prepare.GetKind(), 5*time.Millisecond)
	}

	require.Equal(t, minAnswerTimeout+4*minTimeoutPerRank, s.answerTimeout(prepare, 0, 4))
}

// Demand shifts to a few experts. Guards against entries that learn of a shift only from the long
// passes that it causes, and against a skew of a few choices, which is a matter of chance.
func TestDirectorReportsSkewOfLatestDemand(t *testing.T) {
	t.Parallel()

	shape := Shape{Sets: 1, Experts: 4, Ranks: 4, Slots: 1}

	var skews []float64

	d := &Director{Shape: shape, OnSkew: func(skew float64) { skews = append(skews, skew) }}
	d.current = InitialMap(shape.Sets, shape.Experts, shape.Ranks)
	d.demandEstimator = newDemandEstimator(shape, time.Second)

	poll := func(counts ...uint64) {
		polls := make([]PollResult, shape.Ranks)
		polls[0].Counts = counts
		d.latestChoices = d.demandEstimator.observe(time.Now(), polls)
		d.reportSkew()
	}

	poll(0, 0, 0, 0)
	poll(1000, 1000, 1000, 1000)
	poll(1010, 1000, 1000, 1000)
	poll(4010, 2000, 2000, 2000)
	require.InDeltaSlice(t, []float64{1, 2}, skews, 0.01)
}
