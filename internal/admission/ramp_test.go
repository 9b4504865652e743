package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const usual = 50 * time.Millisecond

// warmUp teaches the norm and leaves the target warm.
func (b *bench) warmUp() {
	b.t.Helper()

	for range 4 {
		b.serve(8, usual)
	}

	require.False(b.t, b.core.Load().Cold)
}

// A cold target would get its warm load and fall over. It turned cold, by
// restart, by its own word, or without any word.
func TestSignsOfColdDropTheLimit(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name string
		sign func(b *bench)
		cold bool
	}{
		{"new boot", func(b *bench) { b.announce("boot-2", false) }, true},
		{"engine's own word", func(b *bench) { b.announce("boot-1", true) }, true},
		{"engine's word on an answer", func(b *bench) { b.core.ReportCold(b.now) }, true},
		{"target silent", func(b *bench) {
			b.now = b.now.Add(DefaultAnnounceTimeout)
			b.core.Tick(b.now)
			b.announce("boot-1", false)
		}, true},
		{"zone returned", func(b *bench) {
			b.view(View{Version: 2, FreshUntil: start.Add(time.Hour), ZoneOut: true, ColdLimit: 2, WarmLimit: 32})
			b.view(View{Version: 3, FreshUntil: start.Add(time.Hour), ColdLimit: 2, WarmLimit: 32})
		}, true},
		{"late first tokens", func(b *bench) { b.serve(slowInRow, 10*usual) }, true},
		{"missing first tokens", func(b *bench) {
			for range slowInRow {
				b.admit()
			}
			b.pass(10 * usual)
		}, true},
		{"same boot again", func(b *bench) { b.announce("boot-1", false) }, false},
		{"one outlier", func(b *bench) { b.serve(1, 100*usual) }, false},
		{"a few slow ones between usual ones", func(b *bench) {
			for range 20 {
				b.serve(slowInRow-1, 10*usual)
				b.serve(slowInRow, usual)
			}
		}, false},
		{"jitter of a quick service", func(b *bench) {
			b.core.ramp.norm = norm{}
			for range 8 {
				b.serve(8, time.Millisecond)
			}
			b.serve(8, minSlow)
		}, false},
		{"burst at a target that serves one by one", func(b *bench) {
			b.core.ramp.norm = norm{}
			for range 32 {
				b.serve(1, usual)
			}

			var in []Request
			for range 32 {
				in = append(in, b.admit())
			}

			for _, r := range in {
				b.pass(usual)
				b.core.FirstToken(b.now, r.AttemptID)
				b.ran(r, nil)
			}
		}, false},
		{"slow drift of load", func(b *bench) {
			for d := usual; d < 20*usual; d += d / 20 {
				b.serve(8, d)
			}
		}, false},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			b := newBench(t, 2, 32)
			b.warmUp()
			tc.sign(b)

			l := b.core.Load()
			require.Equal(t, tc.cold, l.Cold)

			if tc.cold {
				require.EqualValues(t, 2, l.Limit)
			}
		})
	}
}

// A target would stay at its floor, or get a jump in load. The limit grows only on
// work completed since the fall, only in use, and at most doubles in a second.
func TestRampGrowsOnCompletedWork(t *testing.T) {
	t.Parallel()

	b := newBench(t, 2, 32)
	old := b.admit()
	b.announce("boot-2", false)
	b.pass(2 * time.Second)
	b.ran(old, nil)
	require.EqualValues(t, 2, b.core.Load().Limit, "work from before the fall counts for nothing")

	for range 40 {
		b.serve(2, time.Millisecond)
	}

	require.LessOrEqual(t, b.core.Load().Limit, uint32(4), "quick requests don't shorten the ramp")

	for range 20 {
		limit := b.core.Load().Limit
		b.pass(100 * time.Millisecond)
		b.serve(int(limit), usual)
		require.LessOrEqual(t, b.core.Load().Limit, 2*limit)
	}

	for b.core.Load().Cold {
		b.serve(int(b.core.Load().Limit), usual)
	}

	require.EqualValues(t, 32, b.core.Load().Limit)
	require.Less(t, b.now.Sub(start), time.Minute)
}

