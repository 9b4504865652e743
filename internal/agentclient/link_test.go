package agentclient_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/parsleygate/parsleygate/internal/agentclient"
	"github.com/parsleygate/parsleygate/internal/loopback"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	mine   = "attempt-1"
	others = "attempt-2"
	// silence is how long a silent agent is waited for in tests of just that, patience
	// in all others: a busy machine's pause must not pass for the agent's.
	silence  = time.Second
	patience = time.Minute
)

// stream is a scripted agent's answer under way.
type stream struct {
	w http.ResponseWriter
	r *http.Request
}

func (s *stream) frames(frames ...*wire.Frame) {
	for _, f := range frames {
		_, _ = protodelim.MarshalTo(s.w, f)
	}

	_ = http.NewResponseController(s.w).Flush()
}

// reset ends the connection in the middle.
func (s *stream) reset() { panic(http.ErrAbortHandler) }

func head(id string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{AttemptID: id, Status: http.StatusOK}}}
}

func data(b string) *wire.Frame { return &wire.Frame{Kind: &wire.Frame_Data{Data: []byte(b)}} }

func heartbeat(id string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{AttemptID: id}}}
}

func end(id, whole string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_End{End: &wire.End{AttemptID: id, Length: uint64(len(whole)), Digest: xxhash.Sum64String(whole)}}}
}

func refusal(id string, v wire.Verdict) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{AttemptID: id, Verdict: v, Cause: string(verdict.CauseOverload)}}}
}

// agent is a scripted agent on loopback that counts its connections.
type agent struct {
	address     netip.AddrPort
	connections atomic.Int32
}

func newAgent(t *testing.T, answer func(s *stream)) *agent {
	a := &agent{}
	web := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == agentclient.RequestPath {
			_, _ = io.Copy(io.Discard, r.Body) // only then does the server see the other end go
		}

		answer(&stream{w: w, r: r})
	}))
	web.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			a.connections.Add(1)
		}
	}
	web.Start()
	t.Cleanup(web.Close)
	a.address = netip.MustParseAddrPort(web.Listener.Addr().String())

	return a
}

func newLink(t *testing.T) *agentclient.Client {
	l := &agentclient.Client{ReadTimeout: patience, DialTimeout: time.Second, IdleConnTimeout: time.Minute}
	t.Cleanup(l.Close)

	return l
}

// caller collects what is passed on.
type caller struct {
	got   string
	pause time.Duration
}

func (c *caller) receiver() agentclient.Receiver {
	return agentclient.Receiver{
		Head: func(*wire.Head) error { return nil },
		Data: func(b []byte) error {
			time.Sleep(c.pause)

			c.got += string(b)

			return nil
		},
	}
}

