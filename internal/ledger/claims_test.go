package ledger_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// A baker of casks books one kiln slot; her request is sent again through other
// entries, late, doubled, with another body, and after losses. Each case is the
// order in which the claim table meets these; the kiln is fired at most once if
// no two attempts are granted of which the first was not shown to be closed.
func TestClaimTableGrantsOneOpenAttempt(t *testing.T) {
	t.Parallel()

	type step struct {
		do   func(*harness) wire.ClaimState
		want wire.ClaimState
	}

	claim := func(attempt, body, replaces string) func(*harness) wire.ClaimState {
		return func(h *harness) wire.ClaimState { return h.claim("k", attempt, body, replaces).GetState() }
	}
	settle := func(attempt string, v wire.Verdict, answer string) func(*harness) wire.ClaimState {
		return func(h *harness) wire.ClaimState { return h.settle("k", attempt, v, answer) }
	}

	lookUp := func(body string) func(*harness) wire.ClaimState {
		return func(h *harness) wire.ClaimState { return h.lookUp("k", body).GetState() }
	}

	const (
		granted  = wire.ClaimState_ClaimGranted
		open     = wire.ClaimState_ClaimOpen
		recorded = wire.ClaimState_ClaimRecorded
		lost     = wire.ClaimState_ClaimLost
		conflict = wire.ClaimState_ClaimConflict
		unknown  = wire.ClaimState_ClaimUnknown
		ran      = wire.Verdict_Ran
		notRun   = wire.Verdict_NotRun
		mayHave  = wire.Verdict_MayHaveRun
	)

	cases := map[string][]step{
		"a resend through another entry meets the holder": {
			{claim("a1", "b", ""), granted}, {claim("a2", "b", ""), open}, {settle("a1", ran, "slot 4"), recorded}, {claim("a2", "b", ""), recorded},
		},
		"the grant was lost, the same attempt asks again": {
			{claim("a1", "b", ""), granted}, {claim("a1", "b", ""), granted},
		},
		"another body under the same key": {
			{claim("a1", "b", ""), granted}, {claim("a2", "c", ""), conflict}, {claim("a2", "c", "a1"), conflict},
		},
		"the holder is shown closed": {
			{claim("a1", "b", ""), granted}, {claim("a2", "b", "a1"), granted}, {claim("a1", "b", ""), open},
		},
		"two entries replace the same closed holder": {
			{claim("a1", "b", ""), granted}, {claim("a2", "b", "a1"), granted}, {claim("a3", "b", "a1"), open},
		},
		"a late word of the replaced attempt changes nothing": {
			{claim("a1", "b", ""), granted}, {claim("a2", "b", "a1"), granted}, {settle("a1", notRun, ""), open}, {settle("a1", mayHave, ""), open},
		},
		"a key that did not run is free again": {
			{claim("a1", "b", ""), granted}, {settle("a1", notRun, ""), unknown}, {claim("a2", "c", ""), granted},
		},
		"a loss stays, though a late word says not run": {
			{claim("a1", "b", ""), granted}, {settle("a1", mayHave, ""), lost}, {settle("a1", notRun, ""), lost}, {claim("a2", "b", "a1"), lost},
		},
		"the answer is found after the loss": {
			{claim("a1", "b", ""), granted}, {settle("a1", mayHave, ""), lost}, {settle("a1", ran, "slot 4"), recorded},
		},
		"a recorded answer never changes": {
			{claim("a1", "b", ""), granted}, {settle("a1", ran, "slot 4"), recorded}, {settle("a1", mayHave, ""), recorded}, {settle("a1", notRun, ""), recorded},
		},
		"a look claims nothing": {
			{lookUp("b"), wire.ClaimState_ClaimFree}, {claim("a1", "b", ""), granted}, {lookUp("b"), open}, {lookUp("c"), conflict}, {claim("a2", "b", ""), open},
		},
		"an answer too large to keep is lost": {
			{claim("a1", "b", ""), granted}, {settle("a1", ran, strings.Repeat("x", 1<<20)), lost},
		},
	}

	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			h := newHarness(t, ledger.DefaultLimits())

			for i, s := range steps {
				require.Equal(t, s.want, s.do(h), "step %d", i)
				h.restart(ledger.DefaultLimits())
			}
		})
	}
}

// A burst of bookings fills the table. If it made room by dropping a claim, a
// resend of that booking would run again; so new ones are refused until the
// windows of old ones end, on a clock that only committed ticks move.
func TestClaimsAreNeverDroppedEarly(t *testing.T) {
	t.Parallel()

	limits := ledger.DefaultLimits()
	limits.MaxClaims = 3
	limits.ClaimWindow = 90 * time.Second
	h := newHarness(t, limits)

	for i := range 3 {
		require.Equal(t, wire.ClaimState_ClaimGranted, h.claim(fmt.Sprint(i), "a", "b", "").GetState())
	}

	require.Equal(t, wire.ClaimState_ClaimFull, h.claim("3", "a", "b", "").GetState())
	require.Equal(t, wire.ClaimState_ClaimOpen, h.claim("0", "a2", "b", "").GetState())

	h.tick(60_000)
	h.restart(limits)
	h.tick(29_999)
	require.Equal(t, wire.ClaimState_ClaimFull, h.claim("3", "a", "b", "").GetState())
	h.tick(1)
	require.Equal(t, wire.ClaimState_ClaimGranted, h.claim("3", "a", "b", "").GetState())
	require.Equal(t, 1, h.ledger.ClaimCount())
}

// More bookings come than a day's window holds. Keys that have outlived what
// callers were promised make room, the oldest first, so that the desk goes on;
// within that time none does, or a resend would book twice.
func TestFullClaimTableKeepsClaimsWithinGuarantee(t *testing.T) {
	t.Parallel()

	limits := ledger.DefaultLimits()
	limits.MaxClaims = 2
	limits.ClaimGuarantee = time.Minute
	h := newHarness(t, limits)

	granted := h.claim("0", "a", "b", "")
	require.EqualValues(t, 60_000, granted.GetWindowMillis(), "callers are told what is sure")
	h.tick(30_000)
	require.Equal(t, wire.ClaimState_ClaimGranted, h.claim("1", "a", "b", "").GetState())
	h.tick(29_999)
	require.Equal(t, wire.ClaimState_ClaimFull, h.claim("2", "a", "b", "").GetState())
	h.tick(1)
	h.restart(limits)
	require.Equal(t, wire.ClaimState_ClaimGranted, h.claim("2", "a", "b", "").GetState())
	require.Equal(t, wire.ClaimState_ClaimOpen, h.claim("1", "a2", "b", "").GetState(), "the younger one stays")
	require.Equal(t, wire.ClaimState_ClaimFull, h.claim("3", "a", "b", "").GetState())
}

// Two control VMs believe for a moment that they lead, and both move the clock
// for the same span; one has a clock that leapt by days. Were both counted, or
// the leap, windows would end early and a booking could run twice.
func TestClockNeverRunsAheadOfRealTime(t *testing.T) {
	t.Parallel()

	h := newHarness(t, ledger.DefaultLimits())
	start := h.ledger.Now()
	tick := func(after, ms uint64) {
		h.apply(&wire.Command{Kind: &wire.Command_Tick{Tick: &wire.Tick{After: after, ElapsedMillis: ms}}})
	}

	tick(0, 5000)
	tick(0, 5000)
	require.Equal(t, 5*time.Second, h.ledger.Now().Sub(start))
	tick(1, 72*3600*1000)
	require.Equal(t, 65*time.Second, h.ledger.Now().Sub(start))
}
