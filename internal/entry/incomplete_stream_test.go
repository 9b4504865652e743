package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// endInsideEvent ends a stream inside its third event with a correct end frame, as agents
// did that did not read the events of streams.
func endInsideEvent(_ *fakeAgent, s *answerWriter) {
	s.head(http.StatusOK, eventStream)
	s.data(streamEvents(1, 2) + "id: 3\ndata: wo")
	s.end()
}

// Guards against a stream that ends inside an event and reaches its caller as complete.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	t.Parallel()

	t.Run("resumed if it may be", func(t *testing.T) {
		t.Parallel()

		a := newFakeAgent(t, "agent-1", endInsideEvent, continueStream)
		f := newFixture(t, streamService, nil, a, a.sibling(t, "agent-2"))
		require.Equal(t, callerResult{status: 200, verdict: "Ran", body: streamEvents(1, 4)}, f.postStreamRequest())
		require.Len(t, a.received(), 2)
	})
	t.Run("cut if no other target can resume it", func(t *testing.T) {
		t.Parallel()

		a := newFakeAgent(t, "agent-1", endInsideEvent)
		f := newFixture(t, streamService, nil, a)
		require.Equal(t, callerResult{status: 200, verdict: "Ran", body: streamEvents(1, 2), cutOff: true}, f.postStreamRequest())
	})
	t.Run("cut if it may not be resumed", func(t *testing.T) {
		t.Parallel()

		a := newFakeAgent(t, "agent-1", endInsideEvent)
		f := newFixture(t, nonIdempotentService, nil, a, a.sibling(t, "agent-2"))
		got := f.post(nonIdempotentService+"/v1/bookings", "{}")
		require.True(t, got.cutOff, "the answer ended as complete with %q", got.body)
		require.Len(t, a.received(), 1)
	})
}

// Guards against recording a stream that ends inside an event as the answer of a key, which
// each resend would then get as complete.
func TestIncompleteStreamIsNotRecorded(t *testing.T) {
	t.Parallel()

	a := newFakeAgent(t, "agent-1", endInsideEvent)
	a.askResponses = []*wire.AskResponse{{State: wire.AskState_AskRan, Answer: incompleteAnswer()}}
	f := newFixture(t, nonIdempotentService, nil, a)

	for range 2 {
		got := f.postKeyedRequest("cask-17")
		require.Equal(t, string(verdict.CauseKeyLost), got.cause, "got %q", got.body)
		require.NotEqual(t, "NotRun", got.verdict)
	}

	require.Len(t, a.received(), 1)
}

// Guards against an incomplete stream that an entry of an earlier build has recorded.
func TestRecordedIncompleteStreamIsNotDelivered(t *testing.T) {
	t.Parallel()

	recorded := func(context.Context, *wire.ClaimRequest) (*wire.ClaimResponse, error) {
		return &wire.ClaimResponse{State: wire.ClaimState_ClaimRecorded, Answer: incompleteAnswer()}, nil
	}
	f := newFixture(t, nonIdempotentService, func(e *Entry) { e.Claim = recorded }, newFakeAgent(t, "agent-1", endInsideEvent))

	got := f.postKeyedRequest("cask-17")
	require.Equal(t, string(verdict.CauseKeyLost), got.cause, "got %q", got.body)
	require.Equal(t, "MayHaveRun", got.verdict)
}

func incompleteAnswer() *wire.Answer {
	return &wire.Answer{
		Status: http.StatusOK, Body: []byte("data: one\n\ndata: tw"),
		Headers: []*wire.Header{{Name: "Content-Type", Value: []byte(eventStream)}},
	}
}

// Guards against a stream whose caller has received the announced length although the stream
// was broken off inside an event, or goes on at another target.
func TestBrokenStreamWithLengthIsNotComplete(t *testing.T) {
	t.Parallel()

	broken := streamEvents(1, 2) + "id: 3\ndata: wo"
	breakOff := func(_ *fakeAgent, s *answerWriter) {
		s.headWithLength(eventStream, len(broken))
		s.data(broken)
		s.refuse()
	}

	t.Run("not resumable", func(t *testing.T) {
		t.Parallel()

		a := newFakeAgent(t, "agent-1", breakOff)
		f := newFixture(t, nonIdempotentService, nil, a)
		require.True(t, f.post(nonIdempotentService+"/v1/bookings", "{}").cutOff)
		require.True(t, f.postHTTP10(nonIdempotentService+"/v1/bookings", "{}").cutOff)
	})
	t.Run("resumed", func(t *testing.T) {
		t.Parallel()

		a := newFakeAgent(t, "agent-1", breakOff, continueStream)
		f := newFixture(t, streamService, nil, a, a.sibling(t, "agent-2"))
		require.Equal(t, callerResult{status: 200, verdict: "Ran", body: streamEvents(1, 4)}, f.postStreamRequest())
	})
}
