package callers

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// phase is how far the current request of a connection has arrived.
type phase int

const (
	// phaseIdle means that no byte of a request has arrived.
	phaseIdle phase = iota
	// phaseHead means that the head has not arrived whole.
	phaseHead
	// phaseBody means that the handler runs and the body has not arrived whole.
	phaseBody
	// phaseRead means that the request has arrived whole. A connection of HTTP/2 is always in this phase.
	phaseRead
)

// conn is a connection of a client. The mutex of its listener guards its fields, unless they say otherwise.
type conn struct {
	net.Conn

	listener *Listener
	phase    phase
	// element is the place in the list of idle or of arriving connections, since a time; nil in phaseRead.
	element *list.Element
	in      *list.List
	since   time.Time
	// answered is set from the end of an answer until the server reads the next request or finds it
	// already read. deadlines counts the read deadlines set meanwhile.
	answered  bool
	deadlines int
	// closing is set once the next read must fail unless a request has arrived, failing once all must.
	closing, failing bool
	// readDeadline is the deadline that the server or a handler has set, limitDeadline that of Limits.
	readDeadline, limitDeadline time.Time
	// limits are those in force for the current request, and headBytes, headLines and headCharged what is known of
	// its head.
	limits               Limits
	headBytes, headLines int
	headCharged          int64
	// http2 is set for a connection of HTTP/2; streams is the number of its requests. preface is the number of
	// bytes of the preface that have arrived, -1 if the connection does not begin with it.
	http2            bool
	frames           frameReader
	streams, preface int
	// unframed is set if the end of the connection delimits the answer.
	unframed bool
	// refused is set once a request was refused before it was parsed, lingered once the client was told that no
	// more answers follow.
	refused, lingered, closed bool

	hold   hold
	writes writes
}

func newConn(l *Listener, inner net.Conn) *conn {
	c := &conn{Conn: inner, listener: l}
	c.hold.memory, c.hold.end = l.Memory, c.endForMemory

	if l.Limits != nil {
		c.writes.timeout = l.Limits().WriteTimeout
	}

	return c
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

func (c *conn) enterList(of *list.List, now time.Time) {
	c.leaveList()
	c.in, c.since = of, now
	c.element = of.PushBack(c)
}

// leaveList removes the connection from the list in which it is, if any.
func (c *conn) leaveList() {
	if c.element != nil {
		c.in.Remove(c.element)
		c.element, c.in = nil, nil
	}
}

// setIdle records that the server waits for the first byte of a request.
func (c *conn) setIdle(now time.Time) {
	l := c.listener

	c.phase = phaseIdle
	c.enterList(&l.idle, now)

	c.limits = Limits{}
	if l.Limits != nil {
		c.limits = l.Limits()
	}

	c.setLimitDeadline(now, c.limits.IdleTimeout)
}

// setLimitDeadline bounds the time until the next phase; zero means no bound.
func (c *conn) setLimitDeadline(now time.Time, timeout time.Duration) {
	c.limitDeadline = time.Time{}
	if timeout > 0 {
		c.limitDeadline = now.Add(timeout)
	}

	c.applyReadDeadline()
}

// applyReadDeadline sets the earlier one of both deadlines, unless reads must fail.
func (c *conn) applyReadDeadline() {
	if c.closing || c.failing {
		return
	}

	t := c.readDeadline
	if !c.limitDeadline.IsZero() && (t.IsZero() || c.limitDeadline.Before(t)) {
		t = c.limitDeadline
	}

	_ = c.Conn.SetReadDeadline(t)
}

// failReads makes the current read fail, and all others.
func (c *conn) failReads(now time.Time) {
	c.failing = true
	_ = c.Conn.SetReadDeadline(now)
}

// endForMemory refuses the request, as its memory is needed.
func (c *conn) endForMemory() {
	l := c.listener
	now := time.Now()

	l.mu.Lock()
	defer l.mu.Unlock()

	if c.phase != phaseHead && c.phase != phaseBody && !c.frames.inBlock {
		return // It has arrived meanwhile.
	}

	c.leaveList()
	c.failReads(now)
	l.stats.NoMemory++
	l.log(now, "Request that arrives slowly refused: the memory for requests is full.")
}

// Read reads from the connection. A connection counts as idle while its server waits here for the
// first byte of a request.
func (c *conn) Read(b []byte) (int, error) {
	l := c.listener

	l.mu.Lock()
	refused := c.refused

	if c.answered {
		c.answered, c.deadlines = false, 0
		c.setIdle(time.Now())
	}
	l.mu.Unlock()

	// The server may look ahead and ignore that a read has failed.
	if refused {
		return 0, os.ErrDeadlineExceeded
	}

	n, err := c.Conn.Read(b)
	now := time.Now()

	l.mu.Lock()

	rest := b[:n]

	if n > 0 && c.phase == phaseIdle {
		c.beginRequest(now)
	}

	if n > 0 && c.phase == phaseHead {
		rest = c.readPreface(rest)
	}

	inHead, failing, http2 := c.phase == phaseHead, c.failing, c.http2
	l.mu.Unlock()

	switch {
	case http2 && n > 0:
		if !c.readFrames(now, rest) {
			return 0, os.ErrDeadlineExceeded
		}
	case !inHead:
	case n > 0:
		if r := c.readHead(now, b[:n]); r != nil {
			return 0, c.refuse(r)
		}
	case os.IsTimeout(err) && failing:
		return 0, c.refuse(refusalOverload)
	case os.IsTimeout(err):
		return 0, c.refuse(refusalTooSlow)
	}

	return n, err //nolint:wrapcheck // http.Server checks its type
}

// beginRequest records that the first bytes of a request have arrived, which is served even if the
// connection was to be closed. The caller holds the listener's mutex.
func (c *conn) beginRequest(now time.Time) {
	c.closing = false

	c.phase = phaseHead
	c.headBytes, c.headLines, c.headCharged = 0, 0, 0
	c.enterList(&c.listener.arriving, now)
	c.setLimitDeadline(now, c.limits.HeaderTimeout)
	c.hold.begin(now)
}

func (c *conn) isHTTP2() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()

	return c.http2
}

