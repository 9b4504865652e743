package entry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

func answerBooking(_ *fakeAgent, s *answerWriter) {
	s.head(http.StatusCreated, "application/json")
	s.data("booked")
	s.end()
}

func refuseWith(v verdict.Verdict, cause verdict.Cause) behaviour {
	return func(_ *fakeAgent, s *answerWriter) {
		s.frame(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{
			AttemptID: s.request.GetAttemptID(), Verdict: wire.Verdict(v), Cause: string(cause),
		}}})
	}
}

var (
	attemptRan              = &wire.AskResponse{State: wire.AskState_AskRan, Answer: &wire.Answer{Status: http.StatusCreated, Body: []byte("kept")}}
	attemptRanAnswerDropped = &wire.AskResponse{State: wire.AskState_AskRan}
	attemptRunning          = &wire.AskResponse{State: wire.AskState_AskRunning}
	attemptClosed           = &wire.AskResponse{State: wire.AskState_AskClosed}
	attemptUnknown          = &wire.AskResponse{State: wire.AskState_AskUnknown}
)

// A buyer books a showroom, and the connection between entry and agent fails in
// every way it can. The buyer must get the one booking, or a truthful word, and
// a resend under the same key must get the same and never a second booking.
func TestKeyedRequestUnderConnectionFaults(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name   string
		script []behaviour
		// change, if set, alters the entry.
		change func(*Entry)
		asked  []*wire.AskResponse
		want   callerResult
		// sends is how many attempts reach agents, the resend included.
		sends int
	}{
		{
			name: "whole", script: []behaviour{answerBooking},
			want: callerResult{status: 201, verdict: "Ran", body: "booked"}, sends: 1,
		},
		{
			name: "silent before the answer, it ran", change: withShortReadTimeout, script: []behaviour{func(_ *fakeAgent, s *answerWriter) { s.stall() }},
			asked: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "silent within the answer, still running, then it ran", change: withShortReadTimeout,
			script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusCreated, "application/json")
				s.data("boo")
				s.stall()
			}},
			asked: []*wire.AskResponse{attemptRunning, attemptRunning, attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "never arrived, and is closed", script: []behaviour{func(_ *fakeAgent, s *answerWriter) { s.breakConnection() }, answerBooking},
			asked: []*wire.AskResponse{attemptClosed}, want: callerResult{status: 201, verdict: "Ran", body: "booked"}, sends: 2,
		},
		{
			name: "cut before the end", script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusCreated, "application/json")
				s.data("booked")
				s.breakConnection()
			}},
			asked: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "crossed: another request's answer", script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.frame(&wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{AttemptID: "other", Status: 201}}})
				s.data("somebody else's room")
				s.end()
			}},
			asked: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "altered: the digest is not that of the answer", script: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusCreated, "application/json")
				s.data("booked")
				_, _ = s.digest.WriteString("more")
				s.end()
			}},
			asked: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "no frames at all", script: []behaviour{func(_ *fakeAgent, s *answerWriter) { _, _ = s.w.Write([]byte("\xff\xff\xff\xff\xff")) }},
			asked: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "the agent restarted", script: []behaviour{func(_ *fakeAgent, s *answerWriter) { s.breakConnection() }},
			asked: []*wire.AskResponse{attemptUnknown}, want: callerResult{status: 502, verdict: "MayHaveRun", cause: "AnswerLost"}, sends: 1,
		},
		{
			name: "it ran and the agent no longer has the answer", script: []behaviour{func(_ *fakeAgent, s *answerWriter) { s.breakConnection() }},
			asked: []*wire.AskResponse{attemptRanAnswerDropped}, want: callerResult{status: 502, verdict: "Ran", cause: "AnswerLost"}, sends: 1,
		},
		{
			name: "refused as not run, then taken", script: []behaviour{refuseWith(verdict.NotRun, verdict.CauseOverload), answerBooking},
			want: callerResult{status: 201, verdict: "Ran", body: "booked"}, sends: 2,
		},
		{
			name: "a duplicate of a running attempt", script: []behaviour{refuseWith(verdict.MayHaveRun, verdict.CauseDuplicate)},
			asked: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			// Two agents with one script between them, so that a retry finds a target.
			agent := newFakeAgent(t, "agent-1", c.script...)
			agent.askResponses = c.asked
			r := newFixture(t, bookingService, c.change, agent, agent.sibling(t, "agent-2"))

			first := r.book("cask-17")
			require.NotEmpty(t, first.keyWindow)

			first.keyWindow = ""
			require.Equal(t, c.want, first)

			resent := r.book("cask-17")
			require.Equal(t, c.want.body, resent.body)
			require.NotEqual(t, "NotRun", resent.verdict)
			require.Len(t, agent.received(), c.sends)
		})
	}
}

// A buyer's app gives one key to two bookings by mistake. The second must be
// refused clearly, and must not be answered with the first one's room.
func TestReusedKeyWithAnotherBodyIsRefused(t *testing.T) {
	t.Parallel()

	a := newFakeAgent(t, "agent-1", answerBooking)
	r := newFixture(t, bookingService, nil, a)

	first := r.book("cask-17")
	require.Equal(t, 201, first.status)
	require.NotEmpty(t, first.keyWindow, "callers are told for how long a key is remembered")

	got := r.post(bookingService+"/v1/bookings", `{"Slot":"kiln-3"}`, HeaderKey, "cask-17")
	require.Equal(t, 422, got.status)
	require.Equal(t, "KeyConflict", got.cause)
	require.Len(t, a.received(), 1)
}

// A booking without a key: the connection breaks after it was sent, and the
// agent cannot tell what became of it. It must not be sent a second time.
func TestBookingWithoutKeyIsSentOnce(t *testing.T) {
	t.Parallel()

	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) { s.breakConnection() })
	a.askResponses = []*wire.AskResponse{attemptUnknown}
	r := newFixture(t, bookingService, nil, a)

	got := r.post(bookingService+"/v1/bookings", `{}`)
	require.Equal(t, "MayHaveRun", got.verdict)
	require.Len(t, a.received(), 1)
}
