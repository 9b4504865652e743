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

// ok answers each request with its own body.
func ok(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// A booking would run on a message that isn't what the caller sent, or run twice.
// The entry's message is too large, malformed, doubled, late, or for an agent
// that is gone. Each refusal is told from the verdict alone.
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
		{"message far too large", func(_ *fixture, req *wire.Request) {
			req.Body = bytes.Repeat([]byte("x"), 100*maxBytes)
		}, wire.Verdict_NotRun, "TooLarge"},
		{"headers too large", func(_ *fixture, req *wire.Request) {
			req.Headers = []*wire.Header{{Name: "X", Value: strings.Repeat("x", maxBytes)}}
		}, wire.Verdict_NotRun, "TooLarge"},
		{"body changed on the way", func(_ *fixture, req *wire.Request) { req.Body[0]++ }, wire.Verdict_NotRun, "Malformed"},
		{"header that smuggles another", func(_ *fixture, req *wire.Request) {
			req.Headers = []*wire.Header{{Name: "X", Value: "a\r\nY: b"}}
		}, wire.Verdict_NotRun, "Malformed"},
		{"header name with a space", func(_ *fixture, req *wire.Request) {
			req.Headers = []*wire.Header{{Name: "X Y", Value: "a"}}
		}, wire.Verdict_NotRun, "Malformed"},
		{"method that smuggles a line", func(_ *fixture, req *wire.Request) { req.Method = "GET / HTTP/1.1\r\n" }, wire.Verdict_NotRun, "Malformed"},
		{"path of another host", func(_ *fixture, req *wire.Request) { req.Path = "http://elsewhere/" }, wire.Verdict_NotRun, "Malformed"},
		{"no attempt ID", func(_ *fixture, req *wire.Request) { req.AttemptID = "" }, wire.Verdict_NotRun, "Malformed"},
		{"attempt ID too long", func(_ *fixture, req *wire.Request) {
			req.AttemptID = strings.Repeat("x", maxIDBytes+1)
		}, wire.Verdict_NotRun, "Malformed"},
		{"deadline passed", func(_ *fixture, req *wire.Request) { req.RemainingMillis = 0 }, wire.Verdict_NotRun, "DeadlinePassed"},
		{"no credit", func(_ *fixture, req *wire.Request) { req.Credit = nil }, wire.Verdict_NotRun, "EarlierIncarnation"},
		{"earlier incarnation", func(_ *fixture, req *wire.Request) { req.Credit.Incarnation-- }, wire.Verdict_NotRun, "EarlierIncarnation"},
		{"expired credit", func(_ *fixture, req *wire.Request) { req.Credit.ExpiresAtTick = 0 }, wire.Verdict_NotRun, "CreditExpired"},
		{"another service", func(_ *fixture, req *wire.Request) { req.Service = "desk" }, wire.Verdict_NotRun, "UnknownService"},
		{"both views stale", func(r *fixture, req *wire.Request) {
			r.view.Store(&admission.View{Version: 8, ColdLimit: 64, WarmLimit: 64})
			req.ViewFresh = false
		}, wire.Verdict_NotRun, "StaleConfiguration"},
		{"zone out", func(r *fixture, _ *wire.Request) {
			r.view.Store(&admission.View{Version: 8, FreshUntil: time.Now().Add(time.Hour), ZoneOut: true})
		}, wire.Verdict_NotRun, "ZoneOut"},
		{"closed before it arrives", func(r *fixture, req *wire.Request) {
			require.Equal(r.t, wire.AskState_AskClosed, r.queryAttempt(req, true).GetState())
		}, wire.Verdict_NotRun, "AttemptClosed"},
		{"fit copy of an unfit message", func(r *fixture, req *wire.Request) {
			invalid := proto.CloneOf(req)
			invalid.BodyDigest++
			a := r.do(invalid)
			a.requireRefused(r.t, wire.Verdict_NotRun, "Malformed")
		}, wire.Verdict_NotRun, "AttemptClosed"},
		{"doubled", func(r *fixture, req *wire.Request) {
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
			require.Equal(t, before, runs.Load(), "a refused request ran")
		})
	}

	t.Run("no message", func(t *testing.T) {
		t.Parallel()

		r := newFixture(t, httpTarget(t, ok), nil)
		resp, frames := r.openRaw(context.Background(), []byte("garbage"))
		defer resp.Body.Close()

		var a response
		a.readFrame(frames)
		a.requireRefused(t, wire.Verdict_NotRun, "Malformed")
	})
}

