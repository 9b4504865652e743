package popularity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/popularity"
)

func newTracker() *popularity.Tracker {
	return &popularity.Tracker{
		Layers: 1, Experts: 4, Ranks: 3,
		Gain: 0.4, SpeedGain: 0.5, MaxDecay: time.Hour,
	}
}

func ExampleTracker() {
	t := newTracker()
	start := time.Unix(0, 0)
	t.Observe(&popularity.Report{Rank: 0, Incarnation: 1, Sequence: 1, Tokens: []uint64{0, 0, 0, 0}})
	t.Observe(&popularity.Report{Rank: 0, Incarnation: 1, Sequence: 2, Tokens: []uint64{60, 20, 10, 10}})
	t.CloseWindow(start)
	fmt.Println(t.TokenShares(), t.Decay())
	// Output: [0.6 0.2 0.1 0.1] 1h0m0s
}

// Reports may be lost, duplicated or late. In any case the window must count
// each token once, up to the newest report received.
func TestObserveCountsEveryTokenOnce(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		tr := newTracker()
		var sent []popularity.Report
		total := make([]uint64, 4)
		for seq := range 8 {
			for e := range total {
				total[e] += uint64(rapid.IntRange(0, 50).Draw(t, "tokens"))
			}
			sent = append(sent, popularity.Report{Incarnation: 1, Sequence: uint64(seq), Tokens: append([]uint64(nil), total...)})
		}
		observe(t, tr, &sent[0])
		newest := 0
		for range rapid.IntRange(1, 20).Draw(t, "arrivals") {
			i := rapid.IntRange(0, 7).Draw(t, "arrives")
			require.Equal(t, i > newest, observe(t, tr, &sent[i]))
			newest = max(newest, i)
		}
		tr.CloseWindow(time.Unix(60, 0))

		sum := 0.0
		for e := range total {
			sum += float64(sent[newest].Tokens[e] - sent[0].Tokens[e])
		}
		for e, share := range tr.TokenShares() {
			want := 0.0
			if sum > 0 {
				want = float64(sent[newest].Tokens[e]-sent[0].Tokens[e]) / sum
			}
			require.InDelta(t, want, share, 1e-9)
		}
	})
}

func observe(t require.TestingT, tr *popularity.Tracker, r *popularity.Report) bool {
	accepted, err := tr.Observe(r)
	require.NoError(t, err)

	return accepted
}

// After a restart, an engine's counters start at zero. An unsigned difference
// to the earlier counters would wrap to an enormous count, and one expert would
// seem to receive all tokens of the group.
func TestEngineRestartDoesNotWrapCounts(t *testing.T) {
	t.Parallel()

	tr := newTracker()
	observe(t, tr, &popularity.Report{Incarnation: 1, Sequence: 9, Tokens: []uint64{900, 900, 900, 900}})
	require.True(t, observe(t, tr, &popularity.Report{Incarnation: 2, Sequence: 1, Tokens: []uint64{5, 0, 0, 0}}))
	require.False(t, observe(t, tr, &popularity.Report{Incarnation: 1, Sequence: 10, Tokens: []uint64{2900, 900, 900, 900}}), "a report of an earlier incarnation is dropped")
	observe(t, tr, &popularity.Report{Incarnation: 2, Sequence: 2, Tokens: []uint64{15, 10, 10, 10}})
	observe(t, tr, &popularity.Report{Incarnation: 2, Sequence: 3, Tokens: []uint64{0, 10, 10, 10}})
	tr.CloseWindow(time.Unix(60, 0))
	require.Equal(t, []float64{0.25, 0.25, 0.25, 0.25}, tr.TokenShares())
}

// feedWindows feeds windows with the shares returned by f to a tracker and
// returns the tracker.
func feedWindows(windows, layers, experts int, f func(window int) []float64) *popularity.Tracker {
	tr := newTracker()
	tr.Layers, tr.Experts = layers, experts
	counts := make([]uint64, layers*experts)
	for w := range windows + 1 {
		tr.Observe(&popularity.Report{Incarnation: 1, Sequence: uint64(w), Tokens: counts})
		tr.CloseWindow(time.Unix(int64(w+1)*60, 0))
		for e, share := range f(w) {
			counts[e] += uint64(share * 1e6)
		}
	}

	return tr
}

// After a sudden shift in demand, an average that adapts slowly keeps steps
// slow for many minutes. Normal noise must still be averaged.
func TestSuddenShiftIsAdoptedAtOnce(t *testing.T) {
	t.Parallel()

	rng := rand.New(rand.NewPCG(1, 1))
	noisy := func(shares ...float64) []float64 {
		for i := range shares {
			shares[i] *= 0.98 + 0.04*rng.Float64()
		}

		return shares
	}
	tr := feedWindows(20, 1, 4, func(w int) []float64 {
		if w < 18 {
			return noisy(0.4, 0.3, 0.2, 0.1)
		}

		return noisy(0.1, 0.2, 0.3, 0.4)
	})
	require.InDeltaSlice(t, []float64{0.1, 0.2, 0.3, 0.4}, tr.TokenShares(), 0.02)
	require.Greater(t, tr.Decay(), 30*time.Minute, "one shift does not shorten the decay estimate")
}

func TestDecayFollowsDrift(t *testing.T) {
	t.Parallel()

	for _, minutes := range []float64{5, 20, 50} {
		rng := rand.New(rand.NewPCG(2, 2))
		z := make([]float64, 8*64)
		tr := feedWindows(60, 8, 64, func(int) []float64 {
			shares := make([]float64, len(z))
			for i := range z {
				z[i] += -z[i]/minutes + math.Sqrt(2/minutes)*rng.NormFloat64()
				shares[i] = math.Exp(z[i] / 2)
			}

			return shares
		})
		require.InEpsilon(t, minutes, tr.Decay().Minutes(), 0.25)
	}
}

// A stalled rank reports little work for a long busy time and must not get an
// equal share. A rank that has not reported yet counts as normal.
func TestSpeedOfStalledRank(t *testing.T) {
	t.Parallel()

	tr := newTracker()
	for w := range uint64(4) {
		for r, speed := range []uint64{100, 100, 0} {
			busy := time.Duration(w) * time.Second
			if r == 1 && w == 3 {
				busy = 22 * time.Second
			}
			observe(t, tr, &popularity.Report{Rank: r, Incarnation: 1, Sequence: w, Busy: busy, Work: w * speed})
		}
	}
	speeds := tr.Speeds()
	require.Equal(t, 1.0, speeds[0])
	require.Less(t, speeds[1], 0.15)
	require.Equal(t, 1.0, speeds[2], "not measured yet")
}

func TestObserveErrors(t *testing.T) {
	t.Parallel()

	_, err := newTracker().Observe(&popularity.Report{Rank: 3})
	require.EqualError(t, err, "invalid report: Rank is 3, group has 3")
	_, err = newTracker().Observe(&popularity.Report{Tokens: make([]uint64, 5)})
	require.EqualError(t, err, "invalid report: Tokens is 5, group has 4")
}
