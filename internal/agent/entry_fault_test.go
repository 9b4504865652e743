package agent

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// ok responds to each request with the request's body.
func ok(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// Guards against a request that runs in another form than the caller sent it, or twice. The
// request is too large, malformed, duplicated, late, or meant for an earlier incarnation; the
// refusal's verdict must say whether it ran.
func TestInvalidRequestsAreNotRun(t *testing.T) {
	t.Parallel()

	const maxBytes = 1 << 10

	cases := []struct {
		name   string
		modify func(r *fixture, req *wire.Request)
		want   wire.Verdict
		cause  string
	}{
		{"body too large", func(_ *fixture, req *wire.Request) {
			req.Body = bytes.Repeat([]byte("x"), maxBytes+1)
			req.BodyDigest = xxhash.Sum64(req.GetBody())
		}, wire.Verdict_NotRun, "TooLarge"},
		{"message larger than the read limit", func(_ *fixture, req *wire.Request) {
			req.Body = bytes.Repeat([]byte("x"), 100*maxBytes)
		}, wire.Verdict_NotRun, "TooLarge"},
		{"headers too large", func(_ *fixture, req *wire.Request) {
			req.Headers = []*wire.Header{{Name: "X", Value: []byte(strings.Repeat("x", maxBytes))}}
		}, wire.Verdict_NotRun, "TooLarge"},
		{"body corrupted in transit", func(_ *fixture, req *wire.Request) { req.Body[0]++ }, wire.Verdict_NotRun, "Malformed"},
		{"header value with a line break", func(_ *fixture, req *wire.Request) {
			req.Headers = []*wire.Header{{Name: "X", Value: []byte("a\r\nY: b")}}
		}, wire.Verdict_NotRun, "Malformed"},
		{"header name with a space", func(_ *fixture, req *wire.Request) {
			req.Headers = []*wire.Header{{Name: "X Y", Value: []byte("a")}}
		}, wire.Verdict_NotRun, "Malformed"},
		{"method with a line break", func(_ *fixture, req *wire.Request) { req.Method = "GET / HTTP/1.1\r\n" }, wire.Verdict_NotRun, "Malformed"},
		{"path with a host", func(_ *fixture, req *wire.Request) { req.Path = "http://elsewhere/" }, wire.Verdict_NotRun, "Malformed"},
		{"no attempt ID", func(_ *fixture, req *wire.Request) { req.AttemptID = "" }, wire.Verdict_NotRun, "Malformed"},
		{"attempt ID too long", func(_ *fixture, req *wire.Request) {
			req.AttemptID = strings.Repeat("x", maxIDBytes+1)
		}, wire.Verdict_NotRun, "Malformed"},
		{"deadline passed", func(_ *fixture, req *wire.Request) { req.RemainingMillis = 0 }, wire.Verdict_NotRun, "DeadlinePassed"},
		{"no credit", func(_ *fixture, req *wire.Request) { req.Credit = nil }, wire.Verdict_NotRun, "EarlierIncarnation"},
		{"earlier incarnation", func(_ *fixture, req *wire.Request) { req.Credit.Incarnation-- }, wire.Verdict_NotRun, "EarlierIncarnation"},
		{"expired credit", func(_ *fixture, req *wire.Request) { req.Credit.ExpiresAtTick = 0 }, wire.Verdict_NotRun, "CreditExpired"},
		{"another service", func(_ *fixture, req *wire.Request) { req.Service = "desk" }, wire.Verdict_NotRun, "UnknownService"},
		{"views of agent and entry expired", func(r *fixture, req *wire.Request) {
			r.view.Store(&admission.View{Version: 8, ColdLimit: 64, WarmLimit: 64})
			req.ViewFresh = false
		}, wire.Verdict_NotRun, "StaleConfiguration"},
		{"zone out of service", func(r *fixture, _ *wire.Request) {
			r.view.Store(&admission.View{Version: 8, FreshUntil: time.Now().Add(time.Hour), ZoneOut: true})
		}, wire.Verdict_NotRun, "ZoneOut"},
		{"attempt closed before its request arrives", func(r *fixture, req *wire.Request) {
			require.Equal(r.t, wire.AskState_AskClosed, r.queryAttempt(req, true).GetState())
		}, wire.Verdict_NotRun, "AttemptClosed"},
		{"valid request after an invalid one with the same attempt ID", func(r *fixture, req *wire.Request) {
			invalid := proto.CloneOf(req)
			invalid.BodyDigest++
			a := r.do(invalid)
			a.requireRefused(r.t, wire.Verdict_NotRun, "Malformed")
		}, wire.Verdict_NotRun, "AttemptClosed"},
		{"duplicate of a completed request", func(r *fixture, req *wire.Request) {
			a := r.do(req)
			a.requireComplete(r.t, string(req.GetBody()))
		}, wire.Verdict_Ran, "DuplicateAttempt"},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			var runs atomic.Int64

			target := httpTarget(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				ok(w, r)
			})
			r := newFixture(t, target, func(a *Agent) {
				a.Settings.MaxBodyBytes = maxBytes
				a.Settings.MaxHeaderBytes = maxBytes
			})

			req := r.nonIdempotentRequest("/book", "kiln 3")
			tc.modify(r, req)

			before := runs.Load()
			a := r.do(req)
			a.requireRefused(t, tc.want, tc.cause)
			require.Equal(t, before, runs.Load(), "the target received a refused request")
		})
	}

	t.Run("not a request message", func(t *testing.T) {
		t.Parallel()

		r := newFixture(t, httpTarget(t, ok), nil)
		resp, frames := r.openRaw(context.Background(), []byte("garbage"))
		defer resp.Body.Close()

		var a response
		a.readFrame(frames)
		a.requireRefused(t, wire.Verdict_NotRun, "Malformed")
	})
}

