package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Headers between the agent and its target.
const (
	// HeaderRequestID identifies the attempt. The target must echo it in its response.
	HeaderRequestID = "Parsleygate-Request-Id"
	// HeaderRemaining is the time until the caller's deadline, in milliseconds.
	HeaderRemaining = "Parsleygate-Remaining-Ms"
)

// maxIdleConns bounds the idle connections to the target.
const maxIdleConns = 64

// targetClient sends requests to the target. A non-idempotent request gets a new connection:
// the target might be closing a pooled one, and then it would be unknown whether the target
// read the request.
type targetClient struct {
	pooled    *http.Transport
	singleUse *http.Transport
	// memory bounds the heads of responses, together with what the clients of this process hold.
	memory *callers.Memory
}

func newTargetClient(s Settings, memory *callers.Memory) targetClient {
	dialer := &net.Dialer{Timeout: s.DialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err //nolint:wrapcheck // wrapped by http.Transport
		}

		return &requestConn{Conn: conn}, nil
	}
	pooled := &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        s.IdleTimeout,
		MaxResponseHeaderBytes: int64(s.MaxHeaderBytes),
	}
	singleUse := pooled.Clone()
	singleUse.DisableKeepAlives = true

	return targetClient{pooled: pooled, singleUse: singleUse, memory: memory}
}

func (tc targetClient) closeIdle() { tc.pooled.CloseIdleConnections() }

// discard closes the connection of a call, also if the transport has already returned it to its pool: as soon as a response
// has no body, or has been read to its end.
func (tc targetClient) discard(c *call) {
	c.closeConn()
	tc.closeIdle()
}

// call is one request to the target.
type call struct {
	attemptID string
	// gotConn is set once a connection was available, so that the target may have received
	// data.
	gotConn atomic.Bool
	// conn is the connection on which the request was sent.
	conn atomic.Pointer[requestConn]
	// head is charged for the head of the response; nil before the request is sent.
	head *callers.AnswerHead
}

// release ends the charge for the head of the response.
func (c *call) release() {
	if c.head != nil {
		c.head.Release()
	}
}

// do sends req and returns the target's response once its headers have arrived. Its errors are
// of type *verdict.Error. The call must be released when the response is no longer needed.
func (tc targetClient) do(ctx context.Context, to netip.AddrPort, req *wire.Request, c *call) (*http.Response, error) {
	hr, err := tc.newRequest(ctx, to, req)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseMalformed, Err: err}
	}

	c.head = tc.memory.NewAnswerHead(c.closeConn)

	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn := info.Conn.(*requestConn)
		conn.beginRequest(c.head)
		c.conn.Store(conn)
		c.gotConn.Store(true)
	}}
	ctx = answers.CheckInformational(httptrace.WithClientTrace(ctx, trace), tc.pooled.MaxResponseHeaderBytes)
	hr = hr.WithContext(ctx)

	rt := tc.singleUse
	if req.GetIdempotent() {
		rt = tc.pooled
	}

	resp, err := rt.RoundTrip(hr)
	if err != nil {
		return nil, c.roundTripError(ctx, err)
	}

	c.endHead()

	if mismatch := c.checkResponse(resp); mismatch != nil {
		_ = resp.Body.Close()
		tc.discard(c)

		return nil, mismatch
	}

	return resp, nil
}

// roundTripError returns the error for a call without a response.
func (c *call) roundTripError(ctx context.Context, err error) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: err}

	if !c.gotConn.Load() {
		e.Verdict = verdict.NotRun
		e.Cause = verdict.CauseTargetDown
	}

	if cause := contextCause(ctx); cause != "" {
		e.Cause = cause
	}

	if c.head.Refused() {
		e.Cause, e.Err = verdict.CauseOverload, callers.ErrAnswerTooLarge
	}

	return e
}

// contextCause returns why ctx ended, or "" if it has not.
func contextCause(ctx context.Context) verdict.Cause {
	cause := context.Cause(ctx)

	var e *verdict.Error

	switch {
	case cause == nil:
		return ""
	case errors.As(cause, &e):
		return e.Cause
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.CauseDeadline
	default:
		return verdict.CauseCancelled
	}
}

