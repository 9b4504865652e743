package lockstep_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/lockstep"
)

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 99)) }

func (g *fakeGroup) setIdle(idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.idle = idle
}

// copyLimits returns limits under which almost any gain is worth a copy, to test the search
// itself.
func copyLimits(maxPerRank int) lockstep.CopyLimits {
	return lockstep.CopyLimits{MaxPerRank: maxPerRank, MinGain: 0.004}
}

var (
	shape12Ranks = lockstep.Shape{Sets: 4, Experts: 72, Ranks: 12, Slots: 8, SpareSlots: 3}
	shape63Ranks = lockstep.Shape{Sets: 8, Experts: 252, Ranks: 63, Slots: 5, SpareSlots: 2}
)

// requireValidMap checks what engines require of a map: each expert is placed, no rank has more
// experts than slots, no expert is on a rank twice, and the number of new experts is within the
// limits.
func requireValidMap(t *testing.T, shape lockstep.Shape, from, to lockstep.Map, maxPerRank int) {
	t.Helper()

	newPerRank := make([]int, shape.Ranks)

	for s := range to {
		placed := map[uint16]bool{}

		for r, experts := range to[s] {
			require.LessOrEqual(t, len(experts), shape.Slots)

			onRank, had, newExperts := map[uint16]bool{}, map[uint16]bool{}, 0
			for _, e := range from[s][r] {
				had[e] = true
			}

			for _, e := range experts {
				require.False(t, onRank[e], "expert %d twice on rank %d", e, r)

				onRank[e], placed[e] = true, true
				if !had[e] {
					newExperts++
				}
			}

			require.LessOrEqual(t, newExperts, shape.SpareSlots)

			newPerRank[r] += newExperts
		}

		require.Len(t, placed, shape.Experts, "each expert must be placed, or its tokens are lost")
	}

	for r, n := range newPerRank {
		require.LessOrEqual(t, n, maxPerRank, "rank %d", r)
	}
}

func TestImprovedMapIsValid(t *testing.T) {
	t.Parallel()

	for seed := range uint64(30) {
		m := lockstep.InitialMap(shape12Ranks.Sets, shape12Ranks.Experts, shape12Ranks.Ranks)

		for round := range uint64(4) {
			d := lockstep.Demand(skewed(shape12Ranks, seed*7+round))
			maxPerRank := []int{1, 2, 4, 8}[round]
			next := lockstep.ImproveMap(shape12Ranks, m, d, copyLimits(maxPerRank))
			requireValidMap(t, shape12Ranks, m, next, maxPerRank)
			require.LessOrEqual(t, next.Skew(d), m.Skew(d)+1e-9)
			m = next
		}
	}
}

// One copy per rank removes most of a large skew, and a few more come close to the optimum. A
// group without demand keeps its map.
func TestFewCopiesRemoveMostSkew(t *testing.T) {
	t.Parallel()

	m := lockstep.InitialMap(shape12Ranks.Sets, shape12Ranks.Experts, shape12Ranks.Ranks)
	d := lockstep.Demand(skewed(shape12Ranks, 1))
	before := m.Skew(d)
	one := lockstep.ImproveMap(shape12Ranks, m, d, copyLimits(1)).Skew(d)
	eight := lockstep.ImproveMap(shape12Ranks, m, d, copyLimits(8)).Skew(d)

	require.Greater(t, before, 2.3)
	require.Less(t, (one-1)/(before-1), 0.35)
	require.Less(t, eight, 1.1)

	noDemand := make(lockstep.Demand, shape12Ranks.Sets)
	for s := range noDemand {
		noDemand[s] = make([]float64, shape12Ranks.Experts)
	}

	require.Equal(t, m, lockstep.ImproveMap(shape12Ranks, m, noDemand, copyLimits(8)))
	require.InDelta(t, 1, m.Skew(noDemand), 0)
}

// A rank becomes slow, and all others wait for it in each set of each step. It must get less
// load with each switch, while the maps remain valid, and its share again once it recovers.
func TestSlowRankGetsLessLoad(t *testing.T) {
	t.Parallel()

	d := lockstep.Demand(skewed(shape12Ranks, 1))
	m := lockstep.InitialMap(shape12Ranks.Sets, shape12Ranks.Experts, shape12Ranks.Ranks)

	for range 4 {
		m = lockstep.ImproveMap(shape12Ranks, m, d, copyLimits(8))
	}

	slowdowns := make(lockstep.Slowdowns, shape12Ranks.Ranks)
	slowdowns[3] = 5
	slow := m

	for range 3 {
		next := lockstep.ImproveMapWithSlowdowns(shape12Ranks, slow, d, slowdowns, copyLimits(8))
		requireValidMap(t, shape12Ranks, slow, next, 8)
		slow = next
	}

	require.Greater(t, m.SkewWithSlowdowns(d, slowdowns), 4.5, "skew before any switch")
	require.Less(t, slow.SkewWithSlowdowns(d, slowdowns), 1.5)

	recovered := lockstep.ImproveMap(shape12Ranks, slow, d, copyLimits(8))
	requireValidMap(t, shape12Ranks, slow, recovered, 8)
	require.Less(t, recovered.Skew(d), 1.15)
}

// A search with higher limits continues from the map that was found with lower ones. It must
// find maps as good as those of a new search, and valid ones.
func TestStepwiseSearchMatchesFullSearch(t *testing.T) {
	t.Parallel()

	for _, shape := range []lockstep.Shape{shape12Ranks, shape63Ranks} {
		from := lockstep.InitialMap(shape.Sets, shape.Experts, shape.Ranks)
		fullSkew, stepwiseSkew := 0.0, 0.0

		for seed := range uint64(8) {
			d := lockstep.Demand(skewed(shape, seed))
			limits := []int{1, 3, 8, 16}

			for i, m := range lockstep.ImproveMapStepwise(shape, from, d, limits) {
				requireValidMap(t, shape, from, m, limits[i])

				fullSkew += lockstep.ImproveMap(shape, from, d, copyLimits(limits[i])).Skew(d)
				stepwiseSkew += m.Skew(d)
			}
		}

		require.Less(t, stepwiseSkew/fullSkew, 1.01)
	}
}

func benchmarkImprove(b *testing.B, shape lockstep.Shape) {
	m := lockstep.InitialMap(shape.Sets, shape.Experts, shape.Ranks)
	d := lockstep.Demand(skewed(shape, 1))
	after := 0.0

	for b.Loop() {
		after = lockstep.ImproveMap(shape, m, d, copyLimits(4)).Skew(d)
	}

	b.ReportMetric(m.Skew(d), "skew-before")
	b.ReportMetric(after, "skew-after")
}

// The director searches four maps after each poll that shows a skew.
func benchmarkStepwise(b *testing.B, shape lockstep.Shape) {
	m := lockstep.InitialMap(shape.Sets, shape.Experts, shape.Ranks)
	d := lockstep.Demand(skewed(shape, 1))

	for b.Loop() {
		lockstep.ImproveMapStepwise(shape, m, d, []int{1, 3, 8, 16})
	}
}

func BenchmarkStepwise12Ranks(b *testing.B) { benchmarkStepwise(b, shape12Ranks) }
func BenchmarkStepwise63Ranks(b *testing.B) { benchmarkStepwise(b, shape63Ranks) }
func BenchmarkImprove12Ranks(b *testing.B)  { benchmarkImprove(b, shape12Ranks) }
func BenchmarkImprove63Ranks(b *testing.B)  { benchmarkImprove(b, shape63Ranks) }