// blockingTarget is a target whose answer waits until it is let go on.
type blockingTarget struct {
	started  chan struct{}
	release  chan struct{}
	canceled chan struct{}
	requests atomic.Int64
}

func newBlockingTarget() *blockingTarget {
	return &blockingTarget{started: make(chan struct{}, 16), release: make(chan struct{}), canceled: make(chan struct{}, 16)}
}

// serve sends "first ", waits, and sends "last".
func (bt *blockingTarget) serve(contentType string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		bt.requests.Add(1)
		w.Header().Set("Content-Type", contentType)
		_, _ = io.WriteString(w, "first ")
		w.(http.Flusher).Flush()
		bt.started <- struct{}{}

		select {
		case <-bt.release:
			_, _ = io.WriteString(w, "last")
		case <-r.Context().Done():
			bt.canceled <- struct{}{}
		}
	}
}

// A target would go on for a caller who has left, or a booking would be cut off
// half-way because the entry's connection broke. The entry's connection ends while
// the target works; a booking's entry asks for the answer over a new one.
func TestEntryDisconnects(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name       string
		idempotent bool
		kind       string
		cancelled  bool
	}{
		{"repeatable request", true, "text/plain", true},
		{"stream", false, "text/event-stream", true},
		{"booking", false, "text/plain", false},
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
			require.Equal(t, "first ", a.body)
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
			require.Equal(t, "first last", string(r.queryAttempt(req, true).GetAnswer().GetBody()))
			require.EqualValues(t, 200, r.queryAttempt(req, true).GetAnswer().GetStatus())
			require.EqualValues(t, 1, bt.requests.Load())
		})
	}
}

// A slot would be held for good by an entry whose connection is open one way only,
// or has gone silent and takes nothing. The first closes its sending side, the
// second stops reading a large answer.
func TestUnreadableEntryReleasesSlot(t *testing.T) {
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

	t.Run("half-closed", func(t *testing.T) {
		t.Parallel()

		bt := newBlockingTarget()
		r := newFixture(t, httpTarget(t, bt.serve("text/plain")), nil)
		c := dial(t, r)
		<-bt.started
		require.NoError(t, c.(*net.TCPConn).CloseWrite())
		<-bt.canceled
	})
	t.Run("takes nothing", func(t *testing.T) {
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
		// What the sockets on the way buffer is bounded; the agent must not add to it.
		require.Less(t, sent.Load(), int64(64<<20))
		require.Eventually(t, func() bool { return r.agent.Dump().Load.InFlight == 0 }, 5*time.Second, time.Millisecond)
	})
}

// A target's VM would run out of memory: many entries send large requests at once.
// Past the bound they are refused before they are read.
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

	first.requireComplete(t, "first last")
	require.Eventually(t, func() bool {
		a := r.do(r.request("/draft", large))
		return a.end != nil
	}, 5*time.Second, time.Millisecond, "the room is free again")
}

// A caller would take a slow target for a dead one, or a dead one for a slow one.
// While the target says nothing, the entry hears heartbeats.
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

	a.requireComplete(t, "first last")
}

// A booking that ran would be denied, or made again: the agent restarts while it
// runs. Of the former incarnation nothing is known, and nothing of it is let in.
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
		require.Nil(t, a.end, "a cut answer was ended as whole")
	}

	resp.Body.Close()

	previous := r.agent
	r.agent = &Agent{
		ID: previous.ID, Zone: previous.Zone, Incarnation: previous.Incarnation + 1, Address: previous.Address, View: previous.View,
		Settings: Settings{Admission: admission.Settings{AnnounceTimeout: time.Hour}},
	}
	r.start()

	require.Equal(t, wire.AskState_AskUnknown, r.queryAttempt(req, true).GetState())

	// An entry sends an attempt once; this is its next one, on a credit of the former agent.
	next := proto.CloneOf(req)
	next.AttemptID = "next"
	a = r.do(next)
	a.requireRefused(t, wire.Verdict_NotRun, "EarlierIncarnation")
	require.EqualValues(t, 1, bt.requests.Load())
	close(bt.release)
}
