package forecast_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/forecast"
	"github.com/parsleygate/parsleygate/internal/routes"
)

var startTime = time.Unix(1000, 0)

// parameters are those of the group that was measured: 22.75 ms for a pass without sequences, and
// 6.5 ms of work for each sequence per rank.
func parameters() forecast.Parameters {
	return forecast.Parameters{
		Figures: routes.EngineFigures{
			Stride: 5, StepTime: 4550 * time.Microsecond, SequenceTime: 600 * time.Microsecond, ContextTime: 330 * time.Microsecond,
			PromptTokensPerSecond: 20000, ExpertShare: 0.7, UsualPromptTokens: 800, UsualAnswerTokens: 95,
		},
		EventGap: 150 * time.Millisecond, Timeout: 8 * time.Second, EventTimeout: 2 * time.Second, Slots: 10,
	}
}

const (
	normalSkew  = 1.34
	shiftedSkew = 2.8
)

// observedGroup is a group of which the test observes passes.
type observedGroup struct {
	forecast.Group

	now time.Time
}

func newGroup(p forecast.Parameters) *observedGroup {
	g := &observedGroup{now: startTime}
	g.Configure(p)

	return g
}

// passTime returns the true duration of a pass of the measured group.
func passTime(n, skew float64) time.Duration {
	const fixed, perSequence, expertShare = 22.75, 6.485, 0.7

	return time.Duration((fixed + n*perSequence*(1-expertShare+expertShare*skew)) * float64(time.Millisecond))
}

// pass observes a pass with n sequences per rank by three event gaps, and the decision after it.
func (g *observedGroup) pass(d time.Duration, n float64) forecast.Decision {
	g.now = g.now.Add(d)

	for range 3 {
		if pass, ok := g.DetectPass(g.now, d); ok {
			g.ObservePass(g.now, pass, n)
		}
	}

	return g.Decide(g.now, n)
}

// passes observes passes for a time.
func (g *observedGroup) passes(duration time.Duration, n, skew float64) (d forecast.Decision) {
	for until := g.now.Add(duration); g.now.Before(until); {
		d = g.pass(passTime(n, skew), n)
	}

	return d
}

// Guards against a forecast that does not match the group that was measured: 76 ms at 7 sequences
// per rank, 125 ms after a shift, and 7.5 sequences per rank that stay below 150 ms while experts are
// copied.
func TestForecastMatchesMeasuredPasses(t *testing.T) {
	t.Parallel()

	g := newGroup(parameters())
	d := g.passes(5*time.Second, 7, normalSkew)
	require.True(t, d.Valid)
	require.InDelta(t, 78, d.Pass.Seconds()*1000, 3)
	require.InDelta(t, 10, d.Limit, 0.01, "the slots: there was no shift")

	g.ObserveSkew(g.now, normalSkew)
	g.passes(time.Second, 7, normalSkew)
	g.ObserveSkew(g.now, shiftedSkew)

	d = g.Decide(g.now, 7)
	require.InDelta(t, 125*1.15, d.Pass.Seconds()*1000, 6)
	require.InDelta(t, 7, d.Limit, 0.4)
}

// Guards against a limit that forgets a shift as soon as it is over, and against one that keeps
// places free for shifts so rare that this costs more than they do.
func TestPlacesAreKeptFreeForFrequentShifts(t *testing.T) {
	t.Parallel()

	g := newGroup(parameters())

	var d forecast.Decision
	for range 5 {
		g.passes(3*time.Second, 7, normalSkew)
		g.passes(400*time.Millisecond, 7, shiftedSkew)
		d = g.passes(100*time.Millisecond, 7, normalSkew)
	}

	require.InDelta(t, 1.24, d.Factor, 0.1)
	require.InDelta(t, 2.26, d.Peak, 0.25)
	require.InDelta(t, 7, d.Limit, 0.6)

	d = g.passes(29*time.Second, 7, normalSkew)
	require.Positive(t, d.Peak)
	require.InDelta(t, 10, d.Limit, 0.01, "one shift in 30 s makes fewer streams late than the reserve")

	d = g.passes(2*time.Second, 7, normalSkew)
	require.Zero(t, d.Peak)
}

// Guards against one pass with long prompts that counts as a shift for 30 s.
func TestSingleLongPassIsNotRemembered(t *testing.T) {
	t.Parallel()

	g := newGroup(parameters())
	g.passes(3*time.Second, 7, normalSkew)
	d := g.pass(passTime(7, 3*normalSkew), 7)
	require.Greater(t, d.Factor, 2.0, "it counts for the next pass")
	require.Zero(t, d.Peak)
}

