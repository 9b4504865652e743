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
	ownAttempt   = "attempt-1"
	otherAttempt = "attempt-2"
	// shortReadTimeout is how long a silent agent is waited for in tests of just that, patience
	// in all others: a busy machine's pause must not pass for the agent's.
	shortReadTimeout = time.Second
	longReadTimeout  = time.Minute
)

// scriptedAnswer is a scripted agent's answer under way.
type scriptedAnswer struct {
	w http.ResponseWriter
	r *http.Request
}

func (s *scriptedAnswer) frames(frames ...*wire.Frame) {
	for _, f := range frames {
		_, _ = protodelim.MarshalTo(s.w, f)
	}

	_ = http.NewResponseController(s.w).Flush()
}

// reset ends the connection in the middle.
func (s *scriptedAnswer) reset() { panic(http.ErrAbortHandler) }

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

func newAgent(t *testing.T, answer func(s *scriptedAnswer)) *agent {
	a := &agent{}
	web := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == agentclient.RequestPath {
			_, _ = io.Copy(io.Discard, r.Body) // only then does the server see the other end go
		}

		answer(&scriptedAnswer{w: w, r: r})
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

func newClient(t *testing.T) *agentclient.Client {
	c := &agentclient.Client{ReadTimeout: longReadTimeout, DialTimeout: time.Second, IdleConnTimeout: time.Minute}
	t.Cleanup(c.Close)

	return c
}

// recorder collects what is passed on.
type recorder struct {
	got   string
	delay time.Duration
}

func (c *recorder) receiver() agentclient.Receiver {
	return agentclient.Receiver{
		Head: func(*wire.Head) error { return nil },
		Data: func(b []byte) error {
			time.Sleep(c.delay)

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

	complete := func(s *scriptedAnswer) {
		s.frames(head(ownAttempt), data("ab"), heartbeat(ownAttempt), data("cd"), end(ownAttempt, "abcd"))
	}
	hang := func(s *scriptedAnswer) { <-s.r.Context().Done() }

	cases := []struct {
		name    string
		answer  func(s *scriptedAnswer)
		verdict verdict.Verdict
		cause   verdict.Cause
		got     string
		// kept says that the connection is used again.
		kept bool
	}{
		{"whole", complete, verdict.Ran, "", "abcd", true},
		{"refused", func(s *scriptedAnswer) { s.frames(refusal(ownAttempt, wire.Verdict_NotRun)) }, verdict.NotRun, verdict.CauseOverload, "", true},
		{"refused without a name", func(s *scriptedAnswer) { s.frames(refusal("", wire.Verdict_NotRun)) }, verdict.MayHaveRun, verdict.CauseOverload, "", true},
		{"another's refusal", func(s *scriptedAnswer) { s.frames(refusal(otherAttempt, wire.Verdict_NotRun)) }, verdict.MayHaveRun, verdict.CauseCrossed, "", false},
		{"another's answer", func(s *scriptedAnswer) { s.frames(head(otherAttempt), data("xy"), end(otherAttempt, "xy")) }, verdict.MayHaveRun, verdict.CauseCrossed, "", false},
		{"another's heartbeat", func(s *scriptedAnswer) { s.frames(heartbeat(otherAttempt)) }, verdict.MayHaveRun, verdict.CauseCrossed, "", false},
		{"another's end", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab"), end(otherAttempt, "ab")) }, verdict.MayHaveRun, verdict.CauseCrossed, "ab", false},
		{"silent at once", hang, verdict.MayHaveRun, verdict.CauseSilent, "", false},
		{"silent in the middle", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab")); hang(s) }, verdict.MayHaveRun, verdict.CauseSilent, "ab", false},
		{"reset before an answer", func(s *scriptedAnswer) { s.reset() }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"reset in the middle", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab")); s.reset() }, verdict.MayHaveRun, verdict.CauseBroken, "ab", false},
		{"no end", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab")) }, verdict.MayHaveRun, verdict.CauseBroken, "ab", false},
		{"nothing", func(*scriptedAnswer) {}, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"data lost", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab"), end(ownAttempt, "abcd")) }, verdict.MayHaveRun, verdict.CauseBroken, "ab", false},
		{"data mixed", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("xb"), end(ownAttempt, "ab")) }, verdict.MayHaveRun, verdict.CauseBroken, "xb", false},
		{"data before head", func(s *scriptedAnswer) { s.frames(data("ab"), end(ownAttempt, "ab")) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"end before head", func(s *scriptedAnswer) { s.frames(end(ownAttempt, "")) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"two heads", func(s *scriptedAnswer) { s.frames(head(ownAttempt), head(ownAttempt)) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"unknown frame", func(s *scriptedAnswer) { s.frames(&wire.Frame{}) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"no frame", func(s *scriptedAnswer) { _, _ = s.w.Write([]byte("\x05hello")) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"frame of 2 MiB", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data(string(make([]byte, 2<<20)))) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"wrong status", func(s *scriptedAnswer) { s.w.WriteHeader(http.StatusForbidden) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"bytes behind the end", func(s *scriptedAnswer) { complete(s); s.frames(head(otherAttempt)) }, verdict.Ran, "", "abcd", false},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			a, client, got := newAgent(t, tc.answer), newClient(t), &recorder{}
			if tc.cause == verdict.CauseSilent {
				client.ReadTimeout = shortReadTimeout
			}

			res := client.Send(t.Context(), a.address, &wire.Request{AttemptID: ownAttempt}, got.receiver())

			if tc.cause == "" {
				require.Nil(t, res.Err)
			} else {
				require.NotNil(t, res.Err)
				require.Equal(t, tc.cause, res.Err.Cause, "%v", res.Err)
				require.Equal(t, tc.verdict, res.Err.Verdict)
			}

			require.Equal(t, tc.got, got.got)

			_ = client.Send(t.Context(), a.address, &wire.Request{AttemptID: ownAttempt}, (&recorder{}).receiver())
			require.Equal(t, tc.kept, a.connections.Load() == 1, "%d connections", a.connections.Load())
		})
	}
}

// A caller on a bad line takes longer over one part than an agent may be silent.
// The agent has sent everything and must not be blamed: the answer is whole.
func TestSlowCallerIsNotAReadTimeout(t *testing.T) {
	t.Parallel()

	a := newAgent(t, func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab"), data("cd"), end(ownAttempt, "abcd")) })
	got := &recorder{delay: 2 * shortReadTimeout}
	client := newClient(t)
	client.ReadTimeout = shortReadTimeout
	res := client.Send(t.Context(), a.address, &wire.Request{AttemptID: ownAttempt}, got.receiver())
	require.Nil(t, res.Err)
	require.Equal(t, "abcd", got.got)
}

// An agent's process is gone, and its VM refuses the connection: nothing was
// sent, so the caller may be served by another target.
func TestRefusedDialIsNotRun(t *testing.T) {
	t.Parallel()

	address, err := loopback.Address()
	require.NoError(t, err)

	res := newClient(t).Send(t.Context(), address, &wire.Request{AttemptID: ownAttempt}, (&recorder{}).receiver())
	require.NotNil(t, res.Err)
	require.Equal(t, verdict.NotRun, res.Err.Verdict)
	require.Equal(t, verdict.CauseTargetDown, res.Err.Cause)
}

// A caller hangs up while its booking is on the way: it may have run.
func TestCanceledRequestMayHaveRun(t *testing.T) {
	t.Parallel()

	ctx, stop := context.WithCancel(t.Context())
	a := newAgent(t, func(s *scriptedAnswer) { stop(); <-s.r.Context().Done() })
	res := newClient(t).Send(ctx, a.address, &wire.Request{AttemptID: ownAttempt}, (&recorder{}).receiver())
	require.NotNil(t, res.Err)
	require.Equal(t, verdict.MayHaveRun, res.Err.Verdict)
	require.Equal(t, verdict.CauseCancelled, res.Err.Cause)
}

// askServer is an agent that answers Ask, and is silent on the first connection.
type askServer struct {
	wire.Agent
}

func (askServer) Ask(context.Context, *wire.AskRequest) (*wire.AskResponse, error) {
	return &wire.AskResponse{State: wire.AskState_AskClosed}, nil
}

// What stands between entry and agent has lost track of one connection, which is
// silent for good. The question what became of the request goes over a new one.
func TestAskUsesNewConnection(t *testing.T) {
	t.Parallel()

	var (
		mu    sync.Mutex
		peers = make(map[string]bool)
	)

	service := wire.NewAgentServer(askServer{})
	a := newAgent(t, func(s *scriptedAnswer) {
		mu.Lock()
		peers[s.r.RemoteAddr] = true
		mu.Unlock()

		if s.r.URL.Path == agentclient.RequestPath {
			s.frames(head(ownAttempt), end(ownAttempt, ""))

			return
		}

		service.ServeHTTP(s.w, s.r)
	})
	client := newClient(t)

	require.Nil(t, client.Send(t.Context(), a.address, &wire.Request{AttemptID: ownAttempt}, (&recorder{}).receiver()).Err)

	for range 2 {
		r, err := client.Ask(t.Context(), a.address, &wire.AskRequest{AttemptID: ownAttempt})
		require.NoError(t, err)
		require.Equal(t, wire.AskState_AskClosed, r.GetState())
	}

	mu.Lock()
	defer mu.Unlock()

	require.Len(t, peers, 3)
}
