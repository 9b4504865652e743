package answers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

const (
	// maxHeadBytes bounds the head of an answer to a client of NewClient, in bytes.
	maxHeadBytes = 64 << 10
	// uncountedBytes is the part of each body that does not count towards MaxBodyBytes. Small answers arrive although
	// others fill it. Failures have no more.
	uncountedBytes = 64 << 10
)

// ErrTooLong means that an answer exceeds its bound, alone or together with others.
var ErrTooLong = errors.New("answers: answer exceeds its bound")

// NewClient returns a client for calls of other processes through tr, which checks and bounds their answers. The bodies that
// it reads at the same time have maxBodyBytes together.
func NewClient(tr *http.Transport, maxBodyBytes int64) *http.Client {
	tr.MaxResponseHeaderBytes = maxHeadBytes

	return &http.Client{Transport: &Transport{Base: tr, MaxBodyBytes: maxBodyBytes}}
}

// Transport is an http.RoundTripper that checks answers and bounds their bodies. Its exported fields must be set before use.
type Transport struct {
	// Base sends the requests. It must bound the heads of answers.
	Base *http.Transport
	// MaxBodyBytes bounds the bodies that are read at the same time, and so each of them. If it is zero, who reads an answer
	// bounds it.
	MaxBodyBytes int64

	held atomic.Int64
}

// RoundTrip implements http.RoundTripper. The connection of an answer that is refused is closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn

	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }})
	ctx = CheckInformational(ctx, t.Base.MaxResponseHeaderBytes)

	resp, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err //nolint:wrapcheck // http.Client wraps it
	}

	b := &boundedBody{body: NewBody(resp), closer: resp.Body, conn: conn, transport: t, isFailure: resp.StatusCode >= http.StatusMultipleChoices}

	if err := Check(resp); err != nil {
		_ = b.Close()
		b.closeConn()

		return nil, err
	}

	if t.MaxBodyBytes > 0 && resp.ContentLength > t.MaxBodyBytes+uncountedBytes {
		_ = b.Close()

		return nil, ErrTooLong
	}

	resp.Body = b

	return resp, nil
}

// CloseIdleConnections closes the idle connections. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }

// boundedBody is the body of an answer. It counts towards the bound of its transport until it is closed.
type boundedBody struct {
	body      Body
	closer    io.Closer
	conn      net.Conn
	transport *Transport
	isFailure bool
	// size is what has been read, and counted the part of it that counts.
	size, counted int64
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	b.size += int64(n)

	if b.transport.MaxBodyBytes > 0 && b.size > uncountedBytes && !b.count() {
		err = ErrTooLong
	}

	if err != nil && !errors.Is(err, io.EOF) {
		b.closeConn()
	}

	return n, err //nolint:wrapcheck // readers compare it
}

// count counts what has been read, and reports whether it may be.
func (b *boundedBody) count() bool {
	more := b.size - uncountedBytes - b.counted
	b.counted += more

	return b.transport.held.Add(more) <= b.transport.MaxBodyBytes && !b.isFailure
}

// Close implements io.Closer.
func (b *boundedBody) Close() error {
	b.transport.held.Add(-b.counted)
	b.counted = 0

	return b.closer.Close() //nolint:wrapcheck // as http.Transport's
}

// closeConn closes the connection. The transport has already returned that of an answer that was read to its end to its pool.
func (b *boundedBody) closeConn() { _ = b.conn.Close() }
