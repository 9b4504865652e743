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

// A caller would get another caller's answer, or half of one that looks whole.
// The target answers, but not this request, or not to the end.
func TestFaultyTargetResponses(t *testing.T) {
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
			r := newFixture(t, target.addr(), nil)

			a := r.do(r.request("/draft", "x"))
			a.requireRefused(t, wire.Verdict_MayHaveRun, tc.cause)

			// The connection of the bad answer must not carry the next request.
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

// A caller would wait for good, or be told "not run" of a request that ran. The
// target is gone, or takes the request and stays silent, or answers past the deadline.
func TestUnresponsiveTarget(t *testing.T) {
	t.Parallel()

	hang := func(c net.Conn, _ string) { _, _ = io.Copy(io.Discard, c) }
	partial := func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nhalf", RequestIDHeader, id)
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
		{"silent", hang, shortIdleTimeout, 20_000, "ConnectionSilent"},
		{"silent after half an answer", partial, shortIdleTimeout, 20_000, "ConnectionSilent"},
		{"past the deadline", hang, nil, 1000, "DeadlinePassed"},
		{"past the deadline with half an answer", partial, nil, 1000, "DeadlinePassed"},
		{"deadline too far away", hang, func(a *Agent) { a.Settings.MaxRequestDuration = time.Second }, 1 << 62, "DeadlinePassed"},
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

	t.Run("gone", func(t *testing.T) {
		t.Parallel()

		addr, err := loopback.Address()
		require.NoError(t, err)

		r := newFixture(t, addr, nil)
		req := r.nonIdempotentRequest("/book", "x")
		a := r.do(req)
		a.requireRefused(t, wire.Verdict_NotRun, "TargetDown")
		require.Equal(t, wire.AskState_AskClosed, r.queryAttempt(req, false).GetState())
		require.Zero(t, r.agent.Dump().Load.Limit, "nothing more is sent there until it announces itself")
	})
	t.Run("announcements stop", func(t *testing.T) {
		t.Parallel()

		r := newFixture(t, httpTarget(t, ok), func(a *Agent) { a.Settings.Admission.AnnounceTimeout = time.Millisecond })
		time.Sleep(2 * time.Millisecond)

		a := r.do(r.nonIdempotentRequest("/book", "x"))
		a.requireRefused(t, wire.Verdict_NotRun, "TargetDown")
	})
}

// A slow caller would lose a good answer: it pauses for longer than the target may
// be silent, while the target has more to send.
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

// A booking would be made twice: the service closes a kept connection as the
// booking is written, and the HTTP client sends it again by itself, all the more
// with an Idempotency-Key header.
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
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", RequestIDHeader, id)
					return
				}

				c.Close()
			})
			r := newFixture(t, target.addr(), nil)

			a := r.do(r.request("/draft", "x")) // leaves a kept connection
			a.requireComplete(t, "ok")

			req := r.nonIdempotentRequest("/book", tc.body)
			req.Method = tc.method
			req.Idempotent = tc.idempotent
			req.Headers = []*wire.Header{{Name: "Idempotency-Key", Value: "k"}}
			a = r.do(req)
			a.requireRefused(t, wire.Verdict_MayHaveRun, "AnswerBroken")
			require.EqualValues(t, 2, reads.Load(), "the request was read more than once")
		})
	}
}

// A booking's answer would be lost to an entry that asks, or a large one would
// fill the agent's memory. What is kept is whole, or not kept at all.
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
	require.Nil(t, r.queryAttempt(draft, false).GetAnswer(), "a draft may be repeated, it isn't kept")
}

// A target or a caller would read headers that were meant for one connection, and
// mistake the bounds of a message.
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
		{Name: "Connection", Value: "x-secret, close"},
		{Name: "X-Secret", Value: "a"},
		{Name: "Transfer-Encoding", Value: "chunked"},
		{Name: "Content-Length", Value: "999"},
		{Name: "Upgrade", Value: "h2c"},
		{Name: RequestIDHeader, Value: "forged"},
		{Name: "X-Kept", Value: "b"},
		{Name: "X-Kept", Value: "c"},
	}
	a := r.do(req)
	a.requireComplete(t, "body")

	hr := got.Load()
	require.Equal(t, []string{"b", "c"}, hr.Header["X-Kept"])
	require.Equal(t, []string{req.GetAttemptID()}, hr.Header[http.CanonicalHeaderKey(RequestIDHeader)])
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
