package agent

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/loopback"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Guards against a caller that receives the response of another request, or a truncated one
// that looks complete.
func TestFaultyTargetResponses(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name   string
		script func(c net.Conn, id string)
		cause  string
	}{
		{"response to another request", func(c net.Conn, _ string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 2\r\n\r\nok", HeaderRequestID)
		}, "AnswerCrossed"},
		{"bodyless response to another request", func(c net.Conn, _ string) {
			fmt.Fprintf(c, "HTTP/1.1 204 No Content\r\n%s: other\r\n\r\n", HeaderRequestID)
		}, "AnswerCrossed"},
		{"response without a request ID", func(c net.Conn, _ string) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}, "AnswerCrossed"},
		{"body shorter than Content-Length", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nhalf", HeaderRequestID, id)
			c.Close()
		}, "AnswerBroken"},
		{"truncated chunked body", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", HeaderRequestID, id)
			c.Close()
		}, "AnswerBroken"},
		{"response without a length, reset", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\nhalf", HeaderRequestID, id)
			reset(c)
		}, "AnswerBroken"},
		{"response of HTTP/1.0 without a length, reset", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.0 200 OK\r\n%s: %s\r\n\r\nhalf", HeaderRequestID, id)
			reset(c)
		}, "AnswerBroken"},
		{"truncated chunked body of HTTP/1.0", func(c net.Conn, id string) {
			fmt.Fprintf(c, "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n%s: %s\r\n\r\n4\r\nhalf\r\n", HeaderRequestID, id)
			c.Close()
		}, "AnswerBroken"},
		{"closed without a response", func(c net.Conn, _ string) { c.Close() }, "AnswerBroken"},
		{"not HTTP", func(c net.Conn, _ string) {
			fmt.Fprint(c, "garbage\r\n\r\n")
			c.Close()
		}, "AnswerBroken"},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			target := newRawTarget(t, tc.script)
			r := newFixture(t, target.addr(), nil)

			a := r.do(r.request("/draft", "x"))
			a.requireRefused(t, wire.Verdict_MayHaveRun, tc.cause)

			// The connection of the faulty response must not be reused.
			a = r.do(r.request("/draft", "x"))
			a.requireRefused(t, wire.Verdict_MayHaveRun, tc.cause)
			require.EqualValues(t, 2, target.conns.Load())

			req := r.nonIdempotentRequest("/book", "x")
			a = r.do(req)
			a.requireRefused(t, wire.Verdict_MayHaveRun, tc.cause)
			require.Equal(t, wire.AskState_AskUnknown, r.queryAttempt(req, true).GetState())
		})
	}
}

// Guards against a caller that waits forever, and against a verdict "not run" for a request
// that ran. The target is down, accepts the request and sends nothing, or responds after the
// deadline.
func TestUnresponsiveTarget(t *testing.T) {
	t.Parallel()

	hang := func(c net.Conn, _ string) { _, _ = io.Copy(io.Discard, c) }
	partial := func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nhalf", HeaderRequestID, id)
		hang(c, id)
	}
	shortIdleTimeout := func(a *Agent) { a.Settings.TargetIdleTimeout = time.Second }

	cases := []struct {
		name   string
		script func(c net.Conn, id string)
		change func(*Agent)
		millis uint64
		cause  string
	}{
		{"sends nothing", hang, shortIdleTimeout, 20_000, "ConnectionSilent"},
		{"sends nothing more after a partial response", partial, shortIdleTimeout, 20_000, "ConnectionSilent"},
		{"sends nothing until the deadline", hang, nil, 1000, "DeadlinePassed"},
		{"partial response until the deadline", partial, nil, 1000, "DeadlinePassed"},
		{"deadline beyond the maximum duration", hang, func(a *Agent) { a.Settings.MaxRequestDuration = time.Second }, 1 << 62, "DeadlinePassed"},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			r := newFixture(t, newRawTarget(t, tc.script).addr(), tc.change)
			req := r.nonIdempotentRequest("/book", "x")
			req.RemainingMillis = tc.millis
			a := r.do(req)
			a.requireRefused(t, wire.Verdict_MayHaveRun, tc.cause)
			require.Equal(t, wire.AskState_AskUnknown, r.queryAttempt(req, true).GetState())
		})
	}

	t.Run("down", func(t *testing.T) {
		t.Parallel()

		addr, err := loopback.Address()
		require.NoError(t, err)

		r := newFixture(t, addr, nil)
		req := r.nonIdempotentRequest("/book", "x")
		a := r.do(req)
		a.requireRefused(t, wire.Verdict_NotRun, "TargetDown")
		require.Equal(t, wire.AskState_AskClosed, r.queryAttempt(req, false).GetState())
		require.Zero(t, r.agent.Dump().Load.Limit, "a target that is down must get no requests until its next announcement")
	})
	t.Run("announcements time out", func(t *testing.T) {
		t.Parallel()

		r := newFixture(t, httpTarget(t, ok), func(a *Agent) { a.Settings.Admission.AnnounceTimeout = time.Millisecond })
		time.Sleep(2 * time.Millisecond)

		a := r.do(r.nonIdempotentRequest("/book", "x"))
		a.requireRefused(t, wire.Verdict_NotRun, "TargetDown")
	})
}

