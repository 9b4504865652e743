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

// targetDialer calls the target. A request that must not be repeated gets a
// connection of its own: on a kept one it could meet the target closing it, and
// then nobody knows whether it was read.
type targetDialer struct {
	kept  *http.Transport
	fresh *http.Transport
}

func newTargetDialer(s Settings) targetDialer {
	dial := &net.Dialer{Timeout: s.DialTimeout}
	kept := &http.Transport{
		DialContext:            dial.DialContext,
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        s.IdleTimeout,
		MaxResponseHeaderBytes: int64(s.MaxHeaderBytes),
	}
	fresh := kept.Clone()
	fresh.DisableKeepAlives = true

	return targetDialer{kept: kept, fresh: fresh}
}

// closeIdle closes the connections that wait for a next request.
func (d targetDialer) closeIdle() { d.kept.CloseIdleConnections() }

// call is one request to the target.
type call struct {
	attemptID string
	// sent says that a connection was there, so that bytes may have reached the target.
	sent atomic.Bool
	// conn is the connection that the call went out on.
	conn atomic.Pointer[net.Conn]
}

// do sends req and returns the target's answer once its headers are there. Its
// errors are *verdict.Error.
func (d targetDialer) do(ctx context.Context, to netip.AddrPort, req *wire.Request, c *call) (*http.Response, error) {
	hr, err := d.request(ctx, to, req)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseMalformed, Err: err}
	}

	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c.conn.Store(&info.Conn)
		c.sent.Store(true)
	}}
	hr = hr.WithContext(httptrace.WithClientTrace(ctx, trace))

	rt := d.fresh
	if req.GetIdempotent() {
		rt = d.kept
	}

	resp, err := rt.RoundTrip(hr)
	if err != nil {
		return nil, c.failed(ctx, err)
	}

	if fault := c.check(req, resp); fault != nil {
		_ = resp.Body.Close()
		c.kill()
		// An answer without a body has put its connection back before it was checked.
		d.closeIdle()

		return nil, fault
	}

	return resp, nil
}

// failed gives the verdict on a call without an answer.
func (c *call) failed(ctx context.Context, err error) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseBroken, Err: err}

	if !c.sent.Load() {
		e.Verdict = verdict.NotRun
		e.Cause = verdict.CauseTargetDown
	}

	if cause := causeOfEnd(ctx); cause != "" {
		e.Cause = cause
	}

	return e
}

// causeOfEnd says why ctx ended, or "" while it hasn't.
func causeOfEnd(ctx context.Context) verdict.Cause {
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

// check refuses an answer that isn't the one to this call, or whose end can't be told.
//
// An answer to another request shows by its echoed ID: a target that answered
// late or mixed two requests up would else give one caller the other's answer.
// An answer that only ends with its connection looks whole when it was cut.
func (c *call) check(req *wire.Request, resp *http.Response) *verdict.Error {
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

// kill closes the connection of the call, so that nobody reuses it.
func (c *call) kill() {
	if conn := c.conn.Load(); conn != nil {
		_ = (*conn).Close()
	}
}

// request builds the HTTP request for the target.
func (d targetDialer) request(ctx context.Context, to netip.AddrPort, req *wire.Request) (*http.Request, error) {
	hr, err := http.NewRequestWithContext(ctx, req.GetMethod(), "http://"+to.String()+req.GetPath(), sentOnce(req))
	if err != nil {
		return nil, eris.Wrap(err, "build the request")
	}

	hr.ContentLength = int64(len(req.GetBody()))
	hr.Header = forwarded(req.GetHeaders())
	hr.Header.Set(RequestIDHeader, req.GetAttemptID())

	if at, ok := ctx.Deadline(); ok {
		left := max(time.Until(at), 0).Milliseconds()
		hr.Header.Set(RemainingHeader, strconv.FormatInt(left, 10))
	}

	return hr, nil
}

// sentOnce returns the body of req and hides from the transport that it could be
// read again. The transport would else send a request anew by itself when a kept
// connection breaks, also one with an Idempotency-Key header, and it could run twice.
func sentOnce(req *wire.Request) io.Reader {
	if len(req.GetBody()) == 0 && !lacksBody[req.GetMethod()] {
		// Hidden, no body would go out as an empty chunked one. On a connection of its
		// own such a request isn't sent anew, and on a kept one it may be.
		return http.NoBody
	}

	return struct{ io.Reader }{bytes.NewReader(req.GetBody())}
}

// lacksBody are the methods for which the transport looks whether there is a body.
var lacksBody = map[string]bool{
	http.MethodGet:     true,
	http.MethodHead:    true,
	http.MethodDelete:  true,
	http.MethodOptions: true,
	"PROPFIND":         true,
	"SEARCH":           true,
}

// hopByHop are the headers that end at each connection, and those that the agent sets itself.
var hopByHop = map[string]bool{
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

// forwarded returns the headers that go on to the target.
func forwarded(hs []*wire.Header) http.Header {
	out := make(http.Header, len(hs)+2)
	for _, h := range hs {
		out.Add(h.GetName(), h.GetValue())
	}

	dropHopByHop(out)

	return out
}

// dropHopByHop removes the headers that end here, and those that Connection names.
func dropHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}

	for name := range hopByHop {
		delete(h, name)
	}
}
