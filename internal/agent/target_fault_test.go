package agent

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// A caller would get another caller's answer, or half of one that looks whole.
// The target answers, but not this request, or not to the end.
func TestTargetAnswerFaults(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name   string
		script func(c net.Conn, id string)
		cause  string
	}{
		{"answer to another request", func(c net.Conn, _ string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 2\r\n\r\nok", RequestIDHeader)
		}, "AnswerCrossed"},
		{"bodyless answer to another request", func(c net.Conn, _ string) {
			fmt.Fprintf(c, "HTTP/1.1 204 No Content\r\n%s: other\r\n\r\n", RequestIDHeader)
		}, "AnswerCrossed"},
		{"answer without an ID", func(c net.Conn, _ string) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}, "AnswerCrossed"},
		{"content length cut short", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nhalf", RequestIDHeader, id)
			c.Close()
		}, "AnswerBroken"},
		{"chunks cut short", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", RequestIDHeader, id)
			c.Close()
		}, "AnswerBroken"},
		{"answer without a length", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\nhalf", RequestIDHeader, id)
			c.Close()
		}, "AnswerBroken"},
		{"closed without an answer", func(c net.Conn, _ string) { c.Close() }, "AnswerBroken"},
		{"no HTTP", func(c net.Conn, _ string) {
			fmt.Fprint(c, "garbage\r\n\r\n")
			c.Close()
		}, "AnswerBroken"},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			target := newRawTarget(t, tc.script)
			r := newRig(t, target.addr(), nil)

			a := r.do(r.request("/draft", "x"))
			a.requireRefused(t, wire.Verdict_MayHaveRun, tc.cause)

			// The connection of the bad answer must not carry the next request.
			a = r.do(r.request("/draft", "x"))
			a.requireRefused(t, wire.Verdict_MayHaveRun, tc.cause)
			require.EqualValues(t, 2, target.conns.Load())

			req := r.booking("/book", "x")
			a = r.do(req)
			a.requireRefused(t, wire.Verdict_MayHaveRun, tc.cause)
			require.Equal(t, wire.AskState_AskUnknown, r.ask(req, true).GetState())
		})
	}
}
