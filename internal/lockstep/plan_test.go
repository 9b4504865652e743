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

// copies lets almost any gain be worth a copy, so that the search itself is seen.
func copies(most int) lockstep.CopyLimits {
	return lockstep.CopyLimits{MaxPerRank: most, MinGain: 0.004}
}

var (
	today = lockstep.Shape{Sets: 4, Experts: 72, Ranks: 12, Slots: 8, SpareSlots: 3}
	grown = lockstep.Shape{Sets: 8, Experts: 252, Ranks: 63, Slots: 5, SpareSlots: 2}
)

// checkMap holds a map against what engines take: each expert somewhere, no rank
// with more than its places, no expert twice on a rank, and few enough new ones.
func checkMap(t *testing.T, shape lockstep.Shape, from, to lockstep.Map, most int) {
	t.Helper()

	newAt := make([]int, shape.Ranks)

	for s := range to {
		held := map[uint16]bool{}

		for r, experts := range to[s] {
			require.LessOrEqual(t, len(experts), shape.Slots)

			here, had, fresh := map[uint16]bool{}, map[uint16]bool{}, 0
			for _, e := range from[s][r] {
				had[e] = true
			}

			for _, e := range experts {
				require.False(t, here[e], "expert %d twice on rank %d", e, r)

				here[e], held[e] = true, true
				if !had[e] {
					fresh++
				}
			}

			require.LessOrEqual(t, fresh, shape.SpareSlots)

			newAt[r] += fresh
		}

		require.Len(t, held, shape.Experts, "an expert without a rank loses its tokens")
	}

	for r, n := range newAt {
		require.LessOrEqual(t, n, most, "rank %d", r)
	}
}

func TestImproveKeepsTheRules(t *testing.T) {
	t.Parallel()

	for seed := range uint64(30) {
		m := lockstep.InitialMap(today.Sets, today.Experts, today.Ranks)

		for round := range uint64(4) {
			d := lockstep.Demand(skewed(today, seed*7+round))
			most := []int{1, 2, 4, 8}[round]
			next := lockstep.ImproveMap(today, m, d, copies(most))
			checkMap(t, today, m, next, most)
			require.LessOrEqual(t, next.Skew(d), m.Skew(d)+1e-9)
			m = next
		}
	}
}

// One copy a rank already takes most of a bad skew away, and a few come near to
// the best that there is. Nothing is demanded of an idle group.
func TestImproveMendsTheWorstFirst(t *testing.T) {
	t.Parallel()

	m := lockstep.InitialMap(today.Sets, today.Experts, today.Ranks)
	d := lockstep.Demand(skewed(today, 1))
	before := m.Skew(d)
	one := lockstep.ImproveMap(today, m, d, copies(1)).Skew(d)
	eight := lockstep.ImproveMap(today, m, d, copies(8)).Skew(d)

	require.Greater(t, before, 2.3)
	require.Less(t, (one-1)/(before-1), 0.35)
	require.Less(t, eight, 1.1)

	none := make(lockstep.Demand, today.Sets)
	for s := range none {
		none[s] = make([]float64, today.Experts)
	}

	require.Equal(t, m, lockstep.ImproveMap(today, m, none, copies(8)))
	require.InDelta(t, 1, m.Skew(none), 0)
}

// A rank turns slow, and all others wait for it in each set of each step. It is left
// with less and less as copies get there, keeping all rules of a map; when it is well
// again it gets its share back.
func TestSlowRankIsLeftWithLess(t *testing.T) {
	t.Parallel()

	d := lockstep.Demand(skewed(today, 1))
	m := lockstep.InitialMap(today.Sets, today.Experts, today.Ranks)

	for range 4 {
		m = lockstep.ImproveMap(today, m, d, copies(8))
	}

	paces := make(lockstep.Slowdowns, today.Ranks)
	paces[3] = 5
	slow := m

	for range 3 {
		next := lockstep.ImproveMapWithSlowdowns(today, slow, d, paces, copies(8))
		checkMap(t, today, slow, next, 8)
		slow = next
	}

	require.Greater(t, m.SkewWithSlowdowns(d, paces), 4.5, "nobody has done anything yet")
	require.Less(t, slow.SkewWithSlowdowns(d, paces), 1.5)

	well := lockstep.ImproveMap(today, slow, d, copies(8))
	checkMap(t, today, slow, well, 8)
	require.Less(t, well.Skew(d), 1.15)
}

// A search with more copies goes on from the map that was found with fewer. That must
// find maps as good as a search from the start does, and keep all rules of a map.
func TestSearchGoesOnWithMoreCopies(t *testing.T) {
	t.Parallel()

	for _, shape := range []lockstep.Shape{today, grown} {
		from := lockstep.InitialMap(shape.Sets, shape.Experts, shape.Ranks)
		anew, on := 0.0, 0.0

		for seed := range uint64(8) {
			d := lockstep.Demand(skewed(shape, seed))
			most := []int{1, 3, 8, 16}

			for i, m := range lockstep.ImproveMapStepwise(shape, from, d, most) {
				checkMap(t, shape, from, m, most[i])

				anew += lockstep.ImproveMap(shape, from, d, copies(most[i])).Skew(d)
				on += m.Skew(d)
			}
		}

		require.Less(t, on/anew, 1.01)
	}
}

func benchmarkImprove(b *testing.B, shape lockstep.Shape) {
	m := lockstep.InitialMap(shape.Sets, shape.Experts, shape.Ranks)
	d := lockstep.Demand(skewed(shape, 1))
	after := 0.0

	for b.Loop() {
		after = lockstep.ImproveMap(shape, m, d, copies(4)).Skew(d)
	}

	b.ReportMetric(m.Skew(d), "skew-before")
	b.ReportMetric(after, "skew-after")
}

// The director weighs four maps at each look that shows a skew.
func benchmarkSteps(b *testing.B, shape lockstep.Shape) {
	m := lockstep.InitialMap(shape.Sets, shape.Experts, shape.Ranks)
	d := lockstep.Demand(skewed(shape, 1))

	for b.Loop() {
		lockstep.ImproveMapStepwise(shape, m, d, []int{1, 3, 8, 16})
	}
}

func BenchmarkStepsToday(b *testing.B)   { benchmarkSteps(b, today) }
func BenchmarkStepsGrown(b *testing.B)   { benchmarkSteps(b, grown) }
func BenchmarkImproveToday(b *testing.B) { benchmarkImprove(b, today) }
func BenchmarkImproveGrown(b *testing.B) { benchmarkImprove(b, grown) }
