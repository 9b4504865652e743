package tokens_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/tokens"
)

func ExampleEstimator() {
	var e tokens.Estimator

	first, _ := e.Estimate(tokens.Request{Usual: 100})

	for range 200 {
		e.Observe(tokens.Request{Usual: 100}, 300)
	}

	later, _ := e.Estimate(tokens.Request{Usual: 100})
	limited, _ := e.Estimate(tokens.Request{Usual: 100, Max: 50})
	fmt.Printf("%.0f %.0f %.0f\n", first, later, limited)
	// Output: 100 300 50
}

// replay plays answers that vary by a factor of about 2 around 100 tokens, with hints by hint. It
// returns the mean absolute errors, of the logarithm, of the estimates, of the past mean and of the
// hints. The first hundred answers are not counted.
func replay(t *testing.T, hint func(r *rand.Rand, answer float64) int) (estimate, mean, hints float64) {
	t.Helper()

	var e, unhinted tokens.Estimator

	r := rand.New(rand.NewPCG(1, 1))
	usual := tokens.Request{Usual: 100}

	const warm, counted = 100, 4000

	for i := range warm + counted {
		answer := math.Ceil(100 * math.Exp(0.7*r.NormFloat64()))
		req := tokens.Request{Usual: 100, Hint: hint(r, answer)}

		got, ok := e.Estimate(req)
		past, _ := unhinted.Estimate(usual)

		require.True(t, ok)
		require.False(t, math.IsNaN(got) || math.IsInf(got, 0))

		if i >= warm {
			estimate += math.Abs(math.Log(got/answer)) / counted
			mean += math.Abs(math.Log(past/answer)) / counted
			hints += math.Abs(math.Log(float64(req.Hint)/answer)) / counted
		}

		e.Observe(req, answer)
		unhinted.Observe(usual, answer)
	}

	return estimate, mean, hints
}

// Guards against right hints that are not used, and against wrong ones that make estimates worse
// than the past of the route alone.
func TestHintsCountByTheirAccuracy(t *testing.T) {
	t.Parallel()

	right, mean, _ := replay(t, func(_ *rand.Rand, answer float64) int { return int(answer) })
	require.Less(t, right, mean/10, "right hints")

	wrong, mean, _ := replay(t, func(_ *rand.Rand, answer float64) int { return int(10 * answer) })
	require.Less(t, wrong, mean*1.1, "hints ten times too large")

	// Right in the median, but one in three is off by a factor of up to 20.
	oftenOff, mean, hints := replay(t, func(r *rand.Rand, answer float64) int {
		if r.IntN(3) == 0 {
			answer *= math.Exp(3 * (2*r.Float64() - 1))
		}

		return int(max(1, answer))
	})
	require.Less(t, oftenOff, mean, "hints that are often far off")
	require.Less(t, oftenOff, hints+mean/5)

	absurd, mean, _ := replay(t, func(r *rand.Rand, _ float64) int { return r.IntN(math.MaxInt) + 1 })
	require.LessOrEqual(t, absurd, mean*1.01, "absurd hints")
}

// Guards against hints of zero, which mean that there is none, and against negative ones.
func TestEstimatesWithoutAHintAreThePastMean(t *testing.T) {
	t.Parallel()

	for _, hint := range []int{0, -5, math.MinInt} {
		estimate, mean, _ := replay(t, func(*rand.Rand, float64) int { return hint })
		require.InDelta(t, mean, estimate, 1e-9, hint)
	}
}

// Guards against a hint that rules before any answer has shown that hints are right.
func TestTheUsualAnswerIsTheFirstEstimate(t *testing.T) {
	t.Parallel()

	var e tokens.Estimator

	got, ok := e.Estimate(tokens.Request{Usual: 95, Hint: 4000})
	require.True(t, ok)
	require.InDelta(t, 95, got, 0)

	e.Observe(tokens.Request{Usual: 95, Hint: 4000}, 100)

	got, _ = e.Estimate(tokens.Request{Usual: 95, Hint: 4000})
	require.InDelta(t, 96, got, 0.01)
}

// Guards against published figures and counts that are no number of tokens.
func TestImplausibleFiguresAreIgnored(t *testing.T) {
	t.Parallel()

	for _, usual := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0, 1e12} {
		var e tokens.Estimator

		_, ok := e.Estimate(tokens.Request{Usual: usual})
		require.False(t, ok, usual)

		got, ok := e.Estimate(tokens.Request{Usual: usual, Max: 80})
		require.True(t, ok)
		require.InDelta(t, 80, got, 0, usual)

		e.Observe(tokens.Request{Usual: usual}, usual)
		e.Observe(tokens.Request{Usual: usual}, 60)

		got, ok = e.Estimate(tokens.Request{Usual: usual, Max: 80})
		require.True(t, ok)
		require.InDelta(t, 60, got, 0, usual)
	}
}

// Guards against an estimate above what the request allows, whatever the past and the hint say.
func TestEstimatesDoNotExceedTheMaximum(t *testing.T) {
	t.Parallel()

	var e tokens.Estimator

	for i := range 100 {
		req := tokens.Request{Usual: 500, Hint: 800, Max: 1 + i}
		got, ok := e.Estimate(req)
		require.True(t, ok)
		require.LessOrEqual(t, got, float64(req.Max))
		e.Observe(tokens.Request{Hint: 800}, 800)
	}
}

// Guards against estimates that stay at what a route generated before its answers changed.
func TestEstimatesFollowARouteWhoseAnswersChange(t *testing.T) {
	t.Parallel()

	for _, change := range []struct{ from, to float64 }{{100, 400}, {400, 100}} {
		var e tokens.Estimator

		for range 1000 {
			e.Observe(tokens.Request{}, change.from)
		}

		for range 74 {
			e.Observe(tokens.Request{}, change.to)
		}

		got, _ := e.Estimate(tokens.Request{})
		require.InDelta(t, change.to, got, math.Abs(change.to-change.from)/10, change)
	}
}

// Guards against memory that grows with each route that ever existed, and against the loss of
// routes that are in use.
func TestEstimatorsRememberTheRoutesUsedLast(t *testing.T) {
	t.Parallel()

	var e tokens.Estimators[int]

	require.Zero(t, e.Len())

	for route := range 10 * tokens.MaxRoutes {
		e.Observe(route, tokens.Request{}, 50)
		e.Observe(-1, tokens.Request{}, 70)
	}

	require.Equal(t, tokens.MaxRoutes, e.Len())

	got, ok := e.Estimate(-1, tokens.Request{})
	require.True(t, ok)
	require.InDelta(t, 70, got, 0)

	_, ok = e.Estimate(0, tokens.Request{})
	require.False(t, ok)
}

func BenchmarkEstimators(b *testing.B) {
	var e tokens.Estimators[int]

	b.ReportAllocs()

	for i := 0; b.Loop(); i++ {
		r := tokens.Request{Hint: 90, Max: 500, Usual: 100}
		_, _ = e.Estimate(i%3000, r)
		e.Observe(i%3000, r, 80)
	}
}
