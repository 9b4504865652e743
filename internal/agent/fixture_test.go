package agent

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	testService = "assist"
	testEntry   = "entry-1"
)

// fixture is an agent with a target, and a client that acts as an entry.
type fixture struct {
	t        testing.TB
	agent    *Agent
	client   *http.Client
	rpc      wire.Agent
	view     atomic.Pointer[admission.View]
	stop     context.CancelFunc
	runErr   chan error
	attempts atomic.Uint64
	// target is the address that announce announces.
	target netip.AddrPort
	bootID string
}

// newFixture starts an agent for target. configure may modify the agent before it runs.
func newFixture(t testing.TB, target netip.AddrPort, configure func(*Agent)) *fixture {
	t.Helper()

	r := &fixture{t: t, target: target, bootID: "boot-1", runErr: make(chan error, 1)}
	r.view.Store(&admission.View{Version: 7, FreshUntil: time.Now().Add(time.Hour), ColdLimit: 64, WarmLimit: 64})
	r.agent = &Agent{
		ID:          "agent-1",
		Zone:        "muscat-a",
		Incarnation: 3,
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		View:        func() admission.View { return *r.view.Load() },
	}
	r.agent.Settings.Admission.AnnounceTimeout = time.Hour

	if configure != nil {
		configure(r.agent)
	}

	r.start()

	return r
}

func (r *fixture) start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	runErr := r.runErr
	a := r.agent
	ended := make(chan struct{})

	go func() {
		defer close(ended)

		runErr <- a.Run(ctx)
	}()

	<-a.Ready()

	r.rpc = wire.NewAgentProtobufClient(r.url(""), r.client)
	r.announce(r.bootID)
	r.announce(r.bootID) // the core ignores InFlight in the first announcement
	r.t.Cleanup(func() {
		cancel()
		r.client.CloseIdleConnections()
		<-ended
	})
}

func (r *fixture) url(path string) string { return "http://" + r.agent.address().String() + path }

// announce posts an announcement of the target, with no requests in flight.
func (r *fixture) announce(bootID string) {
	r.t.Helper()
	r.post(AnnouncePath, `{"BootID":"`+bootID+`","Address":"`+r.target.String()+`","Service":"`+testService+
		`","Capacity":64,"InFlight":0}`, http.StatusNoContent)
}

func (r *fixture) post(path, body string, status int) {
	r.t.Helper()

	resp, err := r.client.Post(r.url(path), "application/json", strings.NewReader(body))
	require.NoError(r.t, err)

	respBody, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	require.Equal(r.t, status, resp.StatusCode, "%s", respBody)
}

// credit requests a credit of up to 8 slots.
func (r *fixture) credit() *wire.Credit {
	r.t.Helper()

	g, err := r.rpc.Grant(context.Background(), &wire.GrantRequest{EntryID: testEntry, Wanted: 8})
	require.NoError(r.t, err)

	return g.GetCredit()
}

// request returns an idempotent request with a new credit and a new attempt ID.
func (r *fixture) request(path, body string) *wire.Request {
	r.t.Helper()

	return &wire.Request{
		ID:              "caller-id",
		AttemptID:       "attempt-" + strconv.FormatUint(r.attempts.Add(1), 10),
		Credit:          r.credit(),
		Service:         testService,
		Method:          http.MethodPost,
		Path:            path,
		Body:            []byte(body),
		BodyDigest:      xxhash.Sum64String(body),
		Idempotent:      true,
		RemainingMillis: 20_000,
		ViewVersion:     7,
		ViewFresh:       true,
	}
}

// nonIdempotentRequest returns a request that must not be repeated.
func (r *fixture) nonIdempotentRequest(path, body string) *wire.Request {
	r.t.Helper()

	req := r.request(path, body)
	req.Idempotent = false

	return req
}

// response is a response as decoded from frames.
type response struct {
	head       *wire.Head
	body       string
	heartbeats int
	end        *wire.End
	refusal    *wire.Refusal
	err        error
}

