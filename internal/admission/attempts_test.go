package admission

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Guards against a booking that is made twice. The network or a client that resends by
// itself duplicates the request, and the copy arrives in each state of the first attempt.
func TestDuplicateAttempt(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name  string
		first func(h *harness, r Request)
		want  verdict.Verdict
		cause verdict.Cause
		state wire.AskState
	}{
		{"while running", func(*harness, Request) {}, verdict.MayHaveRun, verdict.CauseDuplicate, wire.AskState_AskRunning},
		{
			"while running, credit expired", func(h *harness, _ Request) { h.advance(10 * time.Minute) },
			verdict.MayHaveRun, verdict.CauseDuplicate, wire.AskState_AskRunning,
		},
		{"after completion", func(h *harness, r Request) { h.complete(r, nil) }, verdict.Ran, verdict.CauseDuplicate, wire.AskState_AskRan},
		{"after completion, credit expired", func(h *harness, r Request) {
			h.complete(r, nil)
			h.advance(10 * time.Second)
		}, verdict.Ran, verdict.CauseDuplicate, wire.AskState_AskRan},
		{"after an interrupted answer", func(h *harness, r Request) {
			h.core.Finish(h.now, r.AttemptID, Outcome{Abandoned: true})
		}, verdict.MayHaveRun, verdict.CauseDuplicate, wire.AskState_AskUnknown},
		{"after a refused connection to the target", func(h *harness, r Request) {
			h.core.Finish(h.now, r.AttemptID, Outcome{Verdict: verdict.NotRun})
		}, verdict.NotRun, verdict.CauseClosed, wire.AskState_AskClosed},
		{"after eviction", func(h *harness, r Request) {
			h.complete(r, nil)
			h.advance(2 * time.Minute)
		}, verdict.MayHaveRun, verdict.CauseCredit, wire.AskState_AskUnknown},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			h := newHarness(t, 8, 8)
			r := h.admit()
			tc.first(h, r)
			h.requireRejected(r, tc.want, tc.cause)
			require.Equal(t, tc.state, h.query(r, true).State)
		})
	}
}

// Guards against a request that runs after the entry reported it as NotRun. The entry
// asks the agent to close an unanswered attempt. The request itself arrives after that,
// or never, or has an invalid credit.
func TestQueryAndCloseAttempt(t *testing.T) {
	t.Parallel()

	t.Run("closed before arrival", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 8, 8)
		r := h.request(h.grant("entry-1", 4))
		require.Equal(t, wire.AskState_AskUnknown, h.query(r, false).State)
		require.Equal(t, wire.AskState_AskClosed, h.query(r, true).State)
		h.requireRejected(r, verdict.NotRun, verdict.CauseClosed)
		h.advance(time.Hour)
		require.Equal(t, wire.AskState_AskClosed, h.query(r, false).State)
		h.requireRejected(r, verdict.NotRun, verdict.CauseCredit)
	})
	t.Run("never arrived, credit expired", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 8, 8)
		r := h.request(h.grant("entry-1", 4))
		h.advance(DefaultCreditLifetime)
		require.Equal(t, wire.AskState_AskClosed, h.query(r, false).State)
		h.requireRejected(r, verdict.NotRun, verdict.CauseCredit)
	})
	t.Run("other incarnation", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 8, 8)
		r := h.request(h.grant("entry-1", 4))
		h.core = Core{AgentID: "agent-1", Incarnation: 4, Started: h.now}
		require.Equal(t, wire.AskState_AskUnknown, h.query(r, true).State)
		h.requireRejected(r, verdict.NotRun, verdict.CauseIncarnation)
	})
	t.Run("credit never granted", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 8, 8)
		r := h.request(h.grant("entry-1", 4))
		r.Credit.ExpiresAtTick += 60_000
		require.Equal(t, wire.AskState_AskUnknown, h.query(r, true).State)
		h.requireRejected(r, verdict.MayHaveRun, verdict.CauseMalformed)
	})
	t.Run("no credit", func(t *testing.T) {
		t.Parallel()

		h := newHarness(t, 8, 8)
		h.requireRejected(h.request(Credit{}), verdict.NotRun, verdict.CauseIncarnation)
	})
}

// Guards against a booking that is made at two targets. The request was rejected for
// lack of capacity, its caller booked elsewhere, and a copy of it arrives when there is
// capacity again.
func TestRejectedAttemptIsNotAdmittedLater(t *testing.T) {
	t.Parallel()

	h := newHarness(t, 1, 1)
	first := h.admit()
	r := h.request(h.grant("entry-2", 1))
	h.requireRejected(r, verdict.NotRun, verdict.CauseOverload)
	h.complete(first, nil)
	h.requireRejected(r, verdict.NotRun, verdict.CauseClosed)

	tooLarge := h.request(h.grant("entry-2", 1))
	require.Equal(t, verdict.CauseTooLarge, h.core.Reject(h.now, tooLarge, verdict.CauseTooLarge).Cause)
	h.requireRejected(tooLarge, verdict.NotRun, verdict.CauseClosed)
}

// With a full store a duplicate of a rejected request must still be rejected, also after
// the store has capacity again, and requests on new credits must be admitted.
func TestAttemptStoreFull(t *testing.T) {
	t.Parallel()

	h := newHarness(t, 64, 64)
	h.core.Settings.MaxAttempts = 4

	for range 4 {
		h.complete(h.admit(), nil)
	}

	c := h.grant("entry-1", 8)
	r := h.request(c)
	h.requireRejected(r, verdict.NotRun, verdict.CauseOverload)
	require.Equal(t, wire.AskState_AskClosed, h.query(r, true).State)

	h.core.Settings.MaxAttempts = 64
	h.requireRejected(r, verdict.NotRun, verdict.CauseCredit)

	h.core.Settings.MaxAttempts = 4
	h.advance(DefaultCreditLifetime)

	for range 16 {
		h.complete(h.admit(), nil)
		h.advance(time.Second)
	}

	require.LessOrEqual(t, len(h.core.attempts.byID), 4)
}

// Guards against unbounded memory use by recorded answers. Above the limit the oldest
// answers are dropped, and a query still reports that their attempts ran.
func TestRecordedAnswersAreBounded(t *testing.T) {
	t.Parallel()

	h := newHarness(t, 8, 8)
	h.core.Settings.MaxAnswerBytes = 1000
	old, recent := h.admit(), h.admit()
	body := bytes.Repeat([]byte("x"), 600)
	h.complete(old, &wire.Answer{Status: 201, Body: body})
	require.Equal(t, body, h.query(old, false).Answer.GetBody())
	h.complete(recent, &wire.Answer{Status: 201, Body: body})

	require.Equal(t, AttemptStatus{State: wire.AskState_AskRan}, h.query(old, false))
	require.Equal(t, body, h.query(recent, false).Answer.GetBody())

	h.advance(2 * time.Minute)
	require.Zero(t, h.core.attempts.answerBytes)
	require.Empty(t, h.core.attempts.byID)
}
