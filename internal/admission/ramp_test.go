package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const baselineWait = 50 * time.Millisecond

// warmUp fills the first-token baseline. The target stays warm.
func (h *harness) warmUp() {
	h.t.Helper()

	for range 4 {
		h.completeConcurrent(8, baselineWait)
	}

	require.False(h.t, h.core.Load().Cold)
}

// Guards against a cold target that gets the load of a warm one. The target turned cold
// by a restart, reported that it is cold, or turned cold without reporting it.
func TestColdTargetDropsLimitToFloor(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name  string
		event func(h *harness)
		cold  bool
	}{
		{"target restarted", func(h *harness) { h.announce("boot-2", false) }, true},
		{"announcement reports cold", func(h *harness) { h.announce("boot-1", true) }, true},
		{"answer headers report cold", func(h *harness) { h.core.ReportCold(h.now) }, true},
		{"announcements stopped", func(h *harness) {
			h.now = h.now.Add(DefaultAnnounceTimeout)
			h.core.Tick(h.now)
			h.announce("boot-1", false)
		}, true},
		{"zone returned to service", func(h *harness) {
			h.view(View{Version: 2, FreshUntil: start.Add(time.Hour), ZoneOut: true, ColdLimit: 2, WarmLimit: 32})
			h.view(View{Version: 3, FreshUntil: start.Add(time.Hour), ColdLimit: 2, WarmLimit: 32})
		}, true},
		{"late first tokens", func(h *harness) { h.completeConcurrent(slowStreakLimit, 10*baselineWait) }, true},
		{"missing first tokens", func(h *harness) {
			for range slowStreakLimit {
				h.admit()
			}
			h.advance(10 * baselineWait)
		}, true},
		{"repeated announcement", func(h *harness) { h.announce("boot-1", false) }, false},
		{"single outlier", func(h *harness) { h.completeConcurrent(1, 100*baselineWait) }, false},
		{"short slow streaks", func(h *harness) {
			for range 20 {
				h.completeConcurrent(slowStreakLimit-1, 10*baselineWait)
				h.completeConcurrent(slowStreakLimit, baselineWait)
			}
		}, false},
		{"jitter of a fast service", func(h *harness) {
			h.core.ramp.baseline = firstTokenBaseline{}
			for range 8 {
				h.completeConcurrent(8, time.Millisecond)
			}
			h.completeConcurrent(8, minSlowThreshold)
		}, false},
		{"burst at a target that runs one request at a time", func(h *harness) {
			h.core.ramp.baseline = firstTokenBaseline{}
			for range 32 {
				h.completeConcurrent(1, baselineWait)
			}

			var admitted []Request
			for range 32 {
				admitted = append(admitted, h.admit())
			}

			for _, r := range admitted {
				h.advance(baselineWait)
				h.core.FirstToken(h.now, r.AttemptID)
				h.complete(r, nil)
			}
		}, false},
		{"slowly growing load", func(h *harness) {
			for d := baselineWait; d < 20*baselineWait; d += d / 20 {
				h.completeConcurrent(8, d)
			}
		}, false},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			h := newHarness(t, 2, 32)
			h.warmUp()
			tc.event(h)

			l := h.core.Load()
			require.Equal(t, tc.cold, l.Cold)

			if tc.cold {
				require.EqualValues(t, 2, l.Limit)
			}
		})
	}
}

// Guards against a target that stays at its floor and against a sudden rise in load. The
// limit grows only on requests that were admitted after the reset and completed while
// the limit was in use, and at most doubles in a second.
func TestRampGrowsOnCompletedWork(t *testing.T) {
	t.Parallel()

	h := newHarness(t, 2, 32)
	old := h.admit()
	h.announce("boot-2", false)
	h.advance(2 * time.Second)
	h.complete(old, nil)
	require.EqualValues(t, 2, h.core.Load().Limit, "request admitted before the reset raised the limit")

	for range 40 {
		h.completeConcurrent(2, time.Millisecond)
	}

	require.LessOrEqual(t, h.core.Load().Limit, uint32(4), "short requests shortened the ramp")

	for range 20 {
		limit := h.core.Load().Limit
		h.advance(100 * time.Millisecond)
		h.completeConcurrent(int(limit), baselineWait)
		require.LessOrEqual(t, h.core.Load().Limit, 2*limit)
	}

	for h.core.Load().Cold {
		h.completeConcurrent(int(h.core.Load().Limit), baselineWait)
	}

	require.EqualValues(t, 32, h.core.Load().Limit)
	require.Less(t, h.now.Sub(start), time.Minute)
}