// blockingTarget is a target that sends the rest of its response only after release is closed.
type blockingTarget struct {
	started  chan struct{}
	release  chan struct{}
	canceled chan struct{}
	requests atomic.Int64
}

func newBlockingTarget() *blockingTarget {
	return &blockingTarget{started: make(chan struct{}, 16), release: make(chan struct{}), canceled: make(chan struct{}, 16)}
}

// firstPiece and lastPiece are what a blockingTarget sends: an event each, so that they are
// a complete stream.
const (
	firstPiece = "data: first\n\n"
	lastPiece  = "data: last\n\n"
)

// serve sends firstPiece, waits for release, and sends lastPiece.
func (bt *blockingTarget) serve(contentType string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		bt.requests.Add(1)
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, firstPiece)
		w.(http.Flusher).Flush()
		bt.started <- struct{}{}

		select {
		case <-bt.release:
			_, _ = io.WriteString(w, lastPiece)
		case <-r.Context().Done():
			bt.canceled <- struct{}{}
		}
	}
}

// Guards against a target that keeps working for a disconnected caller, and against canceling
// a non-idempotent request when its entry's connection breaks. The connection ends while the
// target works; the entry of a non-idempotent request then queries the response over a new
// connection.
func TestEntryDisconnects(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name       string
		idempotent bool
		kind       string
		cancelled  bool
	}{
		{"idempotent request", true, "text/plain", true},
		{"stream", false, "text/event-stream", true},
		{"non-idempotent request", false, "text/plain", false},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			bt := newBlockingTarget()
			r := newFixture(t, httpTarget(t, bt.serve(tc.kind)), nil)
			req := r.nonIdempotentRequest("/book", "kiln 3")
			req.Idempotent = tc.idempotent

			ctx, cancel := context.WithCancel(context.Background())
			resp, frames := r.open(ctx, req)

			var a response
			a.readFrame(frames)
			a.readFrame(frames)
			require.Equal(t, firstPiece, a.body)
			require.Equal(t, wire.AskState_AskRunning, r.queryAttempt(req, true).GetState())

			cancel()
			resp.Body.Close()

			if tc.cancelled {
				require.Eventually(t, func() bool { return len(bt.canceled) > 0 }, 5*time.Second, time.Millisecond)
				require.Eventually(t, func() bool {
					return r.queryAttempt(req, true).GetState() == wire.AskState_AskUnknown
				}, 5*time.Second, time.Millisecond)

				return
			}

			a = r.do(req)
			a.requireRefused(t, wire.Verdict_MayHaveRun, "DuplicateAttempt")
			close(bt.release)
			require.Eventually(t, func() bool {
				return r.queryAttempt(req, true).GetState() == wire.AskState_AskRan
			}, 5*time.Second, time.Millisecond)
			require.Equal(t, firstPiece+lastPiece, string(r.queryAttempt(req, true).GetAnswer().GetBody()))
			require.EqualValues(t, 200, r.queryAttempt(req, true).GetAnswer().GetStatus())
			require.EqualValues(t, 1, bt.requests.Load())
		})
	}
}

