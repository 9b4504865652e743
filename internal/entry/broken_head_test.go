package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
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

	for _, h := range []*wire.Header{{Name: "Content-Length ", Value: []byte("6")}, {Name: "X A", Value: []byte("b")}, {Name: "", Value: []byte("b")}, {Name: "X", Value: []byte("a\nY: b")}} {
		requireBrokenHead(t, &wire.Head{Status: 200, Headers: []*wire.Header{h}})
	}
}

// Guards against a request or an answer that an entry does not pass on, as the value of a field is not UTF-8.
func TestFieldValueThatIsNotUTF8IsForwarded(t *testing.T) {
	t.Parallel()

	const value = "caf\xe9 \xff"

	a := newFakeAgent(t, "agent-1", func(_ *fakeAgent, s *answerWriter) {
		s.headWith(http.StatusOK, &wire.Header{Name: "X-Note", Value: []byte(value)})
		s.data("yes!")
		s.end()
	})
	f := newFixture(t, streamService, nil, a)

	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.base+"/"+streamService+"/v1/drafts", strings.NewReader("{}"))
	require.NoError(t, err)
	q.Header.Set("X-Note", value)

	resp, err := ownClient().Do(q)
	require.NoError(t, err)

	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "yes!", string(body))
	require.Equal(t, value, resp.Header.Get("X-Note"))
	require.Equal(t, value, headerValue(a.received()[0].GetHeaders(), "X-Note"))
}
