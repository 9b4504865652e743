package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/agentclient"
	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// shortReadTimeout is how long the entry waits for an unresponsive agent in tests of
// exactly that. All other tests use longReadTimeout, so that a stall of a busy machine
// is not taken for an unresponsive agent.
const (
	shortReadTimeout = time.Second
	longReadTimeout  = time.Minute
)

// withShortReadTimeout sets the entry's read timeout for agents to shortReadTimeout.
func withShortReadTimeout(e *Entry) { e.Agents.ReadTimeout = shortReadTimeout }

// fakeAgent answers requests by a script. The script has one behaviour for each
// request, shared with the sibling agents.
type fakeAgent struct {
	id     string
	server *httptest.Server
	*agentScript
}

// agentScript is the state that siblings share.
type agentScript struct {
	mu         sync.Mutex
	behaviours []behaviour
	requests   []*wire.Request
	// askResponses are the successive responses to Ask. The last one is repeated.
	askResponses []*wire.AskResponse
	askCount     int
}

// behaviour defines how a fake agent handles one request.
type behaviour func(a *fakeAgent, s *answerWriter)

// answerWriter writes the frames of one answer.
type answerWriter struct {
	w       http.ResponseWriter
	r       *http.Request
	request *wire.Request
	digest  *xxhash.Digest
	length  uint64
}

func newFakeAgent(t testing.TB, id string, behaviours ...behaviour) *fakeAgent {
	t.Helper()

	return (&agentScript{behaviours: behaviours}).agent(t, id)
}

// sibling returns another agent with the same script.
func (a *fakeAgent) sibling(t testing.TB, id string) *fakeAgent { return a.agent(t, id) }

func (s *agentScript) agent(t testing.TB, id string) *fakeAgent {
	t.Helper()

	a := &fakeAgent{id: id, agentScript: s}
	mux := http.NewServeMux()
	mux.HandleFunc(agentclient.RequestPath, a.serve)
	mux.Handle(wire.AgentPathPrefix, wire.NewAgentServer(a))
	a.server = httptest.NewServer(mux)
	t.Cleanup(func() {
		a.server.CloseClientConnections()
		a.server.Close()
	})

	return a
}

func (a *fakeAgent) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(a.server.URL, "http://"))
}

func (a *fakeAgent) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	req := &wire.Request{}
	_ = proto.Unmarshal(body, req)

	a.mu.Lock()
	n := len(a.requests)
	a.requests = append(a.requests, req)
	behave := a.behaviours[min(n, len(a.behaviours)-1)]
	a.mu.Unlock()

	behave(a, &answerWriter{w: w, r: r, request: req, digest: xxhash.New()})
}

func (a *fakeAgent) received() []*wire.Request {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.requests
}

// Grant grants a credit to every entry.
func (a *fakeAgent) Grant(_ context.Context, r *wire.GrantRequest) (*wire.GrantResponse, error) {
	return &wire.GrantResponse{Credit: &wire.Credit{
		AgentID: a.id, Incarnation: 1, EntryID: r.GetEntryID(), Serial: 1, ExpiresAtTick: 1000, Slots: 64, RemainingMillis: 60_000,
	}}, nil
}

// Ask returns the next of askResponses.
func (a *fakeAgent) Ask(context.Context, *wire.AskRequest) (*wire.AskResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	r := a.askResponses[min(a.askCount, len(a.askResponses)-1)]
	a.askCount++

	return r, nil
}

// Give refuses every order.
func (a *fakeAgent) Give(context.Context, *wire.Order) (*wire.OrderResponse, error) {
	return &wire.OrderResponse{Cause: "no engine"}, nil
}

func (s *answerWriter) frame(f *wire.Frame) {
	_, _ = protodelim.MarshalTo(s.w, f)
	_ = http.NewResponseController(s.w).Flush()
}

func (s *answerWriter) head(status int32, contentType string) {
	s.headWith(status, &wire.Header{Name: "Content-Type", Value: []byte(contentType)})
}

func (s *answerWriter) headWith(status int32, headers ...*wire.Header) {
	s.frame(&wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{
		AttemptID: s.request.GetAttemptID(), Status: status, Headers: headers,
	}}})
}

// headOfAttempt writes the head of the answer to another attempt.
func (s *answerWriter) headOfAttempt(id string) {
	s.frame(&wire.Frame{Kind: &wire.Frame_Head{Head: &wire.Head{AttemptID: id, Status: http.StatusOK}}})
}

// headWithLength announces an answer of length bytes.
func (s *answerWriter) headWithLength(contentType string, length int) {
	s.headWith(http.StatusOK,
		&wire.Header{Name: "Content-Type", Value: []byte(contentType)},
		&wire.Header{Name: "Content-Length", Value: []byte(strconv.Itoa(length))})
}

// refuse ends an answer as broken.
func (s *answerWriter) refuse() {
	s.frame(&wire.Frame{Kind: &wire.Frame_Refusal{Refusal: &wire.Refusal{
		AttemptID: s.request.GetAttemptID(), Verdict: wire.Verdict_MayHaveRun, Cause: string(verdict.CauseBroken),
	}}})
}

func (s *answerWriter) data(text string) {
	_, _ = s.digest.WriteString(text)
	s.length += uint64(len(text))
	s.frame(&wire.Frame{Kind: &wire.Frame_Data{Data: []byte(text)}})
}

func (s *answerWriter) end() {
	s.frame(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{
		AttemptID: s.request.GetAttemptID(), Length: s.length, Digest: s.digest.Sum64(),
	}}})
}

// stall sends nothing more until the entry closes the connection.
func (s *answerWriter) stall() { <-s.r.Context().Done() }

func (s *answerWriter) breakConnection() { panic(http.ErrAbortHandler) }

