// Package targetclient is the HTTP/1.1 client with which an entry proxies directly
// to a target that has no agent. It opens a new connection for each request.
//
// A reused connection may still carry a late second response to an earlier request,
// may be closed by the target just as the next request is sent, or may be dead
// without either end having noticed. On a new connection, every byte received
// belongs to the one request that was sent on it.
package targetclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Request is one request to a target.
type Request struct {
	Method string
	// URI and Host are forwarded unchanged from the caller's request.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is the time after which an answer is useless. It bounds all I/O on
	// the connection.
	Deadline time.Time
	// OnSent, if set, is called once the whole request has been written. It may be called from
	// another goroutine, also after Open has returned.
	OnSent func()
}

// Answer is a target's response. It is complete only once Body has been read to
// io.EOF. The caller must call Close.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader

	conn  net.Conn
	stop  func() bool
	close func() error
}

// Close closes the connection, which also cancels the request if the target is
// still working on it.
func (a *Answer) Close() {
	a.stop()
	_ = a.close()
	_ = a.conn.Close()
}

// Client sends requests to targets. Set its fields before use.
type Client struct {
	// DialTimeout bounds the TCP handshake. A target that is powered off or
	// unreachable never answers it, and the request can go to another target.
	DialTimeout time.Duration
	// MaxHeaderBytes bounds the status line and headers of a response.
	MaxHeaderBytes int
}

const (
	// readBufferSize is the read buffer size in bytes, enough for several events of
	// a stream.
	readBufferSize = 4 << 10
	// maxInlineBody is the longest body, in bytes, that is written before the response
	// is read. A target may respond before it has read all of a longer body and then
	// stop reading, which would block the write.
	maxInlineBody = 16 << 10
)

// Open sends req to the target at address and returns once the response headers have
// been read. Errors are of type *verdict.Error. The verdict is NotRun only if no
// byte of the request was sent.
func (c *Client) Open(ctx context.Context, address netip.AddrPort, req *Request) (*Answer, error) {
	dialer := net.Dialer{Timeout: c.DialTimeout, Deadline: req.Deadline, KeepAlive: -1}

	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, Err: err}
	}

	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })

	answer, err := c.roundTrip(conn, req)
	if err != nil {
		stop()
		_ = conn.Close()

		return nil, err
	}

	answer.conn, answer.stop = conn, stop

	return answer, nil
}

func (c *Client) roundTrip(conn net.Conn, req *Request) (*Answer, error) {
	if err := conn.SetDeadline(req.Deadline); err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, Err: err}
	}

	if err := writeRequest(conn, req); err != nil {
		return nil, err
	}

	limited := &io.LimitedReader{R: conn, N: int64(c.MaxHeaderBytes)}
	buffered := bufio.NewReaderSize(limited, readBufferSize)

	resp, err := readFinalHead(buffered, req.Method) //nolint:bodyclose // Answer.Close closes it
	if err != nil {
		return nil, brokenError(err)
	}

	limited.N = 1<<63 - 1

	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: resp.Body, close: resp.Body.Close}, nil
}

// readFinalHead reads the headers of the final response and skips informational
// (1xx) responses.
func readFinalHead(r *bufio.Reader, method string) (*http.Response, error) {
	req := &http.Request{Method: method}

	for {
		resp, err := http.ReadResponse(r, req) //nolint:bodyclose // the caller of Open closes it
		if err != nil {
			return nil, err //nolint:wrapcheck // brokenError wraps it
		}

		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// writeRequest writes the request. It returns NotRun only if nothing was written;
// after the first byte the target may run the request.
func writeRequest(conn net.Conn, req *Request) error {
	var b strings.Builder

	b.Grow(readBufferSize / 4)
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")

	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}

	if err := req.Header.Write(&b); err != nil {
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseMalformed, Err: err}
	}

	b.WriteString("\r\n")

	if len(req.Body) <= maxInlineBody {
		b.Write(req.Body)
	}

	n, err := io.WriteString(conn, b.String())

	switch {
	case err != nil && n == 0:
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, Err: err}
	case err != nil:
		return brokenError(err)
	}

	if len(req.Body) <= maxInlineBody {
		req.sent()

		return nil
	}

	// Written while the caller reads the response. The goroutine ends at the latest when the
	// connection is closed.
	go func() {
		if _, err := conn.Write(req.Body); err == nil {
			req.sent()
		}
	}()

	return nil
}

func (r *Request) sent() {
	if r.OnSent != nil {
		r.OnSent()
	}
}

// brokenError wraps an error that occurred after the request was sent, when the
// target may have run it. A timeout is reported as an exceeded deadline.
func brokenError(err error) error {
	cause := verdict.CauseBroken

	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		cause = verdict.CauseDeadline
	}

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: cause, Err: err}
}
