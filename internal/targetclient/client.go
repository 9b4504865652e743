// Package targetclient is an entry's own way into a target that has no agent: one HTTP
// request over one fresh connection.
//
// A kept connection may hold the late second answer of an earlier request, may be
// closed by the target while the next request crosses, or may have gone silent
// unseen. A fresh one has none of these faults, so whatever comes on it answers
// the one request that was sent on it.
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

// Request is one request as it goes to a target.
type Request struct {
	Method string
	// URI and Host are passed on as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is when an answer is of no use any more.
	Deadline time.Time
}

// Answer is a target's answer. Body must be read to its end before it counts as
// whole, and Close must be called.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader

	conn  net.Conn
	stop  func() bool
	close func() error
}

// Close ends the connection. A target that is still at work stops then.
func (a *Answer) Close() {
	a.stop()
	_ = a.close()
	_ = a.conn.Close()
}

// Client opens calls to targets. Its fields are set before use.
type Client struct {
	// DialTimeout bounds how long a connection may take to open. A target that is
	// dark does not answer at all, and another one could.
	DialTimeout time.Duration
	// MaxHeaderBytes bounds the head of an answer.
	MaxHeaderBytes int
}

const (
	// readBufferSize holds some events of a stream (bytes).
	readBufferSize = 4 << 10
	// maxInlineBody is the longest body that is sent before the answer is read (bytes).
	// A target may answer before it has read a longer one and then stop reading.
	maxInlineBody = 16 << 10
)

// Open sends call to the target at address and returns the head of its answer. An
// error is a *verdict.Error: NotRun only where not a byte has left.
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

// readFinalHead reads the head of the final answer, past informational ones.
func readFinalHead(r *bufio.Reader, method string) (*http.Response, error) {
	req := &http.Request{Method: method}

	for {
		resp, err := http.ReadResponse(r, req) //nolint:bodyclose // the caller of Open closes it
		if err != nil {
			return nil, err //nolint:wrapcheck // broken wraps it
		}

		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// writeRequest writes the call. Only where nothing was written is it sure not to run.
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

	if len(req.Body) > maxInlineBody {
		// The answer is read meanwhile. Closing the connection ends this too.
		go func() { _, _ = conn.Write(req.Body) }()
	}

	return nil
}

func brokenError(err error) error {
	cause := verdict.CauseBroken

	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		cause = verdict.CauseDeadline
	}

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: cause, Err: err}
}