// fixture is a running entry with fake agents and with claims in memory.
type fixture struct {
	t     testing.TB
	entry *Entry
	base  string
	stop  context.CancelFunc
	done  chan error
}

const (
	streamService        = "assist"
	nonIdempotentService = "desk"
)

var testServices = map[string]*wire.Service{
	streamService:        {Name: streamService, IdempotentCalls: []string{"POST /v1/drafts"}, Resumable: true},
	nonIdempotentService: {Name: nonIdempotentService, IdempotentCalls: []string{"GET /v1/*"}},
}

// newFixture starts an entry whose targets are agents, all of the given service.
func newFixture(t testing.TB, service string, change func(*Entry), agents ...*fakeAgent) *fixture {
	t.Helper()

	var lc net.ListenConfig

	listener, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)

	claims := newClaimServer()
	chooser := &routing.Chooser{Rand: rand.New(rand.NewPCG(1, 1))}
	e := &Entry{
		ID: "entry-1", Zone: "muscat-a", Listener: listener, Seed: 1,
		Agents:  &agentclient.Client{ReadTimeout: longReadTimeout, DialTimeout: time.Second, IdleConnTimeout: time.Second},
		Chooser: chooser, Budget: &retries.Budget{Rand: rand.New(rand.NewPCG(1, 2))},
		Claim: claims.Claim, Settle: claims.Settle, Limits: DefaultLimits(), Logger: logs.Discard(),
		View: func() View {
			return View{
				Version: 7, ValidUntil: time.Now().Add(time.Hour),
				Service:   func(name string) *wire.Service { return testServices[name] },
				Workspace: func(string) *wire.Workspace { return nil },
				Agent:     func(string) *wire.Node { return nil },
			}
		},
	}

	if change != nil {
		change(e)
	}

	chooser.ChangeTargets(targetsOf(service, agents))

	ctx, cancel := context.WithCancel(context.Background())
	f := &fixture{t: t, entry: e, base: "http://" + listener.Addr().String(), stop: cancel, done: make(chan error, 1)}

	go func() { f.done <- e.Run(ctx) }()

	t.Cleanup(cancel)

	return f
}

func newClaimServer() *control.Server {
	log := &control.MemoryLog{}
	s := &control.Server{Propose: log.Propose, ReadIndex: log.ReadIndex}
	s.Init()
	log.Apply = s.Apply

	return s
}

func targetsOf(service string, agents []*fakeAgent) routing.TargetsChanged {
	var ev routing.TargetsChanged

	for _, a := range agents {
		ev.Targets = append(ev.Targets, routing.Target{
			AgentID: a.id, Service: service, Address: a.address(), Zone: "muscat-a", Capacity: 64, Incarnation: 1,
		})
	}

	return ev
}

// callerResult is the response that a caller received.
type callerResult struct {
	status     int
	verdict    string
	cause      string
	retryAfter string
	body       string
	keyWindow  string
	// cutOff is set if the body ended before its end.
	cutOff bool
}

// ownClient returns a client whose connections no other test closes. An httptest.Server that is closed ends
// the idle connections of http.DefaultTransport.
func ownClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
}

func (f *fixture) post(path, body string, headers ...string) callerResult {
	f.t.Helper()

	return f.postWith(ownClient(), path, body, headers...)
}

// postKept sends a request on a connection that has already carried another one.
func (f *fixture) postKept(path, body string, headers ...string) callerResult {
	f.t.Helper()

	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()

	client := &http.Client{Transport: transport}
	require.Equal(f.t, http.StatusNotFound, f.postWith(client, "unknown/v1/drafts", "{}").status)

	return f.postWith(client, path, body, headers...)
}

// postHTTP2 sends a request by HTTP/2 without TLS.
func (f *fixture) postHTTP2(path, body string, headers ...string) callerResult {
	f.t.Helper()

	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)

	defer transport.CloseIdleConnections()

	return f.postWith(&http.Client{Transport: transport}, path, body, headers...)
}

func (f *fixture) postWith(client *http.Client, path, body string, headers ...string) callerResult {
	f.t.Helper()

	q, err := http.NewRequest(http.MethodPost, f.base+"/"+path, strings.NewReader(body))
	require.NoError(f.t, err)

	for i := 0; i < len(headers); i += 2 {
		q.Header.Set(headers[i], headers[i+1])
	}

	resp, err := client.Do(q)
	require.NoError(f.t, err)

	defer resp.Body.Close()

	text, err := io.ReadAll(bufio.NewReader(resp.Body))

	if resp.Header.Get(HeaderCause) != "" {
		// The body of a refusal contains the request ID. Its other fields are also in
		// the headers, so the body is not compared.
		require.Contains(f.t, string(text), resp.Header.Get(HeaderRequestID))

		text = nil
	}

	return callerResult{
		keyWindow: resp.Header.Get(HeaderKeyWindow),
		status:    resp.StatusCode, verdict: resp.Header.Get(HeaderVerdict), cause: resp.Header.Get(HeaderCause),
		retryAfter: resp.Header.Get("Retry-After"), body: string(text), cutOff: err != nil,
	}
}

func (f *fixture) postKeyedRequest(key string) callerResult {
	f.t.Helper()

	return f.post(nonIdempotentService+"/v1/bookings", `{"Slot":"kiln-2"}`, HeaderKey, key)
}

func (f *fixture) postStreamRequest() callerResult {
	f.t.Helper()

	return f.post(streamService+"/v1/drafts", `{"Prompt":"stave 4"}`)
}

// streamEvents returns the events with the IDs first to last.
func streamEvents(first, last int) string {
	var b strings.Builder
	for n := first; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: word%d\n\n", n, n)
	}

	return b.String()
}
