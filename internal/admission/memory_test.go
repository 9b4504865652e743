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
		first func(b *bench, r Request)
		want  verdict.Verdict
		cause verdict.Cause
		state wire.AskState
	}{
		{"while it runs", func(*bench, Request) {}, verdict.MayHaveRun, verdict.CauseDuplicate, wire.AskState_AskRunning},
		{
			"while it runs past its credit", func(b *bench, _ Request) { b.pass(10 * time.Minute) },
			verdict.MayHaveRun, verdict.CauseDuplicate, wire.AskState_AskRunning,
		},
		{"after it ran", func(b *bench, r Request) { b.ran(r, nil) }, verdict.Ran, verdict.CauseDuplicate, wire.AskState_AskRan},
		{"after it ran, past its credit", func(b *bench, r Request) {
			b.ran(r, nil)
			b.pass(10 * time.Second)
		}, verdict.Ran, verdict.CauseDuplicate, wire.AskState_AskRan},
		{"after its answer broke", func(b *bench, r Request) {
			b.core.Finish(b.now, r.AttemptID, Outcome{Abandoned: true})
		}, verdict.MayHaveRun, verdict.CauseDuplicate, wire.AskState_AskUnknown},
		{"after the target refused to connect", func(b *bench, r Request) {
			b.core.Finish(b.now, r.AttemptID, Outcome{Verdict: verdict.NotRun})
		}, verdict.NotRun, verdict.CauseClosed, wire.AskState_AskClosed},
		{"after it was forgotten", func(b *bench, r Request) {
			b.ran(r, nil)
			b.pass(2 * time.Minute)
		}, verdict.MayHaveRun, verdict.CauseCredit, wire.AskState_AskUnknown},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			b := newBench(t, 8, 8)
			r := b.admit()
			tc.first(b, r)
			b.requireRefused(r, tc.want, tc.cause)
			require.Equal(t, tc.state, b.ask(r, true).State)
		})
	}
}

// An entry says "not run" of a request that runs later. It asks the agent to close
// an unanswered attempt, and the message comes before, after or never.
func TestAskAndClose(t *testing.T) {
	t.Parallel()

	t.Run("close before arrival", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 8, 8)
		r := b.arrival(b.grant("entry-1", 4))
		require.Equal(t, wire.AskState_AskUnknown, b.ask(r, false).State)
		require.Equal(t, wire.AskState_AskClosed, b.ask(r, true).State)
		b.requireRefused(r, verdict.NotRun, verdict.CauseClosed)
		b.pass(time.Hour)
		require.Equal(t, wire.AskState_AskClosed, b.ask(r, false).State)
		b.requireRefused(r, verdict.NotRun, verdict.CauseCredit)
	})
	t.Run("never arrived, credit expired", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 8, 8)
		r := b.arrival(b.grant("entry-1", 4))
		b.pass(DefaultCreditLife)
		require.Equal(t, wire.AskState_AskClosed, b.ask(r, false).State)
		b.requireRefused(r, verdict.NotRun, verdict.CauseCredit)
	})
	t.Run("another incarnation", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 8, 8)
		r := b.arrival(b.grant("entry-1", 4))
		b.core = Core{AgentID: "agent-1", Incarnation: 4, Started: b.now}
		require.Equal(t, wire.AskState_AskUnknown, b.ask(r, true).State)
		b.requireRefused(r, verdict.NotRun, verdict.CauseIncarnation)
	})
	t.Run("credit never granted", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 8, 8)
		r := b.arrival(b.grant("entry-1", 4))
		r.Credit.ExpiresAtTick += 60_000
		require.Equal(t, wire.AskState_AskUnknown, b.ask(r, true).State)
		b.requireRefused(r, verdict.MayHaveRun, verdict.CauseMalformed)
	})
	t.Run("no credit", func(t *testing.T) {
		t.Parallel()

		b := newBench(t, 8, 8)
		b.requireRefused(b.arrival(Credit{}), verdict.NotRun, verdict.CauseIncarnation)
	})
}

// A caller is told "not run" and books elsewhere; then the booking is made here too.
// The request was refused for lack of room, and a copy of it came when there was room.
func TestRefusedAttemptStaysRefused(t *testing.T) {
	t.Parallel()

	b := newBench(t, 1, 1)
	first := b.admit()
	r := b.arrival(b.grant("entry-2", 1))
	b.requireRefused(r, verdict.NotRun, verdict.CauseOverload)
	b.ran(first, nil)
	b.requireRefused(r, verdict.NotRun, verdict.CauseClosed)

	unfit := b.arrival(b.grant("entry-2", 1))
	require.Equal(t, verdict.CauseTooLarge, b.core.Reject(b.now, unfit, verdict.CauseTooLarge).Cause)
	b.requireRefused(unfit, verdict.NotRun, verdict.CauseClosed)
}

// The same with the memory full: a flood of attempts must neither make the agent
// forget a refusal nor let a copy in, and new credits work once there is room.
func TestMemoryFull(t *testing.T) {
	t.Parallel()

	b := newBench(t, 64, 64)
	b.core.Settings.MaxAttempts = 4

	for range 4 {
		b.ran(b.admit(), nil)
	}

	c := b.grant("entry-1", 8)
	r := b.arrival(c)
	b.requireRefused(r, verdict.NotRun, verdict.CauseOverload)
	require.Equal(t, wire.AskState_AskClosed, b.ask(r, true).State)

	b.core.Settings.MaxAttempts = 64
	b.requireRefused(r, verdict.NotRun, verdict.CauseCredit)

	b.core.Settings.MaxAttempts = 4
	b.pass(DefaultCreditLife)

	for range 16 {
		b.ran(b.admit(), nil)
		b.pass(time.Second)
	}

	require.LessOrEqual(t, len(b.core.memory.byID), 4)
}

// The agent would run out of memory on recorded answers. Past the bound the
// oldest go, and an ask still says that the attempt ran.
func TestRecordedAnswersAreBounded(t *testing.T) {
	t.Parallel()

	b := newBench(t, 8, 8)
	b.core.Settings.MaxAnswerBytes = 1000
	old, fresh := b.admit(), b.admit()
	body := bytes.Repeat([]byte("x"), 600)
	b.ran(old, &wire.Answer{Status: 201, Body: body})
	require.Equal(t, body, b.ask(old, false).Answer.GetBody())
	b.ran(fresh, &wire.Answer{Status: 201, Body: body})

	require.Equal(t, AttemptStatus{State: wire.AskState_AskRan}, b.ask(old, false))
	require.Equal(t, body, b.ask(fresh, false).Answer.GetBody())

	b.pass(2 * time.Minute)
	require.Zero(t, b.core.memory.answerBytes)
	require.Empty(t, b.core.memory.byID)
}