// checkResponse rejects a response that is broken or does not belong to this call.
//
// A response to another request is detected by its echoed ID. Otherwise a target that responds
// late or confuses two requests could send one caller the response of another.
func (c *call) checkResponse(resp *http.Response) *verdict.Error {
	if err := answers.Check(resp); err != nil {
		return &verdict.Error{Cause: verdict.CauseBroken, Err: err}
	}

	if echo := resp.Header.Get(HeaderRequestID); echo != c.attemptID {
		return &verdict.Error{Cause: verdict.CauseCrossed, Err: eris.Errorf("answer echoes ID %q", echo)}
	}

	if conn := c.conn.Load(); conn != nil && conn.statesTransferEncoding() {
		return &verdict.Error{Cause: verdict.CauseBroken, Err: eris.New("answer of HTTP/1.0 has a transfer encoding")}
	}

	return nil
}

// endHead records that the head of the response has arrived whole.
func (c *call) endHead() {
	c.head.Arrived()

	if conn := c.conn.Load(); conn != nil {
		conn.endHead(c.head)
	}
}

// closeConn closes the connection of the call, so that it is not reused.
func (c *call) closeConn() {
	if conn := c.conn.Load(); conn != nil {
		_ = conn.Close()
	}
}

// wroteRequest reports whether the request, with a body of size bytes, has been written whole.
func (c *call) wroteRequest(size int) bool {
	conn := c.conn.Load()

	return conn != nil && conn.wroteRequest(size)
}

// endsWithConnection reports whether resp has neither a length nor chunks, so that it is
// delimited by the end of its connection.
func endsWithConnection(req *wire.Request, resp *http.Response) bool {
	bodyless := req.GetMethod() == http.MethodHead || resp.ContentLength == 0

	return !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// newRequest builds the HTTP request for the target.
func (tc targetClient) newRequest(ctx context.Context, to netip.AddrPort, req *wire.Request) (*http.Request, error) {
	hr, err := http.NewRequestWithContext(ctx, req.GetMethod(), "http://"+to.String()+req.GetPath(), unreplayableBody(req))
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}

	hr.ContentLength = int64(len(req.GetBody()))
	hr.Header = forwardedHeaders(req.GetHeaders())
	hr.Header.Set(HeaderRequestID, req.GetAttemptID())

	if at, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(at), 0).Milliseconds()
		hr.Header.Set(HeaderRemaining, strconv.FormatInt(remaining, 10))
	}

	return hr, nil
}

// unreplayableBody returns the body of req in a form that the transport can't replay.
// Otherwise the transport itself would resend a request when a pooled connection breaks, even
// a non-idempotent one with an Idempotency-Key header, and the request could run twice.
func unreplayableBody(req *wire.Request) io.Reader {
	if len(req.GetBody()) == 0 && !bodylessMethods[req.GetMethod()] {
		// An empty body of an unknown type would be sent as an empty chunked body. The
		// transport can replay NoBody, but it never does on a new connection, and a request on
		// a pooled connection is idempotent.
		return http.NoBody
	}

	return struct{ io.Reader }{bytes.NewReader(req.GetBody())}
}

// bodylessMethods are the methods for which the transport itself checks whether the body is
// empty.
var bodylessMethods = map[string]bool{
	http.MethodGet:     true,
	http.MethodHead:    true,
	http.MethodDelete:  true,
	http.MethodOptions: true,
	"PROPFIND":         true,
	"SEARCH":           true,
}

// hopByHopHeaders are the headers that apply to a single connection, and those that the agent
// sets itself.
var hopByHopHeaders = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	HeaderRequestID:       true,
	HeaderRemaining:       true,
}

// forwardedHeaders returns the headers to send to the target.
func forwardedHeaders(hs []*wire.Header) http.Header {
	out := make(http.Header, len(hs)+2)
	for _, h := range hs {
		out.Add(h.GetName(), string(h.GetValue()))
	}

	removeHopByHop(out)

	return out
}

// removeHopByHop removes the headers in hopByHopHeaders and those that Connection lists.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}

	for name := range hopByHopHeaders {
		delete(h, name)
	}
}