// Guards against an entry that holds a slot forever. One entry closes the sending side of its
// connection, another stops reading a large response.
func TestHalfOpenConnectionReleasesSlot(t *testing.T) {
	t.Parallel()

	dial := func(t *testing.T, r *fixture) net.Conn {
		t.Helper()

		req := r.request("/draft", "x")
		raw, err := proto.Marshal(req)
		require.NoError(t, err)

		c, err := net.Dial("tcp", r.agent.address().String())
		require.NoError(t, err)
		t.Cleanup(func() { c.Close() })

		hr, err := http.NewRequest(http.MethodPost, r.url(RequestPath), bytes.NewReader(raw))
		require.NoError(t, err)
		require.NoError(t, hr.Write(c))

		return c
	}

	t.Run("entry closes its sending side", func(t *testing.T) {
		t.Parallel()

		bt := newBlockingTarget()
		r := newFixture(t, httpTarget(t, bt.serve("text/plain")), nil)
		c := dial(t, r)
		<-bt.started
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		<-bt.canceled
	})
	t.Run("entry stops reading", func(t *testing.T) {
		t.Parallel()

		var sent atomic.Int64

		disconnected := make(chan struct{})
		target := httpTarget(t, func(w http.ResponseWriter, _ *http.Request) {
			defer close(disconnected)

			chunk := make([]byte, 64<<10)
			for {
				n, err := w.Write(chunk)
				if err != nil {
					return
				}

				sent.Add(int64(n))
			}
		})
		r := newFixture(t, target, func(a *Agent) { a.Settings.WriteTimeout = 300 * time.Millisecond })
		dial(t, r)
		<-disconnected
		// The socket buffers in between are bounded, and the agent must not add to them.
		require.Less(t, sent.Load(), int64(64<<20))
		require.Eventually(t, func() bool { return r.agent.Dump().Load.InFlight == 0 }, 5*time.Second, time.Millisecond)
	})
}

// Guards against running out of memory when many entries send large requests at once. Beyond
// the limit, requests must be refused before they are read.
func TestPendingBytesAreBounded(t *testing.T) {
	t.Parallel()

	bt := newBlockingTarget()
	r := newFixture(t, httpTarget(t, bt.serve("text/plain")), func(a *Agent) { a.Settings.MaxPendingBytes = 3000 })
	large := strings.Repeat("x", 2000)
	resp, frames := r.open(context.Background(), r.request("/draft", large))

	defer resp.Body.Close()

	<-bt.started

	a := r.do(r.request("/draft", large))
	a.requireRefused(t, wire.Verdict_NotRun, "Overload")
	close(bt.release)

	var first response
	for first.end == nil && first.err == nil {
		first.readFrame(frames)
	}

	first.requireComplete(t, firstPiece+lastPiece)
	require.Eventually(t, func() bool {
		a := r.do(r.request("/draft", large))
		return a.end != nil
	}, 5*time.Second, time.Millisecond, "pending bytes are not released")
}

// Guards against an entry that takes a slow target for a dead one, or the reverse. While the
// target sends nothing, the entry must receive heartbeats.
func TestHeartbeatsWhileTargetIsIdle(t *testing.T) {
	t.Parallel()

	bt := newBlockingTarget()
	r := newFixture(t, httpTarget(t, bt.serve("text/plain")), func(a *Agent) {
		a.Settings.HeartbeatInterval = 5 * time.Millisecond
	})
	resp, frames := r.open(context.Background(), r.request("/draft", "x"))
	defer resp.Body.Close()

	var a response
	for a.heartbeats < 3 {
		a.readFrame(frames)
		require.NoError(t, a.err)
	}

	close(bt.release)

	for a.end == nil && a.err == nil {
		a.readFrame(frames)
	}

	a.requireComplete(t, firstPiece+lastPiece)
}

// Guards against a request being reported as not run, or run again, because the agent
// restarted while it ran. The new incarnation has no state of the earlier one and must refuse
// its credits.
func TestAgentRestartDuringRequest(t *testing.T) {
	t.Parallel()

	bt := newBlockingTarget()
	r := newFixture(t, httpTarget(t, bt.serve("text/plain")), nil)
	req := r.nonIdempotentRequest("/book", "kiln 3")
	resp, frames := r.open(context.Background(), req)

	var a response
	a.readFrame(frames)
	r.stop()
	require.NoError(t, <-r.runErr)

	for a.err == nil && a.refusal == nil {
		a.readFrame(frames)
		require.Nil(t, a.end, "a truncated response was marked as complete")
	}

	resp.Body.Close()

	previous := r.agent
	r.agent = &Agent{
		ID: previous.ID, Zone: previous.Zone, Incarnation: previous.Incarnation + 1, Address: previous.Address, View: previous.View,
		Settings: Settings{Admission: admission.Settings{AnnounceTimeout: time.Hour}},
	}
	r.start()

	require.Equal(t, wire.AskState_AskUnknown, r.queryAttempt(req, true).GetState())

	// An entry sends an attempt only once. This is its next attempt, with a credit of the
	// previous incarnation.
	next := proto.CloneOf(req)
	next.AttemptID = "next"
	a = r.do(next)
	a.requireRefused(t, wire.Verdict_NotRun, "EarlierIncarnation")
	require.EqualValues(t, 1, bt.requests.Load())
	close(bt.release)
}
