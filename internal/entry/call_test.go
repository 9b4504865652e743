package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Invalid requests must be refused with the verdict NotRun and must not reach an agent.
func TestInvalidRequestsAreRefusedAsNotRun(t *testing.T) {
	t.Parallel()

	small := func(e *Entry) { e.Limits.MaxBodyBytes = 10 }
	cases := []struct {
		name    string
		path    string
		body    string
		headers []string
		status  int
		cause   string
	}{
		{name: "unknown service", path: "nobody/v1/x", status: 404, cause: "UnknownService"},
		{name: "body too large", path: "desk/v1/bookings", body: strings.Repeat("x", 11), status: 413, cause: "TooLarge"},
		{name: "timeout is not a number", path: "desk/v1/bookings", headers: []string{HeaderTimeout, "soon"}, status: 400, cause: "Malformed"},
		{name: "timeout is zero", path: "desk/v1/bookings", headers: []string{HeaderTimeout, "0"}, status: 400, cause: "Malformed"},
		{name: "priority out of range", path: "desk/v1/bookings", headers: []string{HeaderPriority, "9"}, status: 400, cause: "Malformed"},
		{name: "key too long", path: "desk/v1/bookings", headers: []string{HeaderKey, strings.Repeat("k", 129)}, status: 400, cause: "Malformed"},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			a := newFakeAgent(t, "agent-1", answerKeyedRequest)
			f := newFixture(t, nonIdempotentService, small, a)
			got := f.post(c.path, c.body, c.headers...)
			require.Equal(t, c.status, got.status)
			require.Equal(t, "NotRun", got.verdict)
			require.Equal(t, c.cause, got.cause)
			require.Empty(t, a.received())
		})
	}
}

// Requests whose head is too long or not HTTP must get an error status, and the entry
// must continue to serve other callers.
func TestMalformedRequestHeadsAreRefused(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name   string
		text   string
		status int
	}{
		{name: "head too long", text: "POST /desk/v1/bookings HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 128<<10) + "\r\n\r\n", status: 431},
		{name: "not HTTP", text: "hello, is anybody there today?\r\n\r\n", status: 400},
		{name: "two Content-Length headers", text: "POST /desk/v1/bookings HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", status: 400},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			f := newFixture(t, nonIdempotentService, nil, newFakeAgent(t, "agent-1", answerKeyedRequest))

			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.entry.Listener.Addr().String())
			require.NoError(t, err)

			defer conn.Close()

			_, _ = fmt.Fprint(conn, c.text)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, 201, f.postKeyedRequest("cask-1").status)
		})
	}
}

// Hop-by-hop headers and the headers of this system must not be forwarded to targets.
func TestForwardedHeaders(t *testing.T) {
	t.Parallel()

	h := http.Header{}
	h.Set("Connection", "X-Private, keep-alive")
	h.Set("X-Private", "1")
	h.Set("Upgrade", "websocket")
	h.Set(HeaderWorkspace, "cooperage")
	h.Set("Accept", "text/plain")

	out := forwardedHeaders(h)
	require.Len(t, out, 1)
	require.Equal(t, "Accept", out[0].GetName())
}

// Only calls that a service declares are idempotent, whatever the method.
func TestIdempotentCalls(t *testing.T) {
	t.Parallel()

	s := testServices[nonIdempotentService]
	require.True(t, isIdempotent(s, "GET", "/v1/bookings"))
	require.False(t, isIdempotent(s, "GET", "/v2/bookings"))
	require.False(t, isIdempotent(s, "POST", "/v1/bookings"))
	require.False(t, isIdempotent(s, "HEAD", "/v1/bookings"))
}
