package relay

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/routes"
)

func engineFigures() routes.EngineFigures {
	return routes.EngineFigures{
		Stride: 5, StepTime: 3 * time.Millisecond, SequenceTime: time.Millisecond, ContextTime: time.Millisecond,
		PromptTokensPerSecond: 10_000, UsualPromptTokens: 400, UsualAnswerTokens: 100,
	}
}

// Guards against work that does not follow the published speed of engines, and against figures and
// token counts that no engine has.
func TestWorkIsRelativeToATypicalRequest(t *testing.T) {
	t.Parallel()

	f := engineFigures()

	// Reading takes 40 ms, and each of 100 steps 1 ms and 0.45 ms for the context: 185 ms.
	require.InDelta(t, 1, workOf(&f, 400, 100), 1e-9)
	require.InDelta(t, 1, workOf(&f, 0, 100), 1e-9, "unknown prompt")
	require.InDelta(t, (40+200*1.5)/185, workOf(&f, 400, 200), 1e-9)
	require.InDelta(t, (80+100*1.85)/185, workOf(&f, 800, 100), 1e-9)

	require.InDelta(t, maxWork, workOf(&f, 1e18, 100), 0)
	require.InDelta(t, minWork, workOf(&f, 1, 0), 0)

	for name, spoil := range map[string]func(f *routes.EngineFigures){
		"absent":         func(f *routes.EngineFigures) { *f = routes.EngineFigures{} },
		"not a number":   func(f *routes.EngineFigures) { f.PromptTokensPerSecond = math.NaN() },
		"infinite":       func(f *routes.EngineFigures) { f.UsualAnswerTokens = math.Inf(1) },
		"no usual sizes": func(f *routes.EngineFigures) { f.UsualPromptTokens = 0 },
		"negative":       func(f *routes.EngineFigures) { f.ContextTime = -time.Second },
		"negative speed": func(f *routes.EngineFigures) { f.PromptTokensPerSecond = -1 },
	} {
		g := engineFigures()
		spoil(&g)
		require.InDelta(t, (800.0/10+100)/baselineTokens, workOf(&g, 800, 100), 1e-9, name)
		require.InDelta(t, 1, workOf(&g, 0, 100), 0, name)
	}
}

// requestOf returns a request to a route of a prioritized service.
func requestOf(r *Relay, route *routes.Route, caller RequestInfo) *proxiedRequest {
	f := engineFigures()

	return &proxiedRequest{relay: r, route: route, caller: caller, prioritized: true, engine: &f}
}

// Guards against estimates that take the maximum that callers accept for the answer, that mix up
// routes of the same name, or that count streams of which this entry saw only a part.
func TestWorkFollowsTheAnswersOfARoute(t *testing.T) {
	t.Parallel()

	r := &Relay{}
	short := &routes.Route{Name: "r", Prefix: "/short/"}
	long := &routes.Route{Name: "r", Prefix: "/long/"}
	caller := RequestInfo{PromptTokens: 400, AnswerTokens: 2000}

	require.InDelta(t, 1, requestOf(r, short, caller).estimateWork(), 1e-9, "the published answer at first")

	for range 200 {
		p := requestOf(r, short, caller)
		p.events = 4
		p.observeAnswerLength()

		p = requestOf(r, long, caller)
		p.events = 40
		p.observeAnswerLength()

		p = requestOf(r, short, RequestInfo{LastEvent: "39"})
		p.events = 1
		p.observeAnswerLength()

		requestOf(r, short, caller).observeAnswerLength() // no events
	}

	f := engineFigures()
	require.InDelta(t, workOf(&f, 400, 20), requestOf(r, short, caller).estimateWork(), 0.01)
	require.InDelta(t, workOf(&f, 400, 200), requestOf(r, long, caller).estimateWork(), 0.01)

	caller.AnswerTokens = 50
	require.InDelta(t, workOf(&f, 400, 50), requestOf(r, long, caller).estimateWork(), 1e-9, "the maximum")
}

// Guards against a change for services that are not prioritized: their work is computed from the
// maximum, and their answers are not recorded.
func TestWorkOfOtherServicesStays(t *testing.T) {
	t.Parallel()

	r := &Relay{}
	p := &proxiedRequest{relay: r, route: &routes.Route{Prefix: "/x/"}, events: 9, expectedWork: 7, caller: RequestInfo{PromptTokens: 400, AnswerTokens: 2000, LengthHint: 10}}

	require.InDelta(t, (400.0/10+2000)/baselineTokens, p.work(), 1e-9)
	p.observeAnswerLength()
	require.Zero(t, r.answers.Len())

	p.caller.PromptTokens = 0
	require.InDelta(t, 1, p.work(), 0)
}

// Guards against work that is no number: the target that got it would be chosen always.
func TestWorkIsANumberWithExtremeFigures(t *testing.T) {
	t.Parallel()

	for _, spoil := range []func(f *routes.EngineFigures){
		func(f *routes.EngineFigures) { f.PromptTokensPerSecond = 1e-300 },
		func(f *routes.EngineFigures) { f.UsualPromptTokens = 1e308 },
		func(f *routes.EngineFigures) { f.UsualAnswerTokens = 1e308 },
	} {
		f := engineFigures()
		spoil(&f)

		for _, prompt := range []float64{0, 500} {
			w := workOf(&f, prompt, 95)
			require.True(t, w >= minWork && w <= maxWork, "%v for %+v", w, f)
		}
	}
}