// Whatever an agent, or what stands between, makes of an answer, the caller gets
// the whole answer to its own request or is told what became of it: a booking
// reported as not run that ran would be made again, and a kiln fired twice.
func TestAnswers(t *testing.T) {
	t.Parallel()

	whole := func(s *stream) { s.frames(head(mine), data("ab"), heartbeat(mine), data("cd"), end(mine, "abcd")) }
	stay := func(s *stream) { <-s.r.Context().Done() }

	cases := []struct {
		name    string
		answer  func(s *stream)
		verdict verdict.Verdict
		cause   verdict.Cause
		got     string
		// kept says that the connection is used again.
		kept bool
	}{
		{"whole", whole, verdict.Ran, "", "abcd", true},
		{"refused", func(s *stream) { s.frames(refusal(mine, wire.Verdict_NotRun)) }, verdict.NotRun, verdict.CauseOverload, "", true},
		{"refused without a name", func(s *stream) { s.frames(refusal("", wire.Verdict_NotRun)) }, verdict.MayHaveRun, verdict.CauseOverload, "", true},
		{"another's refusal", func(s *stream) { s.frames(refusal(others, wire.Verdict_NotRun)) }, verdict.MayHaveRun, verdict.CauseCrossed, "", false},
		{"another's answer", func(s *stream) { s.frames(head(others), data("xy"), end(others, "xy")) }, verdict.MayHaveRun, verdict.CauseCrossed, "", false},
		{"another's heartbeat", func(s *stream) { s.frames(heartbeat(others)) }, verdict.MayHaveRun, verdict.CauseCrossed, "", false},
		{"another's end", func(s *stream) { s.frames(head(mine), data("ab"), end(others, "ab")) }, verdict.MayHaveRun, verdict.CauseCrossed, "ab", false},
		{"silent at once", stay, verdict.MayHaveRun, verdict.CauseSilent, "", false},
		{"silent in the middle", func(s *stream) { s.frames(head(mine), data("ab")); stay(s) }, verdict.MayHaveRun, verdict.CauseSilent, "ab", false},
		{"reset before an answer", func(s *stream) { s.reset() }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"reset in the middle", func(s *stream) { s.frames(head(mine), data("ab")); s.reset() }, verdict.MayHaveRun, verdict.CauseBroken, "ab", false},
		{"no end", func(s *stream) { s.frames(head(mine), data("ab")) }, verdict.MayHaveRun, verdict.CauseBroken, "ab", false},
		{"nothing", func(*stream) {}, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"data lost", func(s *stream) { s.frames(head(mine), data("ab"), end(mine, "abcd")) }, verdict.MayHaveRun, verdict.CauseBroken, "ab", false},
		{"data mixed", func(s *stream) { s.frames(head(mine), data("xb"), end(mine, "ab")) }, verdict.MayHaveRun, verdict.CauseBroken, "xb", false},
		{"data before head", func(s *stream) { s.frames(data("ab"), end(mine, "ab")) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"end before head", func(s *stream) { s.frames(end(mine, "")) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"two heads", func(s *stream) { s.frames(head(mine), head(mine)) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"unknown frame", func(s *stream) { s.frames(&wire.Frame{}) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"no frame", func(s *stream) { _, _ = s.w.Write([]byte("\x05hello")) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"frame of 2 MiB", func(s *stream) { s.frames(head(mine), data(string(make([]byte, 2<<20)))) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"wrong status", func(s *stream) { s.w.WriteHeader(http.StatusForbidden) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"bytes behind the end", func(s *stream) { whole(s); s.frames(head(others)) }, verdict.Ran, "", "abcd", false},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			a, l, got := newAgent(t, c.answer), newLink(t), &caller{}
			if c.cause == verdict.CauseSilent {
				l.ReadTimeout = silence
			}

			res := l.Send(t.Context(), a.address, &wire.Request{AttemptID: mine}, got.receiver())

			if c.cause == "" {
				require.Nil(t, res.Err)
			} else {
				require.NotNil(t, res.Err)
				require.Equal(t, c.cause, res.Err.Cause, "%v", res.Err)
				require.Equal(t, c.verdict, res.Err.Verdict)
			}

			require.Equal(t, c.got, got.got)

			_ = l.Send(t.Context(), a.address, &wire.Request{AttemptID: mine}, (&caller{}).receiver())
			require.Equal(t, c.kept, a.connections.Load() == 1, "%d connections", a.connections.Load())
		})
	}
}

// A caller on a bad line takes longer over one part than an agent may be silent.
// The agent has sent everything and must not be blamed: the answer is whole.
func TestSlowCaller(t *testing.T) {
	t.Parallel()

	a := newAgent(t, func(s *stream) { s.frames(head(mine), data("ab"), data("cd"), end(mine, "abcd")) })
	got := &caller{pause: 2 * silence}
	l := newLink(t)
	l.ReadTimeout = silence
	res := l.Send(t.Context(), a.address, &wire.Request{AttemptID: mine}, got.receiver())
	require.Nil(t, res.Err)
	require.Equal(t, "abcd", got.got)
}

// An agent's process is gone, and its VM refuses the connection: nothing was
// sent, so the caller may be served by another target.
func TestDialRefused(t *testing.T) {
	t.Parallel()

	address, err := loopback.Address()
	require.NoError(t, err)

	res := newLink(t).Send(t.Context(), address, &wire.Request{AttemptID: mine}, (&caller{}).receiver())
	require.NotNil(t, res.Err)
	require.Equal(t, verdict.NotRun, res.Err.Verdict)
	require.Equal(t, verdict.CauseTargetDown, res.Err.Cause)
}

// A caller hangs up while its booking is on the way: it may have run.
func TestCancelled(t *testing.T) {
	t.Parallel()

	ctx, stop := context.WithCancel(t.Context())
	a := newAgent(t, func(s *stream) { stop(); <-s.r.Context().Done() })
	res := newLink(t).Send(ctx, a.address, &wire.Request{AttemptID: mine}, (&caller{}).receiver())
	require.NotNil(t, res.Err)
	require.Equal(t, verdict.MayHaveRun, res.Err.Verdict)
	require.Equal(t, verdict.CauseCancelled, res.Err.Cause)
}

// asked is an agent that answers Ask, and is silent on the first connection.
type asked struct {
	wire.Agent
}

func (asked) Ask(context.Context, *wire.AskRequest) (*wire.AskResponse, error) {
	return &wire.AskResponse{State: wire.AskState_AskClosed}, nil
}

// What stands between entry and agent has lost track of one connection, which is
// silent for good. The question what became of the request goes over a new one.
func TestAskOverNewConnection(t *testing.T) {
	t.Parallel()

	var (
		mu    sync.Mutex
		peers = make(map[string]bool)
	)

	service := wire.NewAgentServer(asked{})
	a := newAgent(t, func(s *stream) {
		mu.Lock()
		peers[s.r.RemoteAddr] = true
		mu.Unlock()

		if s.r.URL.Path == agentclient.RequestPath {
			s.frames(head(mine), end(mine, ""))

			return
		}

		service.ServeHTTP(s.w, s.r)
	})
	l := newLink(t)

	require.Nil(t, l.Send(t.Context(), a.address, &wire.Request{AttemptID: mine}, (&caller{}).receiver()).Err)

	for range 2 {
		r, err := l.Ask(t.Context(), a.address, &wire.AskRequest{AttemptID: mine})
		require.NoError(t, err)
		require.Equal(t, wire.AskState_AskClosed, r.GetState())
	}

	mu.Lock()
	defer mu.Unlock()

	require.Len(t, peers, 3)
}
