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

	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Headers between the agent and its target.
const (
	// RequestIDHeader names the attempt. The target must send it back with its answer.
	RequestIDHeader = "Parsleygate-Request-Id"
	// RemainingHeader is what is left of the caller's deadline, in milliseconds.
	RemainingHeader = "Parsleygate-Remaining-Ms"
)

// maxIdleConns bounds the idle connections to the target.
const maxIdleConns = 64

// targetClient calls the target. A request that must not be repeated gets a
// connection of its own: on a kept one it could meet the target closing it, and
// then nobody knows whether it was read.
type targetClient struct {
	pooled    *http.Transport
	singleUse *http.Transport
}

func newTargetClient(s Settings) targetClient {
	dial := &net.Dialer{Timeout: s.DialTimeout}
	pooled := &http.Transport{
		DialContext:            dial.DialContext,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        s.IdleTimeout,
		MaxResponseHeaderBytes: int64(s.MaxHeaderBytes),
	}
	singleUse := pooled.Clone()
	singleUse.DisableKeepAlives = true

	return targetClient{pooled: pooled, singleUse: singleUse}
}

// closeIdle closes the connections that wait for a next request.
func (tc targetClient) closeIdle() { tc.pooled.CloseIdleConnections() }

// call is one request to the target.
type call struct {
	attemptID string
	// gotConn says that a connection was there, so that bytes may have reached the target.
	gotConn atomic.Bool
	// conn is the connection that the call went out on.
	conn atomic.Pointer[net.Conn]
}

// do sends req and returns the target's answer once its headers are there. Its
// errors are *verdict.Error.
func (tc targetClient) do(ctx context.Context, to netip.AddrPort, req *wire.Request, c *call) (*http.Response, error) {
	hr, err := tc.newRequest(ctx, to, req)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseMalformed, Err: err}
	}

	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c.conn.Store(&info.Conn)
		c.gotConn.Store(true)
	}}
	hr = hr.WithContext(httptrace.WithClientTrace(ctx, trace))

	rt := tc.singleUse
	if req.GetIdempotent() {
		rt = tc.pooled
	}

	resp, err := rt.RoundTrip(hr)
	if err != nil {
		return nil, c.roundTripError(ctx, err)
	}

	if mismatch := c.checkResponse(req, resp); mismatch != nil {
		_ = resp.Body.Close()
		c.closeConn()
		// An answer without a body has put its connection back before it was checked.
		tc.closeIdle()

		return nil, mismatch
	}

	return resp, nil
}

// roundTripError gives the verdict on a call without an answer.
func (c *call) roundTripError(ctx context.Context, err error) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: err}

	if !c.gotConn.Load() {
		e.Verdict = verdict.NotRun
		e.Cause = verdict.CauseTargetDown
	}

	if cause := contextCause(ctx); cause != "" {
		e.Cause = cause
	}

	return e
}

// contextCause says why ctx ended, or "" while it hasn't.
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

// checkResponse refuses an answer that isn't the one to this call, or whose end can't be told.
//
// An answer to another request shows by its echoed ID: a target that answered
// late or mixed two requests up would else give one caller the other's answer.
// An answer that only ends with its connection looks whole when it was cut.
func (c *call) checkResponse(req *wire.Request, resp *http.Response) *verdict.Error {
	if echo := resp.Header.Get(RequestIDHeader); echo != c.attemptID {
		return &verdict.Error{Cause: verdict.CauseCrossed, Err: eris.Errorf("answer echoes ID %q", echo)}
	}

	if resp.StatusCode == http.StatusSwitchingProtocols {
		return &verdict.Error{Cause: verdict.CauseBroken, Err: eris.New("target switched protocols")}
	}

	bodyless := req.GetMethod() == http.MethodHead || resp.ContentLength == 0
	if !bodyless && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &verdict.Error{Cause: verdict.CauseBroken, Err: eris.New("answer has no length")}
	}

	return nil
}

// closeConn closes the connection of the call, so that nobody reuses it.
func (c *call) closeConn() {
	if conn := c.conn.Load(); conn != nil {
		_ = (*conn).Close()
	}
}

// newRequest builds the HTTP request for the target.
func (tc targetClient) newRequest(ctx context.Context, to netip.AddrPort, req *wire.Request) (*http.Request, error) {
	hr, err := http.NewRequestWithContext(ctx, req.GetMethod(), "http://"+to.String()+req.GetPath(), unreplayableBody(req))
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}

	hr.ContentLength = int64(len(req.GetBody()))
	hr.Header = forwardedHeaders(req.GetHeaders())
	hr.Header.Set(RequestIDHeader, req.GetAttemptID())

	if at, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(at), 0).Milliseconds()
		hr.Header.Set(RemainingHeader, strconv.FormatInt(remaining, 10))
	}

	return hr, nil
}

// unreplayableBody returns the body of req and hides from the transport that it could be
// read again. The transport would else send a request anew by itself when a kept
// connection breaks, also one with an Idempotency-Key header, and it could run twice.
func unreplayableBody(req *wire.Request) io.Reader {
	if len(req.GetBody()) == 0 && !bodylessMethods[req.GetMethod()] {
		// Hidden, no body would go out as an empty chunked one. On a connection of its
		// own such a request isn't sent anew, and on a kept one it may be.
		return http.NoBody
	}

	return struct{ io.Reader }{bytes.NewReader(req.GetBody())}
}

// bodylessMethods are the methods for which the transport looks whether there is a body.
var bodylessMethods = map[string]bool{
	http.MethodGet:     true,
	http.MethodHead:    true,
	http.MethodDelete:  true,
	http.MethodOptions: true,
	"PROPFIND":         true,
	"SEARCH":           true,
}

// hopByHopHeaders are the headers that end at each connection, and those that the agent sets itself.
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
	RequestIDHeader:       true,
	RemainingHeader:       true,
}

// forwardedHeaders returns the headers that go on to the target.
func forwardedHeaders(hs []*wire.Header) http.Header {
	out := make(http.Header, len(hs)+2)
	for _, h := range hs {
		out.Add(h.GetName(), h.GetValue())
	}

	removeHopByHop(out)

	return out
}

// removeHopByHop removes the headers that end here, and those that Connection names.
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
