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
	// shortReadTimeout is the read timeout in tests of the timeout itself. All other tests
	// use longReadTimeout, so that a stall of a busy machine is not taken for an
	// unresponsive agent.
	shortReadTimeout = time.Second
	longReadTimeout  = time.Minute
)

// scriptedAnswer writes the answer of a scripted agent.
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

// reset aborts the connection in the middle of the answer.
func (s *scriptedAnswer) reset() { panic(http.ErrAbortHandler) }

func head(id string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{AttemptID: id, Status: http.StatusOK}}}
}

func data(b string) *wire.Frame { return &wire.Frame{Kind: &wire.Frame_Data{Data: []byte(b)}} }

func heartbeat(id string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{AttemptID: id}}}
}

func end(id, complete string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_End{End: &wire.End{AttemptID: id, Length: uint64(len(complete)), Digest: xxhash.Sum64String(complete)}}}
}

func refusal(id string, v wire.Verdict) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{AttemptID: id, Verdict: v, Cause: string(verdict.CauseOverload)}}}
}

// agent is a scripted agent on the loopback interface. It counts its connections.
type agent struct {
	address     netip.AddrPort
	connections atomic.Int32
}

func newAgent(t *testing.T, answer func(s *scriptedAnswer)) *agent {
	a := &agent{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == agentclient.RequestPath {
			_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after reading the body
		}

		answer(&scriptedAnswer{w: w, r: r})
	}))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			a.connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	a.address = netip.MustParseAddrPort(server.Listener.Addr().String())

	return a
}

func newClient(t *testing.T) *agentclient.Client {
	c := &agentclient.Client{ReadTimeout: longReadTimeout, DialTimeout: time.Second, IdleConnTimeout: time.Minute}
	t.Cleanup(c.Close)

	return c
}

// recorder collects the data passed to its receiver. It sleeps for delay before each
// part, like a slow caller.
type recorder struct {
	got   string
	delay time.Duration
}

func (r *recorder) receiver() agentclient.Receiver {
	return agentclient.Receiver{
		Head: func(*wire.Head) error { return nil },
		Data: func(b []byte) error {
			time.Sleep(r.delay)

			r.got += string(b)

			return nil
		},
	}
}