// open sends req and returns a reader of its frames.
func (r *fixture) open(ctx context.Context, req *wire.Request) (*http.Response, *bufio.Reader) {
	r.t.Helper()

	raw, err := proto.Marshal(req)
	require.NoError(r.t, err)

	return r.openRaw(ctx, raw)
}

func (r *fixture) openRaw(ctx context.Context, raw []byte) (*http.Response, *bufio.Reader) {
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url(RequestPath), bytes.NewReader(raw))
	require.NoError(r.t, err)

	resp, err := r.client.Do(hr)
	require.NoError(r.t, err)

	return resp, bufio.NewReader(resp.Body)
}

// do sends req and reads its response to the end.
func (r *fixture) do(req *wire.Request) response {
	r.t.Helper()

	resp, frames := r.open(context.Background(), req)
	defer resp.Body.Close()

	var a response
	for a.end == nil && a.refusal == nil && a.err == nil {
		a.readFrame(frames)
	}

	return a
}

func (a *response) readFrame(frames *bufio.Reader) {
	var f wire.Frame
	if a.err = protodelim.UnmarshalFrom(frames, &f); a.err != nil {
		return
	}

	switch k := f.GetKind().(type) {
	case *wire.Frame_Head:
		a.head = k.Head
	case *wire.Frame_Data:
		a.body += string(k.Data)
	case *wire.Frame_Heartbeat:
		a.heartbeats++
	case *wire.Frame_End:
		a.end = k.End
	case *wire.Frame_Refusal:
		a.refusal = k.Refusal
	}
}

// requireComplete checks that the response is complete and has this body.
func (a *response) requireComplete(t testing.TB, body string) {
	t.Helper()
	require.NotNil(t, a.end, "refusal %v, error %v", a.refusal, a.err)
	require.Equal(t, body, a.body)
	require.EqualValues(t, len(body), a.end.GetLength())
	require.Equal(t, xxhash.Sum64String(body), a.end.GetDigest())
}

// requireRefused checks the verdict and cause of a refusal, and that the response was not
// marked as complete.
func (a *response) requireRefused(t testing.TB, v wire.Verdict, cause string) {
	t.Helper()
	require.NotNil(t, a.refusal, "answer %+v", a)
	require.Nil(t, a.end)
	require.Equal(t, cause, a.refusal.GetCause())
	require.Equal(t, v.String(), a.refusal.GetVerdict().String())
}

// queryAttempt queries the state of req's attempt, and closes the attempt if closeAttempt is
// set.
func (r *fixture) queryAttempt(req *wire.Request, closeAttempt bool) *wire.AskResponse {
	r.t.Helper()

	resp, err := r.rpc.Ask(context.Background(), &wire.AskRequest{
		AttemptID:           req.GetAttemptID(),
		Incarnation:         req.GetCredit().GetIncarnation(),
		CreditExpiresAtTick: req.GetCredit().GetExpiresAtTick(),
		Close:               closeAttempt,
	})
	require.NoError(r.t, err)

	return resp
}

// httpTarget serves h as the target, and echoes the request ID.
func httpTarget(t testing.TB, h http.HandlerFunc) netip.AddrPort {
	t.Helper()

	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		h(w, r)
	}))
	t.Cleanup(srv.Close)

	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

// rawTarget is a target whose responses are written byte by byte by script, which gets the
// connection and the request ID.
type rawTarget struct {
	ln net.Listener
	// conns counts the connections that carried a request.
	conns atomic.Int64
	wg    sync.WaitGroup
}

func newRawTarget(t testing.TB, script func(c net.Conn, id string)) *rawTarget {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	rt := &rawTarget{ln: ln}

	rt.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}

			rt.wg.Go(func() {
				defer c.Close()

				in := bufio.NewReader(c)
				for nth := 0; ; nth++ {
					hr, err := http.ReadRequest(in)
					if err != nil {
						return
					}

					if nth == 0 {
						rt.conns.Add(1)
					}

					_, _ = io.Copy(io.Discard, hr.Body)
					script(c, hr.Header.Get(HeaderRequestID))
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		rt.wg.Wait()
	})

	return rt
}

func (rt *rawTarget) addr() netip.AddrPort { return netip.MustParseAddrPort(rt.ln.Addr().String()) }
