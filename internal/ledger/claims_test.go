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

// A request is resent through other entries: late, duplicated, with another body, or
// after lost messages. Guards against granting a second attempt before the first is
// known to be closed, which would run the request twice. Each case is an order of such
// events.
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
		"resend through another entry while the claim is held": {
			{claim("a1", "b", ""), granted}, {claim("a2", "b", ""), open}, {settle("a1", ran, "slot 4"), recorded}, {claim("a2", "b", ""), recorded},
		},
		"same attempt claims again after a lost grant": {
			{claim("a1", "b", ""), granted}, {claim("a1", "b", ""), granted},
		},
		"different body under the same key": {
			{claim("a1", "b", ""), granted}, {claim("a2", "c", ""), conflict}, {claim("a2", "c", "a1"), conflict},
		},
		"holder replaced after it was closed": {
			{claim("a1", "b", ""), granted}, {claim("a2", "b", "a1"), granted}, {claim("a1", "b", ""), open},
		},
		"two attempts replace the same closed holder": {
			{claim("a1", "b", ""), granted}, {claim("a2", "b", "a1"), granted}, {claim("a3", "b", "a1"), open},
		},
		"late outcome of a replaced attempt": {
			{claim("a1", "b", ""), granted}, {claim("a2", "b", "a1"), granted}, {settle("a1", notRun, ""), open}, {settle("a1", mayHave, ""), open},
		},
		"key is free again after NotRun": {
			{claim("a1", "b", ""), granted}, {settle("a1", notRun, ""), unknown}, {claim("a2", "c", ""), granted},
		},
		"late NotRun does not undo a loss": {
			{claim("a1", "b", ""), granted}, {settle("a1", mayHave, ""), lost}, {settle("a1", notRun, ""), lost}, {claim("a2", "b", "a1"), lost},
		},
		"answer found after a loss": {
			{claim("a1", "b", ""), granted}, {settle("a1", mayHave, ""), lost}, {settle("a1", ran, "slot 4"), recorded},
		},
		"recorded answer never changes": {
			{claim("a1", "b", ""), granted}, {settle("a1", ran, "slot 4"), recorded}, {settle("a1", mayHave, ""), recorded}, {settle("a1", notRun, ""), recorded},
		},
		"lookup claims nothing": {
			{lookUp("b"), wire.ClaimState_ClaimFree}, {claim("a1", "b", ""), granted}, {lookUp("b"), open}, {lookUp("c"), conflict}, {claim("a2", "b", ""), open},
		},
		"answer above the size limit is lost": {
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

// A burst of requests fills the claim table. If a claim were dropped to make space, a
// resend of its request would run again. New claims are therefore refused until the
// windows of old ones end, by the state's clock, which only committed ticks advance.
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

// The claims of one window do not fit into the table. Claims whose guarantee has ended
// are evicted, the oldest first, so that new requests are accepted. A claim within its
// guarantee is never evicted, or a resend would run a second time.
func TestFullClaimTableKeepsClaimsWithinGuarantee(t *testing.T) {
	t.Parallel()

	limits := ledger.DefaultLimits()
	limits.MaxClaims = 2
	limits.ClaimGuarantee = time.Minute
	h := newHarness(t, limits)

	granted := h.claim("0", "a", "b", "")
	require.EqualValues(t, 60_000, granted.GetWindowMillis(), "callers are told the guaranteed time")
	h.tick(30_000)
	require.Equal(t, wire.ClaimState_ClaimGranted, h.claim("1", "a", "b", "").GetState())
	h.tick(29_999)
	require.Equal(t, wire.ClaimState_ClaimFull, h.claim("2", "a", "b", "").GetState())
	h.tick(1)
	h.restart(limits)
	require.Equal(t, wire.ClaimState_ClaimGranted, h.claim("2", "a", "b", "").GetState())
	require.Equal(t, wire.ClaimState_ClaimOpen, h.claim("1", "a2", "b", "").GetState(), "the newer claim is kept")
	require.Equal(t, wire.ClaimState_ClaimFull, h.claim("3", "a", "b", "").GetState())
}

// Two control VMs both consider themselves the leader and send a tick for the same interval;
// one of them has a clock that jumped by days. If both ticks or the jump counted,
// claim windows would end early and a request could run twice.
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
