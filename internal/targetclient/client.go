// Package targetclient is the HTTP/1.1 client with which an entry proxies directly
// to a target that has no agent. It opens a new connection for each request, unless the
// request allows the reuse of an idle one.
//
// A reused connection may still carry a late second response to an earlier request,
// may be closed by the target just as the next request is sent, or may be dead
// without either end having noticed. On a new connection, every byte received
// belongs to the one request that was sent on it.
package targetclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Request is one request to a target.
type Request struct {
	// ID identifies the request on a connection that carries others too.
	ID     string
	Method string
	// URI and Host are forwarded unchanged from the caller's request.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Deadline is the time after which an answer is useless. It bounds all I/O on
	// the connection.
	Deadline time.Time
	// Reuse allows to send the request on an idle connection. It may then run although the
	// connection is closed before an answer, and must be one that may be repeated.
	Reuse bool
	// OnSent, if set, is called once the whole request has been written. It may be called from
	// another goroutine, also after Open has returned.
	OnSent func()
	// OnHead, if set, is called with the size of the answer's head until now, before that part of it is
	// parsed. An error ends the request.
	OnHead func(size, lines int) error
}

// Framing is how the end of an answer's body is marked.
type Framing string

// The ways in which the end of a body is marked.
const (
	// FramedByLength is a stated length, also that of an answer without a body.
	FramedByLength Framing = "Length"
	// FramedByChunks is the last chunk.
	FramedByChunks Framing = "Chunks"
	// FramedByConnection is the end of the connection.
	FramedByConnection Framing = "Connection"
)

func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0 || resp.Body == http.NoBody:
		return FramedByLength
	default:
		return FramedByConnection
	}
}

// Answer is a target's response. It is complete only once Body has been read to
// io.EOF. The caller must call Close.
type Answer struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Framing is how the end of Body is marked.
	Framing Framing
	// Reused is set if the request was sent on a connection that had carried another one. The
	// answer may then be a late one to the other request.
	Reused bool

	client  *Client
	conn    *connection
	request string
	stop    func() bool
	body    *wholeBody
	// closes is set if the connection ends after the answer.
	closes bool
}

// wholeBody records that a body has been read to its end.
type wholeBody struct {
	r       io.Reader
	conn    *connection
	framing Framing
	whole   bool
}

// Read implements io.Reader. The operating system reports a reset once, to the reader or to the writer
// of a connection. If it was the writer, the reader sees a regular end. So the end of a connection
// delimits an answer only if the request was written whole.
func (b *wholeBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)

	switch {
	case !errors.Is(err, io.EOF):
	case b.framing == FramedByConnection && !b.conn.endWrite():
		err = io.ErrUnexpectedEOF
	default:
		b.whole = true
	}

	return n, err //nolint:wrapcheck // io.EOF must stay comparable
}

// Close closes the connection, which also cancels the request if the target is
// still working on it. It does nothing after Keep.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}

	a.stop()

	if !a.body.whole {
		a.conn.abort()
	}

	a.client.end(a.conn, closeFailed)
	a.conn = nil
}

// Keep ends the use of the answer, and keeps its connection for other requests if possible. The
// caller must have checked that the answer belongs to its request.
func (a *Answer) Keep() {
	if a.conn == nil {
		return
	}

	conn := a.conn
	a.conn = nil

	switch keepAlive := keepAliveTime(a.Header); {
	case !a.stop() || !a.body.whole || !conn.written.Load() || conn.SetDeadline(time.Time{}) != nil:
		a.client.end(conn, closeFailed)
	case conn.buffered.Buffered() > 0:
		a.client.end(conn, closeBytes)
	case a.closes:
		a.client.end(conn, closeStated)
	default:
		a.client.keep(conn, a.request, keepAlive)
	}
}

