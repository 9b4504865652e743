package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// requireBrokenHead checks that callers get nothing of an answer with a head: not as it arrives, not as an agent kept it,
// and not from the control VMs.
func requireBrokenHead(t *testing.T, h *wire.Head) {
	t.Helper()

	answer := func(_ *fakeAgent, s *answerWriter) {
		s.headWith(h.GetStatus(), h.GetHeaders()...)
		s.data("forged")
		s.end()
	}
	kept := &wire.Answer{Status: h.GetStatus(), Headers: h.GetHeaders(), Body: []byte("forged")}

	a := newFakeAgent(t, "agent-1", answer)
	a.askResponses = []*wire.AskResponse{{State: wire.AskState_AskRan, Answer: kept}}

	got := newFixture(t, streamService, nil, a).postStreamRequest()
	require.Equal(t, http.StatusBadGateway, got.status, "%v", h)
	require.Empty(t, got.body)

	got = newFixture(t, nonIdempotentService, nil, a).postKeyedRequest("k1")
	require.Equal(t, http.StatusBadGateway, got.status, "%v", h)
	require.Empty(t, got.body)

	got = newFixture(t, nonIdempotentService, func(e *Entry) {
		e.Claim = func(context.Context, *wire.ClaimRequest) (*wire.ClaimResponse, error) {
			return &wire.ClaimResponse{State: wire.ClaimState_ClaimRecorded, Answer: kept}, nil
		}
	}, a).postKeyedRequest("k2")
	require.Equal(t, http.StatusBadGateway, got.status, "%v", h)
	require.Empty(t, got.body)
}

// Guards against a status that is none, which the server cannot write: the caller's connection would end without an answer.
func TestBrokenStatusOfAnAgentReachesNoCaller(t *testing.T) {
	t.Parallel()

	for _, status := range []int32{0, 20, 99, 101, 103, 600, 999} {
		requireBrokenHead(t, &wire.Head{Status: status})
	}
}

// Guards against a field whose name or value is none: the server drops or changes it, and the caller gets another head than the target sent.
func TestBrokenFieldOfAnAgentReachesNoCaller(t *testing.T) {
	t.Parallel()

	for _, h := range []*wire.Header{{Name: "Content-Length ", Value: "6"}, {Name: "X A", Value: "b"}, {Name: "", Value: "b"}, {Name: "X", Value: "a\nY: b"}} {
		requireBrokenHead(t, &wire.Head{Status: 200, Headers: []*wire.Header{h}})
	}
}
