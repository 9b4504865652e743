package agentclient_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// requireBrokenHead checks that nothing of an answer with a head is passed on, and that its connection is not used again.
func requireBrokenHead(t *testing.T, h *wire.Head) {
	t.Helper()

	h.AttemptID = ownAttempt
	a := newAgent(t, func(s *scriptedAnswer) {
		s.frames(&wire.Frame{Kind: &wire.Frame_Head{Head: h}}, data("ab"), end(ownAttempt, "ab"))
	})
	c := newClient(t)

	for range 2 {
		rec := &recorder{}
		receiver := rec.receiver()
		receiver.Head = func(*wire.Head) error {
			t.Error("the head was passed on")

			return nil
		}

		res := c.Send(t.Context(), a.address, &wire.Request{AttemptID: ownAttempt}, receiver)
		require.NotNil(t, res.Err, "%v", h)
		require.Equal(t, verdict.MayHaveRun, res.Err.Verdict)
		require.Equal(t, verdict.CauseBroken, res.Err.Cause)
		require.Empty(t, rec.got)
	}

	require.EqualValues(t, 2, a.connections.Load())
}

// Guards against a status that is none in the frame of an agent of an earlier build, which a server cannot write.
func TestBrokenStatusOfAnAgentIsNoAnswer(t *testing.T) {
	t.Parallel()

	for _, status := range []int32{0, 20, 99, 100, 101, 103, 199, 600, 999, -200, 1 << 30} {
		requireBrokenHead(t, &wire.Head{Status: status})
	}
}

// Guards against a field in the frame of an agent of an earlier build that a server drops or changes as it writes the head.
func TestBrokenFieldOfAnAgentIsNoAnswer(t *testing.T) {
	t.Parallel()

	for _, h := range []*wire.Header{
		{Name: "X A", Value: []byte("b")}, {Name: "Content-Length ", Value: []byte("6")}, {Name: "", Value: []byte("b")}, {Name: "X\x00", Value: []byte("b")}, {Name: "X", Value: []byte("a\r\nY: b")}, {Name: "X", Value: []byte("a\x00b")},
	} {
		requireBrokenHead(t, &wire.Head{Status: 200, Headers: []*wire.Header{{Name: "X-Sound", Value: []byte("a\tb \xc3\xa9")}, h}})
	}
}