// Client sends requests to targets. Set its exported fields before use.
type Client struct {
	// DialTimeout bounds the TCP handshake. A target that is powered off or
	// unreachable never answers it, and the request can go to another target.
	DialTimeout time.Duration
	// MaxHeaderBytes bounds the status line and headers of a response.
	MaxHeaderBytes int
	// MaxIdle is the maximum number of idle connections to all targets; if zero, no connection
	// is kept.
	MaxIdle int
	// Now is the clock for the times of idle connections; time.Now if nil.
	Now func() time.Time

	// mu guards the fields below it. No I/O is done while it is held.
	mu           sync.Mutex
	pool         pool
	idle         map[connID]*connection
	lastID       connID
	sweepPending bool
	closed       map[CloseReason]int64

	opened, reused atomic.Int64
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

// ErrReusedConnection means that a request failed because of the connection on which it was sent: the
// target closed it before any byte of the answer, or the answer may be an earlier request's. It says
// nothing about the state of the target, and a new connection may do better.
var ErrReusedConnection = errors.New("targetclient: reused connection gave no answer")

// ErrNoAnswer means that a request was sent, in whole or in part, and no byte of an answer arrived. The target may not have
// read the request yet: its kernel accepts requests also while its process stands still, and keeps them when the
// connection is closed.
var ErrNoAnswer = errors.New("targetclient: no answer")

// Open sends req to the target and returns once the response headers have
// been read. Errors are of type *verdict.Error. The verdict is NotRun only if no
// byte of the request was sent.
func (c *Client) Open(ctx context.Context, target Target, req *Request) (*Answer, error) {
	// A long body is written while the answer is read, so that a VM that was powered off while the
	// connection was idle could not be told from a target that reads slowly.
	for req.Reuse && len(req.Body) <= maxInlineBody && ctx.Err() == nil {
		conn := c.takeIdle(target, req.ID)
		if conn == nil {
			break
		}

		c.reused.Add(1)

		answer, err := c.exchange(ctx, conn, req)
		if err == nil || verdict.Of(err) != verdict.NotRun {
			return answer, err
		}
	}

	conn, err := c.dial(ctx, target, req.Deadline)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, Err: err}
	}

	return c.exchange(ctx, conn, req)
}

// exchange sends req on conn and reads the head of the answer.
func (c *Client) exchange(ctx context.Context, conn *connection, req *Request) (*Answer, error) {
	stop := context.AfterFunc(ctx, conn.abort)

	if conn.reused {
		conn.boundSilence(c.DialTimeout)
	}

	resp, err := conn.roundTrip(req, c.MaxHeaderBytes) //nolint:bodyclose // Answer.Close closes the connection
	if err != nil {
		stop()

		return nil, c.endFailed(ctx, conn, err)
	}

	if statesClose(resp) {
		c.apply(func() []closing { return c.pool.closeAll(conn.target) })
	}

	body := &wholeBody{r: answers.NewBody(resp), conn: conn, framing: framingOf(resp), whole: resp.Body == http.NoBody}

	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Body: body, Framing: body.framing, Reused: conn.reused,
		client: c, conn: conn, request: req.ID, stop: stop, body: body,
		closes: resp.Close || !resp.ProtoAtLeast(1, 1),
	}, nil
}

// endFailed closes a connection without an answer. It returns the error of the request.
func (c *Client) endFailed(ctx context.Context, conn *connection, err error) error {
	reason := closeFailed
	unanswered := !conn.hasReceived(c.MaxHeaderBytes)

	switch {
	case !conn.reused || ctx.Err() != nil || conn.head.Refused() != nil:
	case unanswered && !isTimeout(err):
		reason = closeUnanswered
	case isMalformed(err):
		reason = closeBytes
	}

	conn.abort()
	c.end(conn, reason)

	if unanswered && verdict.Of(err) == verdict.MayHaveRun {
		err = &verdict.Error{Verdict: verdict.MayHaveRun, Cause: verdict.CauseOf(err), Err: fmt.Errorf("%w: %w", ErrNoAnswer, err)}
	}

	if reason == closeFailed {
		return err
	}

	c.apply(func() []closing { return c.pool.pause(c.now(), conn.target) })

	return &verdict.Error{Verdict: verdict.Of(err), Cause: verdict.CauseOf(err), Err: fmt.Errorf("%w: %w", ErrReusedConnection, err)}
}

// HasEnded reports whether nothing listens at the address of a target any more: its VM refuses the
// connection. A VM that does not answer says nothing about the target.
func (c *Client) HasEnded(ctx context.Context, target Target) bool {
	dialer := net.Dialer{Timeout: c.DialTimeout, KeepAlive: -1}

	conn, err := dialer.DialContext(ctx, "tcp", target.Address.String())
	if err == nil {
		_ = conn.Close()
	}

	return errors.Is(err, syscall.ECONNREFUSED)
}

// dial opens a new connection to a target.
func (c *Client) dial(ctx context.Context, target Target, deadline time.Time) (*connection, error) {
	c.apply(func() []closing { return c.pool.dial(target) })

	dialer := net.Dialer{Timeout: c.DialTimeout, Deadline: deadline, KeepAlive: -1}

	conn, err := dialer.DialContext(ctx, "tcp", target.Address.String())

	c.mu.Lock()
	defer c.mu.Unlock()

	if err != nil {
		c.pool.done(target)

		return nil, err //nolint:wrapcheck // Open wraps it
	}

	c.opened.Add(1)
	c.lastID++

	return newConnection(c.lastID, target, conn), nil
}

