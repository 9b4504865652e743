package admission

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// A booking would be made twice. Its message is doubled by a network or a client
// that sends again by itself, and the copy comes in every state of the first.
func TestDuplicateAttempt(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name  string
		first func(h *harness, r Request)
		want  verdict.Verdict
		cause verdict.Cause
		state wire.AskState
	}{
		{"while it runs", func(*harness, Request) {}, verdict.MayHaveRun, verdict.CauseDuplicate, wire.AskState_AskRunning},
		{
			"while it runs past its credit", func(h *harness, _ Request) { h.advance(10 * time.Minute) },
			verdict.MayHaveRun, verdict.CauseDuplicate, wire.AskState_AskRunning,
		},
		{"after it ran", func(h *harness, r Request) { h.complete(r, nil) }, verdict.Ran, verdict.CauseDuplicate, wire.AskState_AskRan},
		{"after it ran, past its credit", func(h *harness, r Request) {
			h.complete(r, nil)
			h.advance(10 * time.Second)
		}, verdict.Ran, verdict.CauseDuplicate, wire.AskState_AskRan},
		{"after its answer broke", func(h *harness, r Request) {
			h.core.Finish(h.now, r.AttemptID, Outcome{Abandoned: true})
		}, verdict.MayHaveRun, verdict.CauseDuplicate, wire.AskState_AskUnknown},
		{"after the target refused to connect", func(h *harness, r Request) {
			h.core.Finish(h.now, r.AttemptID, Outcome{Verdict: verdict.NotRun})
		}, verdict.NotRun, verdict.CauseClosed, wire.AskState_AskClosed},
		{"after it was forgotten", func(h *harness, r Request) {
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

// An entry says "not run" of a request that runs later. It asks the agent to close
// an unanswered attempt, and the message comes before, after or never.
func TestQueryAndCloseAttempt(t *testing.T) {
	t.Parallel()

	t.Run("close before arrival", func(t *testing.T) {
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
		h.advance(DefaultCreditLife)
		require.Equal(t, wire.AskState_AskClosed, h.query(r, false).State)
		h.requireRejected(r, verdict.NotRun, verdict.CauseCredit)
	})
	t.Run("another incarnation", func(t *testing.T) {
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

// A caller is told "not run" and books elsewhere; then the booking is made here too.
// The request was refused for lack of room, and a copy of it came when there was room.
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

// The same with the memory full: a flood of attempts must neither make the agent
// forget a refusal nor let a copy in, and new credits work once there is room.
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
	h.advance(DefaultCreditLife)

	for range 16 {
		h.complete(h.admit(), nil)
		h.advance(time.Second)
	}

	require.LessOrEqual(t, len(h.core.attempts.byID), 4)
}

// The agent would run out of memory on recorded answers. Past the bound the
// oldest go, and an ask still says that the attempt ran.
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