// Guards against a target that stays at its floor after prompts became longer, because
// each first token takes as long as that of a cold target.
func TestBaselineIsRebuiltAfterLastingSlowdown(t *testing.T) {
	t.Parallel()

	h := newHarness(t, 2, 8)
	h.warmUp()

	for range 100 {
		h.completeConcurrent(8, 10*baselineWait)
	}

	require.False(t, h.core.Load().Cold)
	require.EqualValues(t, 8, h.core.Load().Limit)
}

// Guards against a cold target that keeps a limit above the configured one after the
// operators lowered the cold limit while the target was ramping.
func TestLoweredColdLimitAppliesWhileRamping(t *testing.T) {
	t.Parallel()

	h := newHarness(t, 8, 32)
	h.announce("boot-2", false)
	require.EqualValues(t, 8, h.core.Load().Limit)

	admitted := []Request{h.admit(), h.admit(), h.admit()}
	h.view(View{Version: 2, FreshUntil: start.Add(time.Hour), ColdLimit: 2, WarmLimit: 32})
	require.EqualValues(t, 2, h.core.Load().Limit)

	for _, r := range admitted {
		h.requireRejected(h.request(h.grant("entry-1", 4)), verdict.NotRun, verdict.CauseColdLimit)
		require.EqualValues(t, 2, h.core.Load().Limit)
		h.core.Finish(h.now, r.AttemptID, Outcome{Verdict: verdict.NotRun})

		if len(h.core.running) < 2 {
			break
		}
	}

	h.admit()
}

// Guards against an overloaded cold target. The agent restarted and does not know what
// its previous incarnation sent, or callers canceled requests that are still running
// at the target.
func TestUnknownWorkCountsAgainstLimit(t *testing.T) {
	t.Parallel()

	announcement := func(inFlight uint32, counted bool) Announcement {
		return Announcement{BootID: "boot-1", Service: "assist", InFlight: inFlight, InFlightKnown: counted}
	}
	restart := func(t *testing.T) *harness {
		t.Helper()

		h := newHarness(t, 2, 8)
		h.core = Core{AgentID: "agent-1", Incarnation: 4, Started: h.now}
		h.view(View{Version: 1, FreshUntil: start.Add(time.Hour), ColdLimit: 2, WarmLimit: 8})
		h.now = h.now.Add(time.Millisecond)

		return h
	}
	requireFull := func(h *harness) {
		h.t.Helper()
		h.requireRejected(h.request(h.grant("entry-1", 4)), verdict.NotRun, verdict.CauseColdLimit)
	}

	t.Run("target does not report in-flight requests", func(t *testing.T) {
		t.Parallel()

		h := restart(t)
		h.core.Announce(h.now, announcement(0, false))
		requireFull(h)
		h.advance(DefaultUnknownWorkTTL - time.Second)
		requireFull(h)
		h.advance(time.Second)
		h.admit()
	})
	t.Run("target reports in-flight requests", func(t *testing.T) {
		t.Parallel()

		h := restart(t)
		h.core.Announce(h.now, announcement(0, true))
		requireFull(h) // the count may be older than the previous incarnation's last request
		h.now = h.now.Add(time.Second)
		h.core.Announce(h.now, announcement(1, true))
		h.admit()
		requireFull(h)
		h.now = h.now.Add(time.Second)
		h.core.Announce(h.now, announcement(1, true)) // may still be a request of the previous incarnation
		requireFull(h)
		h.now = h.now.Add(time.Second)
		h.core.Announce(h.now, announcement(1, true)) // can only be the request admitted above
		h.admit()
	})
	t.Run("canceled at a cold target", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 1, 8)
		h.announce("boot-2", false)
		r := h.admit()
		h.core.Finish(h.now, r.AttemptID, Outcome{Abandoned: true})
		requireFull(h)
		h.advance(DefaultCanceledWorkTTL)
		h.admit()
	})
	t.Run("canceled at a warm target", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 1, 1)
		r := h.admit()
		h.core.Finish(h.now, r.AttemptID, Outcome{Abandoned: true})
		h.admit()
	})
}