// A target would stay at its floor for good after the prompts of its callers
// became longer, as each first token looks like one of a cold target.
func TestNormIsLearntAnew(t *testing.T) {
	t.Parallel()

	b := newBench(t, 2, 8)
	b.warmUp()

	for range 100 {
		b.serve(8, 10*usual)
	}

	require.False(t, b.core.Load().Cold)
	require.EqualValues(t, 8, b.core.Load().Limit)
}

// A cold target would keep more than the operators allow it: they lower its cold
// limit while it ramps.
func TestLoweredLimits(t *testing.T) {
	t.Parallel()

	b := newBench(t, 8, 32)
	b.announce("boot-2", false)
	require.EqualValues(t, 8, b.core.Load().Limit)

	in := []Request{b.admit(), b.admit(), b.admit()}
	b.view(View{Version: 2, FreshUntil: start.Add(time.Hour), ColdLimit: 2, WarmLimit: 32})
	require.EqualValues(t, 2, b.core.Load().Limit)

	for _, r := range in {
		b.requireRefused(b.arrival(b.grant("entry-1", 4)), verdict.NotRun, verdict.CauseColdLimit)
		require.EqualValues(t, 2, b.core.Load().Limit)
		b.core.Finish(b.now, r.AttemptID, Outcome{Verdict: verdict.NotRun})

		if len(b.core.running) < 2 {
			break
		}
	}

	b.admit()
}

// A cold target would get more than it bears: the agent restarted and knows
// nothing of what its predecessor sent, or callers of a cold target give up and
// their requests go on there.
func TestUnknownWorkCounts(t *testing.T) {
	t.Parallel()

	word := func(inFlight uint32, counted bool) Announcement {
		return Announcement{BootID: "boot-1", Service: "assist", InFlight: inFlight, InFlightKnown: counted}
	}
	restart := func(t *testing.T) *bench {
		t.Helper()

		b := newBench(t, 2, 8)
		b.core = Core{AgentID: "agent-1", Incarnation: 4, Started: b.now}
		b.view(View{Version: 1, FreshUntil: start.Add(time.Hour), ColdLimit: 2, WarmLimit: 8})
		b.now = b.now.Add(time.Millisecond)

		return b
	}
	full := func(b *bench) {
		b.t.Helper()
		b.requireRefused(b.arrival(b.grant("entry-1", 4)), verdict.NotRun, verdict.CauseColdLimit)
	}

	t.Run("target doesn't count", func(t *testing.T) {
		t.Parallel()

		b := restart(t)
		b.core.Announce(b.now, word(0, false))
		full(b)
		b.pass(DefaultUnknownWorkTTL - time.Second)
		full(b)
		b.pass(time.Second)
		b.admit()
	})
	t.Run("target counts", func(t *testing.T) {
		t.Parallel()

		b := restart(t)
		b.core.Announce(b.now, word(0, true))
		full(b) // the count may be older than the last work of the predecessor
		b.now = b.now.Add(time.Second)
		b.core.Announce(b.now, word(1, true))
		b.admit()
		full(b)
		b.now = b.now.Add(time.Second)
		b.core.Announce(b.now, word(1, true)) // may be the old one still
		full(b)
		b.now = b.now.Add(time.Second)
		b.core.Announce(b.now, word(1, true)) // is the new one
		b.admit()
	})
	t.Run("cancelled on a cold target", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 1, 8)
		b.announce("boot-2", false)
		r := b.admit()
		b.core.Finish(b.now, r.AttemptID, Outcome{Abandoned: true})
		full(b)
		b.pass(DefaultCanceledWorkTTL)
		b.admit()
	})
	t.Run("cancelled on a warm target", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 1, 1)
		r := b.admit()
		b.core.Finish(b.now, r.AttemptID, Outcome{Abandoned: true})
		b.admit()
	})
}
