package entry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

func answerKeyedRequest(_ *fakeAgent, s *answerWriter) {
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

// A request with an idempotency key is sent, and the connection between entry and agent
// fails in different ways. The caller must get the one answer or a correct verdict. A
// resend with the same key must get the same and must not run again.
func TestKeyedRequestUnderConnectionFaults(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name       string
		behaviours []behaviour
		// change, if not nil, is applied to the entry.
		change       func(*Entry)
		askResponses []*wire.AskResponse
		want         callerResult
		// sends is how many attempts must reach agents, the resend included.
		sends int
	}{
		{
			name: "complete answer", behaviours: []behaviour{answerKeyedRequest},
			want: callerResult{status: 201, verdict: "Ran", body: "booked"}, sends: 1,
		},
		{
			name: "unresponsive before the answer, attempt ran", change: withShortReadTimeout, behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) { s.stall() }},
			askResponses: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "unresponsive during the answer, attempt running, then ran", change: withShortReadTimeout,
			behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusCreated, "application/json")
				s.data("boo")
				s.stall()
			}},
			askResponses: []*wire.AskResponse{attemptRunning, attemptRunning, attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "request never arrived, attempt closed", behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) { s.breakConnection() }, answerKeyedRequest},
			askResponses: []*wire.AskResponse{attemptClosed}, want: callerResult{status: 201, verdict: "Ran", body: "booked"}, sends: 2,
		},
		{
			name: "connection broken before the end frame", behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusCreated, "application/json")
				s.data("booked")
				s.breakConnection()
			}},
			askResponses: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "answer of another request", behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.frame(&wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{AttemptID: "other", Status: 201}}})
				s.data("somebody else's room")
				s.end()
			}},
			askResponses: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "wrong digest", behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) {
				s.head(http.StatusCreated, "application/json")
				s.data("booked")
				_, _ = s.digest.WriteString("more")
				s.end()
			}},
			askResponses: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "malformed frames", behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) { _, _ = s.w.Write([]byte("\xff\xff\xff\xff\xff")) }},
			askResponses: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
		{
			name: "agent restarted", behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) { s.breakConnection() }},
			askResponses: []*wire.AskResponse{attemptUnknown}, want: callerResult{status: 502, verdict: "MayHaveRun", cause: "AnswerLost"}, sends: 1,
		},
		{
			name: "attempt ran, agent no longer has the answer", behaviours: []behaviour{func(_ *fakeAgent, s *answerWriter) { s.breakConnection() }},
			askResponses: []*wire.AskResponse{attemptRanAnswerDropped}, want: callerResult{status: 502, verdict: "Ran", cause: "AnswerLost"}, sends: 1,
		},
		{
			name: "refused as not run, then accepted", behaviours: []behaviour{refuseWith(verdict.NotRun, verdict.CauseOverload), answerKeyedRequest},
			want: callerResult{status: 201, verdict: "Ran", body: "booked"}, sends: 2,
		},
		{
			name: "duplicate of a running attempt", behaviours: []behaviour{refuseWith(verdict.MayHaveRun, verdict.CauseDuplicate)},
			askResponses: []*wire.AskResponse{attemptRan}, want: callerResult{status: 201, verdict: "Ran", body: "kept"}, sends: 1,
		},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			// The two agents share one script, so that a retry finds a target.
			agent := newFakeAgent(t, "agent-1", c.behaviours...)
			agent.askResponses = c.askResponses
			f := newFixture(t, nonIdempotentService, c.change, agent, agent.sibling(t, "agent-2"))

			first := f.postKeyedRequest("cask-17")
			require.NotEmpty(t, first.keyWindow)

			first.keyWindow = ""
			require.Equal(t, c.want, first)

			resent := f.postKeyedRequest("cask-17")
			require.Equal(t, c.want.body, resent.body)
			require.NotEqual(t, "NotRun", resent.verdict)
			require.Len(t, agent.received(), c.sends)
		})
	}
}

// A caller uses one key for two different requests. The second must be refused as
// KeyConflict and must not get the answer of the first.
func TestReusedKeyWithAnotherBodyIsRefused(t *testing.T) {
	t.Parallel()

	a := newFakeAgent(t, "agent-1", answerKeyedRequest)
	f := newFixture(t, nonIdempotentService, nil, a)

	first := f.postKeyedRequest("cask-17")
	require.Equal(t, 201, first.status)
	require.NotEmpty(t, first.keyWindow, "response does not name the key window")

	got := f.post(nonIdempotentService+"/v1/bookings", `{"Slot":"kiln-3"}`, HeaderKey, "cask-17")
	require.Equal(t, 422, got.status)
	require.Equal(t, "KeyConflict", got.cause)
	require.Len(t, a.received(), 1)
}

// The connection breaks after a request without a key was sent, and the agent does not
// know its outcome. It must not be sent a second time.
func TestRequestWithoutKeyIsSentOnce(t *testing.T) {
	t.Parallel()

	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) { s.breakConnection() })
	a.askResponses = []*wire.AskResponse{attemptUnknown}
	f := newFixture(t, nonIdempotentService, nil, a)

	got := f.post(nonIdempotentService+"/v1/bookings", `{}`)
	require.Equal(t, "MayHaveRun", got.verdict)
	require.Len(t, a.received(), 1)
}