// readHead counts bytes of a head, and returns a refusal if they are too many.
func (c *conn) readHead(now time.Time, b []byte) *refusal {
	l := c.listener

	l.mu.Lock()
	c.headBytes += len(b)
	c.headLines += countLines(b)

	limit, more := c.limits.MaxHeaderBytes, HeadMemory(c.headBytes, c.headLines)-c.headCharged
	tooLong := limit > 0 && c.headBytes > limit+c.listener.readAhead()
	l.mu.Unlock()

	switch {
	case tooLong:
		return refusalTooLong
	case !c.hold.grow(now, more):
		return refusalNoMemory
	case more > 0:
		c.headCharged += more
	}

	return nil
}

// endHead records that the head has arrived whole and the handler begins. The body, if there is one, has
// not arrived whole.
func (c *conn) endHead(hasBody, unframed bool) {
	l := c.listener
	now := time.Now()

	l.mu.Lock()
	defer l.mu.Unlock()

	c.unframed = unframed

	if hasBody {
		c.phase = phaseBody
		c.setLimitDeadline(now, c.limits.BodyTimeout)

		return
	}

	c.endArrival(now)
}

// endBody records that the body has arrived whole.
func (c *conn) endBody() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()

	if c.phase == phaseBody {
		c.endArrival(time.Now())
	}
}

// endArrival records that the request has arrived whole. It is served even if it was to be refused. The caller
// holds the listener's mutex.
func (c *conn) endArrival(now time.Time) {
	c.phase, c.failing = phaseRead, false
	c.leaveList()
	c.hold.arrived()
	c.setLimitDeadline(now, 0)
}

// endRequest records that the request has been answered.
func (c *conn) endRequest() {
	l := c.listener

	l.mu.Lock()
	defer l.mu.Unlock()

	if !c.http2 {
		c.answered = true
		c.hold.release()
	}
}

// SetReadDeadline sets the deadline of reads, unless the connection is being closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	l := c.listener

	l.mu.Lock()
	defer l.mu.Unlock()

	c.readDeadline = t

	// The server sets one deadline before it waits for a request, and the next one after that. If it
	// has not read in between, it had read the request before.
	if c.answered {
		if c.deadlines++; c.deadlines > 1 {
			c.answered, c.deadlines = false, 0
			c.beginRequest(time.Now())
		}
	}

	c.applyReadDeadline()

	return nil
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)

	return c.SetWriteDeadline(t)
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writes.setDeadline(t)

	return c.Conn.SetWriteDeadline(t) //nolint:wrapcheck // http.Server ignores it
}

// Write writes to the connection. It is bounded by the limits unless a deadline is set.
func (c *conn) Write(b []byte) (int, error) {
	if deadline := c.writes.begin(time.Now()); !deadline.IsZero() {
		_ = c.Conn.SetWriteDeadline(deadline)
	}

	defer c.writes.end()

	return c.Conn.Write(b) //nolint:wrapcheck // http.Server checks its type
}

// Close closes the connection. If a request has not been read whole, the client may still be sending, and the
// answer would be lost to a reset: the connection then stays open for lingerTime, but for an answer that its
// end delimits.
func (c *conn) Close() error {
	l := c.listener

	l.mu.Lock()

	if c.closed {
		l.mu.Unlock()

		return nil
	}

	c.closed = true
	linger := (c.phase == phaseBody && !c.unframed || c.refused) && !c.lingered

	c.leaveList()
	c.hold.release()
	l.mu.Unlock()

	if linger && c.CloseWrite() == nil {
		time.AfterFunc(lingerTime, func() { _ = c.closeNow() })

		return nil
	}

	return c.closeNow()
}

func (c *conn) closeNow() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()

	return c.Conn.Close() //nolint:wrapcheck // a net.Conn returns errors of net
}

// CloseWrite tells the client that no more answers follow. The server calls it before it waits for the client and
// closes the connection.
func (c *conn) CloseWrite() error {
	c.listener.mu.Lock()
	c.lingered = true
	c.listener.mu.Unlock()

	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite() //nolint:wrapcheck // a net.Conn returns errors of net
	}

	return errors.ErrUnsupported
}

// writes records for how long the current write of a connection has been blocked.
type writes struct {
	// timeout bounds a write for which no deadline is set; zero means no bound. It is set once.
	timeout time.Duration

	mu       sync.Mutex
	since    time.Time
	deadline time.Time
}

// begin records that a write begins. It returns the deadline of that write, or zero if it is set already.
func (w *writes) begin(now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.since = now
	if w.timeout <= 0 || !w.deadline.IsZero() {
		return time.Time{}
	}

	return now.Add(w.timeout)
}

func (w *writes) end() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.since = time.Time{}
}

func (w *writes) setDeadline(t time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.deadline = t
}

// blockedSince returns since when a write has been blocked; zero if none is.
func (w *writes) blockedSince() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.since
}