// The agent or the network delays, truncates, corrupts or crosses an answer. The
// caller must get the complete answer to its own request, or a verdict that is true.
// If a booking that ran were reported as NotRun, it would be made a second time.
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
		rec     string
		// reused says that the next request goes over the same connection.
		reused bool
	}{
		{"complete", complete, verdict.Ran, "", "abcd", true},
		{"refused", func(s *scriptedAnswer) { s.frames(refusal(ownAttempt, wire.Verdict_NotRun)) }, verdict.NotRun, verdict.CauseOverload, "", true},
		{"refused without an attempt ID", func(s *scriptedAnswer) { s.frames(refusal("", wire.Verdict_NotRun)) }, verdict.MayHaveRun, verdict.CauseOverload, "", true},
		{"refusal for another attempt", func(s *scriptedAnswer) { s.frames(refusal(otherAttempt, wire.Verdict_NotRun)) }, verdict.MayHaveRun, verdict.CauseCrossed, "", false},
		{"answer to another attempt", func(s *scriptedAnswer) { s.frames(head(otherAttempt), data("xy"), end(otherAttempt, "xy")) }, verdict.MayHaveRun, verdict.CauseCrossed, "", false},
		{"heartbeat of another attempt", func(s *scriptedAnswer) { s.frames(heartbeat(otherAttempt)) }, verdict.MayHaveRun, verdict.CauseCrossed, "", false},
		{"end of another attempt", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab"), end(otherAttempt, "ab")) }, verdict.MayHaveRun, verdict.CauseCrossed, "ab", false},
		{"unresponsive from the start", hang, verdict.MayHaveRun, verdict.CauseSilent, "", false},
		{"unresponsive after some data", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab")); hang(s) }, verdict.MayHaveRun, verdict.CauseSilent, "ab", false},
		{"reset before the answer", func(s *scriptedAnswer) { s.reset() }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"reset after some data", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab")); s.reset() }, verdict.MayHaveRun, verdict.CauseBroken, "ab", false},
		{"no end frame", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab")) }, verdict.MayHaveRun, verdict.CauseBroken, "ab", false},
		{"empty body", func(*scriptedAnswer) {}, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"data lost", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab"), end(ownAttempt, "abcd")) }, verdict.MayHaveRun, verdict.CauseBroken, "ab", false},
		{"data corrupted", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("xb"), end(ownAttempt, "ab")) }, verdict.MayHaveRun, verdict.CauseBroken, "xb", false},
		{"data before head", func(s *scriptedAnswer) { s.frames(data("ab"), end(ownAttempt, "ab")) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"end before head", func(s *scriptedAnswer) { s.frames(end(ownAttempt, "")) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"two heads", func(s *scriptedAnswer) { s.frames(head(ownAttempt), head(ownAttempt)) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"unknown frame kind", func(s *scriptedAnswer) { s.frames(&wire.Frame{}) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"bytes that are not a frame", func(s *scriptedAnswer) { _, _ = s.w.Write([]byte("\x05hello")) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"frame of 2 MiB", func(s *scriptedAnswer) { s.frames(head(ownAttempt), data(string(make([]byte, 2<<20)))) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"wrong status", func(s *scriptedAnswer) { s.w.WriteHeader(http.StatusForbidden) }, verdict.MayHaveRun, verdict.CauseBroken, "", false},
		{"bytes after the end frame", func(s *scriptedAnswer) { complete(s); s.frames(head(otherAttempt)) }, verdict.Ran, "", "abcd", false},
	}

	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()

			a, client, rec := newAgent(t, tc.answer), newClient(t), &recorder{}
			if tc.cause == verdict.CauseSilent {
				client.ReadTimeout = shortReadTimeout
			}

			res := client.Send(t.Context(), a.address, &wire.Request{AttemptID: ownAttempt}, rec.receiver())

			if tc.cause == "" {
				require.Nil(t, res.Err)
			} else {
				require.NotNil(t, res.Err)
				require.Equal(t, tc.cause, res.Err.Cause, "%v", res.Err)
				require.Equal(t, tc.verdict, res.Err.Verdict)
			}

			require.Equal(t, tc.rec, rec.got)

			_ = client.Send(t.Context(), a.address, &wire.Request{AttemptID: ownAttempt}, (&recorder{}).receiver())
			require.Equal(t, tc.reused, a.connections.Load() == 1, "%d connections", a.connections.Load())
		})
	}
}

// A slow caller takes longer to accept one part of the answer than the read timeout.
// The agent has sent everything, so the answer must be complete and the attempt must
// not fail as unresponsive.
func TestSlowCallerIsNotAReadTimeout(t *testing.T) {
	t.Parallel()

	a := newAgent(t, func(s *scriptedAnswer) { s.frames(head(ownAttempt), data("ab"), data("cd"), end(ownAttempt, "abcd")) })
	rec := &recorder{delay: 2 * shortReadTimeout}
	client := newClient(t)
	client.ReadTimeout = shortReadTimeout
	res := client.Send(t.Context(), a.address, &wire.Request{AttemptID: ownAttempt}, rec.receiver())
	require.Nil(t, res.Err)
	require.Equal(t, "abcd", rec.got)
}

// The agent's process has ended and its VM refuses the connection. Nothing was sent,
// so the request may go to another target.
func TestRefusedDialIsNotRun(t *testing.T) {
	t.Parallel()

	address, err := loopback.Address()
	require.NoError(t, err)

	res := newClient(t).Send(t.Context(), address, &wire.Request{AttemptID: ownAttempt}, (&recorder{}).receiver())
	require.NotNil(t, res.Err)
	require.Equal(t, verdict.NotRun, res.Err.Verdict)
	require.Equal(t, verdict.CauseTargetDown, res.Err.Cause)
}

// The caller disconnects while its request is in flight. The request may have run.
func TestCanceledRequestMayHaveRun(t *testing.T) {
	t.Parallel()

	ctx, stop := context.WithCancel(t.Context())
	a := newAgent(t, func(s *scriptedAnswer) { stop(); <-s.r.Context().Done() })
	res := newClient(t).Send(ctx, a.address, &wire.Request{AttemptID: ownAttempt}, (&recorder{}).receiver())
	require.NotNil(t, res.Err)
	require.Equal(t, verdict.MayHaveRun, res.Err.Verdict)
	require.Equal(t, verdict.CauseCancelled, res.Err.Cause)
}

// askServer answers every Ask with AskClosed.
type askServer struct {
	wire.Agent
}

func (askServer) Ask(context.Context, *wire.AskRequest) (*wire.AskResponse, error) {
	return &wire.AskResponse{State: wire.AskState_AskClosed}, nil
}

// A middlebox between entry and agent has dropped the state of a connection, so that
// nothing arrives on it any more. Each query for the outcome of the request must use
// a new connection.
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
		resp, err := client.QueryAttempt(t.Context(), a.address, &wire.AskRequest{AttemptID: ownAttempt})
		require.NoError(t, err)
		require.Equal(t, wire.AskState_AskClosed, resp.GetState())
	}

	mu.Lock()
	defer mu.Unlock()

	require.Len(t, peers, 3)
}
