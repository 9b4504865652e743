package targetclient_test

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// requireBroken checks that an answer is broken, on a new connection and on a kept one, for a request that may have run, and
// that its connection is not used again.
func requireBroken(t *testing.T, answer string) {
	t.Helper()

	f := newFakeTarget(t, respond(answer), respond(whole), respond(answer))
	c := newClient(f)

	_, err := c.Open(t.Context(), f.Target, request("r1")) //nolint:bodyclose // there is no answer
	requireHeadError(t, err, answer)
	require.NotErrorIs(t, err, targetclient.ErrReusedConnection)
	require.Zero(t, c.Stats().Idle, "%q", answer)

	send(t, c, f, request("r2"))
	require.Equal(t, 2, f.connections(), "%q", answer)

	_, err = c.Open(t.Context(), f.Target, request("r3")) //nolint:bodyclose // there is no answer
	requireHeadError(t, err, answer)
	require.Equal(t, 2, f.connections(), "%q", answer)
	require.Zero(t, c.Stats().Idle, "%q", answer)
}

func requireHeadError(t *testing.T, err error, answer string) {
	t.Helper()

	var broken *answers.HeadError

	require.ErrorAs(t, err, &broken, "%q", answer)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err), "%q", answer)
	require.Equal(t, verdict.CauseBroken, verdict.CauseOf(err), "%q", answer)
}

// Guards against an answer with a status that is none, whose connection is used again or whose body is the next answer.
func TestBrokenStatusIsNoAnswer(t *testing.T) {
	t.Parallel()

	for _, line := range []string{
		"HTTP/1.1 000 ", "HTTP/1.1 099 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.1 200 \x1b",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 ", "HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK",
	} {
		requireBroken(t, line+"\r\n"+keepAlive+"Content-Length: 0\r\n\r\n")
		requireBroken(t, line+"\r\n"+keepAlive+"\r\n"+whole)
	}
}

// Guards against an answer with a field whose name is none, whose framing may be another than the library read.
func TestBrokenFieldNameIsNoAnswer(t *testing.T) {
	t.Parallel()

	for _, field := range []string{"Content-Length : 6", "Transfer-Encoding : chunked", "Keep-Alive : timeout=10", "X A: b", "A B : c"} {
		for _, answer := range []string{
			"HTTP/1.1 200 OK\r\n" + keepAlive + field + "\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 No Content\r\n" + keepAlive + field + "\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\n" + field + "\r\n\r\n" + whole,
		} {
			requireBroken(t, answer)
		}
	}
}

// Guards against an answer whose trailer is broken, and that counts as whole or whose connection is used again.
func TestBrokenTrailerIsNotWhole(t *testing.T) {
	t.Parallel()

	for _, field := range []string{"X A: b", "X : b"} {
		f := newFakeTarget(t, respond(chunked+"0\r\n"+field+"\r\n\r\n"))
		c := newClient(f)

		answer, err := c.Open(t.Context(), f.Target, request("r1"))
		require.NoError(t, err)

		_, err = io.ReadAll(answer.Body)

		var broken *answers.HeadError

		require.ErrorAs(t, err, &broken, "%q", field)
		answer.Keep()
		require.Zero(t, c.Stats().Idle, "%q", field)
	}

	f := newFakeTarget(t, respond(chunked+"0\r\nX-Sum: \xc3\xa9\r\nX-Empty:\r\n\r\n"))
	c := newClient(f)
	send(t, c, f, request("r1"))
	require.Equal(t, 1, c.Stats().Idle)
}