// takeIdle returns an idle connection to a target that is open and has received nothing, or
// nil if there is none.
func (c *Client) takeIdle(target Target, request string) *connection {
	for {
		c.mu.Lock()
		id, ok := c.pool.take(c.now(), target, request)
		conn := c.idle[id]
		delete(c.idle, id)
		c.mu.Unlock()

		if !ok {
			return nil
		}

		err := conn.checkIdle()
		if err == nil {
			conn.reused = true

			return conn
		}

		if errors.Is(err, errBytesWhileIdle) {
			c.end(conn, closeBytes)
			c.Pause(target)
		} else {
			c.end(conn, closeByTarget)
		}
	}
}

// keep keeps a connection after a complete answer, or closes it.
func (c *Client) keep(conn *connection, request string, keepAlive time.Duration) {
	var reason CloseReason

	c.apply(func() (out []closing) {
		c.pool.maxIdle = c.MaxIdle

		if reason, out = c.pool.keep(c.now(), conn.target, conn.id, request, keepAlive); reason == "" {
			if c.idle == nil {
				c.idle = make(map[connID]*connection)
			}

			c.idle[conn.id] = conn
			c.scheduleSweep()
		} else {
			c.count(reason)
		}

		return out
	})

	if reason != "" {
		_ = conn.Close()
	}
}

// end closes a connection in flight.
func (c *Client) end(conn *connection, reason CloseReason) {
	_ = conn.Close()

	c.mu.Lock()
	defer c.mu.Unlock()

	c.pool.done(conn.target)
	c.count(reason)
}

// Retain replaces the targets to which connections are kept, and sets the maximum number of
// connections to each, in flight and idle. It closes the idle connections to all others.
func (c *Client) Retain(limits map[Target]int) {
	c.apply(func() []closing { return c.pool.retain(limits) })
}

// Pause closes the idle connections to a target that is leaving or has sent a wrong answer, and
// neither keeps nor reuses any for a while.
func (c *Client) Pause(target Target) {
	c.apply(func() []closing { return c.pool.pause(c.now(), target) })
}

// CloseIdle closes all idle connections, and keeps none from now on. Connections in use are closed
// when their answers are complete.
func (c *Client) CloseIdle() {
	c.apply(func() []closing { return c.pool.stop() })
}

// HasIdle returns a function that reports whether there is an idle connection to a target. The
// function takes no lock. It is valid until the next call of Retain.
func (c *Client) HasIdle(target Target) func() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	count := &c.pool.connsOf(target).idleCount

	return func() bool { return count.Load() > 0 }
}

// Stats are the numbers of connections since the start of the process, and of those that are idle.
type Stats struct {
	// Opened connections were new, Reused is how often idle ones were used again.
	Opened, Reused int64
	// Closed counts the closed connections by reason.
	Closed map[CloseReason]int64
	Idle   int
}

// Stats returns the numbers of connections.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()

	s := Stats{Opened: c.opened.Load(), Reused: c.reused.Load(), Closed: make(map[CloseReason]int64, len(c.closed)), Idle: len(c.idle)}
	for reason, n := range c.closed {
		s.Closed[reason] = n
	}

	return s
}

// apply takes a decision of the pool and closes the idle connections that it names.
func (c *Client) apply(decide func() []closing) {
	c.mu.Lock()

	decided := decide()
	conns := make([]*connection, 0, len(decided))

	for _, d := range decided {
		conns = append(conns, c.idle[d.id])
		delete(c.idle, d.id)
		c.count(d.reason)
	}

	c.mu.Unlock()

	for _, conn := range conns {
		_ = conn.Close()
	}
}

// count counts a closed connection. The caller holds mu.
func (c *Client) count(reason CloseReason) {
	if c.closed == nil {
		c.closed = make(map[CloseReason]int64)
	}

	c.closed[reason]++
}

// sweepInterval is the interval at which expired connections are closed while any is idle.
const sweepInterval = 250 * time.Millisecond

// scheduleSweep starts a timer for the next sweep while connections are idle. The caller holds mu.
func (c *Client) scheduleSweep() {
	if c.sweepPending || len(c.idle) == 0 {
		return
	}

	c.sweepPending = true

	time.AfterFunc(sweepInterval, func() {
		c.apply(func() []closing { return c.pool.expire(c.now()) })

		c.mu.Lock()
		defer c.mu.Unlock()

		c.sweepPending = false
		c.scheduleSweep()
	})
}

func (c *Client) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}

	return c.Now()
}