// Guards against failing the response of a slow caller. The caller stops reading for longer
// than TargetIdleTimeout while the target has more data to send.
func TestSlowEntryIsNotTargetTimeout(t *testing.T) {
	t.Parallel()

	body := strings.Repeat("0123456789abcdef", 1<<19)
	target := httpTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	r := newFixture(t, target, func(a *Agent) { a.Settings.TargetIdleTimeout = time.Second })
	resp, frames := r.open(context.Background(), r.request("/draft", "x"))

	defer resp.Body.Close()

	var (
		a    response
		text strings.Builder
	)

	a.readFrame(frames)
	time.Sleep(3 * time.Second)

	for a.end == nil && a.err == nil && a.refusal == nil {
		a.body = ""
		a.readFrame(frames)
		text.WriteString(a.body)
	}

	a.body = text.String()
	a.requireComplete(t, body)
}

// Guards against running a non-idempotent request twice. The target closes a pooled connection
// while the request is being written, and Go's HTTP client would resend it, in particular with
// an Idempotency-Key header.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	t.Parallel()

	cases := []struct {
		method, body string
		idempotent   bool
	}{
		{http.MethodPost, "x", true},
		{http.MethodGet, "x", true},
		{http.MethodPost, "x", false},
		{http.MethodPost, "", false},
		{http.MethodGet, "", false},
	}

	for _, tc := range cases {
		t.Run(fmt.Sprintf("%s %q %v", tc.method, tc.body, tc.idempotent), func(t *testing.T) {
			t.Parallel()

			var reads atomic.Int64

			target := newRawTarget(t, func(c net.Conn, id string) {
				if reads.Add(1) == 1 {
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", HeaderRequestID, id)
					return
				}

				c.Close()
			})
			r := newFixture(t, target.addr(), nil)

			a := r.do(r.request("/draft", "x")) // leaves a pooled connection
			a.requireComplete(t, "ok")

			req := r.nonIdempotentRequest("/book", tc.body)
			req.Method = tc.method
			req.Idempotent = tc.idempotent
			req.Headers = []*wire.Header{{Name: "Idempotency-Key", Value: []byte("k")}}
			a = r.do(req)
			a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
			require.EqualValues(t, 2, reads.Load(), "the target read the request more than once")
		})
	}
}

// Guards against losing the response of a non-idempotent request that its entry queries, and
// against large responses filling the agent's memory. A response must be kept completely or
// not at all.
func TestRecordedResponses(t *testing.T) {
	t.Parallel()

	r := newFixture(t, httpTarget(t, ok), func(a *Agent) { a.Settings.MaxAnswerBytes = 64 })

	small := r.nonIdempotentRequest("/book", "slot 4")
	a := r.do(small)
	a.requireComplete(t, "slot 4")
	require.Equal(t, "slot 4", string(r.queryAttempt(small, false).GetAnswer().GetBody()))

	large := r.nonIdempotentRequest("/book", strings.Repeat("x", 65))
	a = r.do(large)
	a.requireComplete(t, strings.Repeat("x", 65))
	require.Equal(t, wire.AskState_AskRan, r.queryAttempt(large, false).GetState())
	require.Nil(t, r.queryAttempt(large, false).GetAnswer())

	draft := r.request("/draft", "x")
	a = r.do(draft)
	a.requireComplete(t, "x")
	require.Nil(t, r.queryAttempt(draft, false).GetAnswer(), "the response of an idempotent request is not recorded")
}

// Guards against forwarding headers that are meant for a single connection, and against
// misread message lengths.
func TestHopByHopHeaders(t *testing.T) {
	t.Parallel()

	var got atomic.Pointer[http.Request]

	target := httpTarget(t, func(w http.ResponseWriter, r *http.Request) {
		got.Store(r)
		w.Header().Set("Connection", "X-Private")
		w.Header().Set("X-Private", "a")
		w.Header().Set("X-Kept", "b")
		w.Header().Set("Keep-Alive", "c")
		ok(w, r)
	})
	r := newFixture(t, target, nil)
	req := r.request("/draft", "body")
	req.Headers = []*wire.Header{
		{Name: "Connection", Value: []byte("x-secret, close")},
		{Name: "X-Secret", Value: []byte("a")},
		{Name: "Transfer-Encoding", Value: []byte("chunked")},
		{Name: "Content-Length", Value: []byte("999")},
		{Name: "Upgrade", Value: []byte("h2c")},
		{Name: HeaderRequestID, Value: []byte("forged")},
		{Name: "X-Kept", Value: []byte("b")},
		{Name: "X-Kept", Value: []byte("c")},
	}
	a := r.do(req)
	a.requireComplete(t, "body")

	hr := got.Load()
	require.Equal(t, []string{"b", "c"}, hr.Header["X-Kept"])
	require.Equal(t, []string{req.GetAttemptID()}, hr.Header[http.CanonicalHeaderKey(HeaderRequestID)])
	require.EqualValues(t, 4, hr.ContentLength)

	for _, name := range []string{"X-Secret", "Upgrade", "Connection"} {
		require.Empty(t, hr.Header.Get(name), name)
	}

	names := map[string]bool{}
	for _, h := range a.head.GetHeaders() {
		names[h.GetName()] = true
	}

	require.True(t, names["X-Kept"] && names["Content-Length"])
	require.False(t, names["X-Private"] || names["Keep-Alive"] || names["Connection"])
}