// Guards against a work factor that stays after the passes that gave it: a group whose streams have
// all ended must be tried again.
func TestFactorExpiresToTheUsualOne(t *testing.T) {
	t.Parallel()

	g := newGroup(parameters())
	g.passes(10*time.Second, 7, normalSkew)
	d := g.pass(passTime(7, shiftedSkew), 7)
	require.Greater(t, d.Factor, 2.0)

	d = g.Decide(g.now.Add(2*time.Second+1), 7)
	require.InDelta(t, 1.24, d.Factor, 0.1)
}

// A rank becomes 12 times slower. Guards against an aim that changes with a single forecast, and
// against passes so long that callers leave.
func TestAimChangesWhenNoStreamCanBeInTime(t *testing.T) {
	t.Parallel()

	const slowdown, longestLatePass = 12, 0.75 * 8 * 1000 / 19

	g := newGroup(parameters())
	slow := func(n float64) time.Duration { return passTime(n, normalSkew) + (slowdown-1)*22750*time.Microsecond }

	d := g.passes(3*time.Second, 5, normalSkew)
	require.Equal(t, forecast.InTime, d.Aim)

	g.SetSlowdown(slowdown)
	require.Equal(t, forecast.InTime, g.pass(slow(5), 5).Aim)

	d = g.pass(slow(5), 5)
	require.Equal(t, forecast.MostLate, d.Aim)
	require.InDelta(t, longestLatePass, slow(d.Limit).Seconds()*1000, 8)

	g.SetSlowdown(1)

	for range 3 {
		require.Equal(t, forecast.MostLate, g.pass(passTime(5, normalSkew), 5).Aim)
	}

	require.Equal(t, forecast.InTime, g.pass(passTime(5, normalSkew), 5).Aim)
}

// Guards against passes that are made up: of gaps that differ, of a stall, or of the same pass
// counted twice.
func TestPassesAreEqualGapsOfSeveralStreams(t *testing.T) {
	t.Parallel()

	const ms = time.Millisecond

	for name, c := range map[string]struct {
		gaps []time.Duration
		want time.Duration
	}{
		"two streams":         {gaps: []time.Duration{80 * ms, 80 * ms}},
		"three streams":       {gaps: []time.Duration{80 * ms, 82 * ms, 81 * ms, 80 * ms, 80 * ms, 80 * ms}, want: 81 * ms},
		"one gap differs":     {gaps: []time.Duration{80 * ms, 200 * ms, 82 * ms, 81 * ms}, want: 81 * ms},
		"all gaps differ":     {gaps: []time.Duration{80 * ms, 90 * ms, 100 * ms, 110 * ms}},
		"stall":               {gaps: []time.Duration{601 * ms, 601 * ms, 601 * ms}},
		"negative and no gap": {gaps: []time.Duration{-80 * ms, -80 * ms, -80 * ms, 0, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			g := newGroup(parameters())

			var got []time.Duration

			for _, gap := range c.gaps {
				if pass, ok := g.DetectPass(startTime, gap); ok {
					got = append(got, pass)
				}
			}

			if c.want == 0 {
				require.Empty(t, got)
			} else {
				require.Equal(t, []time.Duration{c.want}, got)
			}
		})
	}
}

// Guards against a skew of a broken agent that changes a limit.
func TestInvalidSkewIsIgnored(t *testing.T) {
	t.Parallel()

	g := newGroup(parameters())
	want := g.passes(3*time.Second, 7, normalSkew)

	for _, skew := range []float64{0, 0.5, -1, math.NaN(), math.Inf(1)} {
		g.ObserveSkew(g.now, skew)
		require.Equal(t, want, g.Decide(g.now, 7))
	}
}

// Guards against figures that observed passes contradict, and against ignoring them for ever after
// the passes agree again.
func TestFiguresAreRefutedByPasses(t *testing.T) {
	t.Parallel()

	g := newGroup(parameters())
	require.True(t, g.passes(3*time.Second, 7, normalSkew).Valid)

	for range 4 {
		require.True(t, g.pass(20*time.Millisecond, 7).Valid)
	}

	require.False(t, g.pass(20*time.Millisecond, 7).Valid, "a pass is shorter than its fixed part")
	require.NotEmpty(t, g.Problem())

	require.True(t, g.passes(3*time.Second, 7, normalSkew).Valid)
	require.Empty(t, g.Problem())
}

// Guards against an entry that follows a limit before it has seen a single pass.
func TestNothingIsDecidedBeforePassesAreObserved(t *testing.T) {
	t.Parallel()

	g := newGroup(parameters())
	g.ObserveSkew(g.now, normalSkew)
	require.False(t, g.Decide(g.now, 0).Valid)
	require.Empty(t, g.Problem())

	g.passes(300*time.Millisecond, 7, normalSkew)
	require.True(t, g.Decide(g.now, 7).Valid)

	var other forecast.Group

	other.Adopt(&g.Group)
	require.True(t, other.Decide(g.now, 0).Valid, "another group of the service runs the same engines")
}
