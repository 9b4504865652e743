package callers

import (
	"container/list"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/parsleygate/parsleygate/internal/logs"
)

const (
	// minIdleTime is how long a connection must have been idle before it is closed to make room. A
	// caller sends the request of a new connection within that time.
	minIdleTime = 500 * time.Millisecond
	// spareDivisor is the part of MaxConnections from which on idle connections are closed.
	spareDivisor = 16
	// maxLinesPerSecond bounds the log lines about refused and closed connections.
	maxLinesPerSecond = 1
)

// Listener accepts the connections of callers. It closes those that are declined, and those beyond
// MaxConnections, before anything is read from them. When it is nearly full, it closes the connection
// that has been idle longest, unless a request arrives on it first. Its exported fields must be set before
// the first call, and TrackState must be the ConnState hook of the server.
type Listener struct {
	net.Listener

	// Decline reports whether a new connection is declined.
	Decline func() bool
	// MaxConnections bounds the open connections; zero means no limit.
	MaxConnections int
	Logger         *slog.Logger

	mu   sync.Mutex
	open int
	// idle lists the connections on which no request is read or answered, longest idle first.
	idle                list.List
	refused, closedIdle int64
	lines               logs.Sampler
}

// Stats are totals since the start, and the open connections now.
type Stats struct {
	Open int
	// Refused counts connections that were closed unread because there were too many, ClosedIdle
	// idle ones that were closed to make room.
	Refused, ClosedIdle int64
}

// Stats returns the current counts.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()

	return Stats{Open: l.open, Refused: l.refused, ClosedIdle: l.closedIdle}
}

// Accept waits for a connection that is not declined and for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			l.acceptFailed(time.Now(), err)

			return nil, err //nolint:wrapcheck // http.Server checks its type, and accepts again later
		}

		if !l.Decline() {
			if c := l.add(time.Now(), inner); c != nil {
				return c, nil
			}
		}

		_ = inner.Close()
	}
}

// acceptFailed makes room if there are too many open files.
func (l *Listener) acceptFailed(now time.Time, err error) {
	if errors.Is(err, net.ErrClosed) {
		return
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.log(now, "Connections of callers cannot be accepted.", "error", err)

	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		l.closeLongestIdle(now)
	}
}

// add returns the connection, or nil if there is no room for it.
func (l *Listener) add(now time.Time, inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.MaxConnections > 0 && l.open >= l.MaxConnections-l.MaxConnections/spareDivisor {
		l.closeLongestIdle(now)
	}

	if l.MaxConnections > 0 && l.open >= l.MaxConnections {
		l.refused++
		l.log(now, "Connection of a caller refused: too many are open.")

		return nil
	}

	l.open++
	c := &conn{Conn: inner, listener: l}
	c.setIdle(now)

	return c
}

// closeLongestIdle makes the server close a connection. The caller holds mu.
func (l *Listener) closeLongestIdle(now time.Time) {
	e := l.idle.Front()
	if e == nil {
		return
	}

	c, ok := e.Value.(*conn)
	if !ok || now.Sub(c.idleSince) < minIdleTime {
		return
	}

	c.clearIdle()
	c.closing = true
	_ = c.Conn.SetReadDeadline(now)
	l.closedIdle++
	l.log(now, "Idle connection of a caller closed: too many are open.")
}

func (l *Listener) log(now time.Time, message string, args ...any) {
	l.lines.PerSecond = maxLinesPerSecond

	if l.Logger != nil && l.lines.Allow(now) {
		l.Logger.Warn(message, append(args, "open", l.open, "limit", l.MaxConnections, "idle", l.idle.Len(), "refused", l.refused, "closedIdle", l.closedIdle)...)
	}
}

// TrackState is the ConnState hook of the server.
func (l *Listener) TrackState(c net.Conn, state http.ConnState) {
	if c, ok := c.(*conn); ok && state == http.StateIdle {
		l.mu.Lock()
		defer l.mu.Unlock()

		c.answered = true
	}
}

// conn is a connection of a caller. The mutex of its listener guards its fields.
type conn struct {
	net.Conn

	listener *Listener
	// element is the place in the list of idle connections, since idleSince; nil while a request is read
	// or answered.
	element   *list.Element
	idleSince time.Time
	// answered is set from the end of an answer until the server reads the next request or finds it
	// already read. deadlines counts the read deadlines set meanwhile.
	answered  bool
	deadlines int
	// closing is set once the next read must fail unless a request has arrived. readDeadline is the
	// deadline that the server has set.
	closing      bool
	readDeadline time.Time
	closed       bool
}

// setIdle adds the connection to the idle ones.
func (c *conn) setIdle(now time.Time) {
	c.idleSince = now
	c.element = c.listener.idle.PushBack(c)
}

// clearIdle removes the connection from the idle ones.
func (c *conn) clearIdle() {
	if c.element != nil {
		c.listener.idle.Remove(c.element)
		c.element = nil
	}
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. A connection counts as idle while its server waits here for the
// first byte of a request.
func (c *conn) Read(b []byte) (int, error) {
	l := c.listener

	l.mu.Lock()
	if c.answered {
		c.answered, c.deadlines = false, 0
		c.setIdle(time.Now())
	}
	l.mu.Unlock()

	n, err := c.Conn.Read(b)

	if n > 0 {
		l.mu.Lock()
		c.use()
		l.mu.Unlock()
	}

	return n, err //nolint:wrapcheck // http.Server checks its type
}

// use marks the connection as one with a request, which is served even if the connection was to be closed.
func (c *conn) use() {
	c.clearIdle()

	if c.closing {
		c.closing = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
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
		}
	}

	if c.closing {
		return nil
	}

	return c.Conn.SetReadDeadline(t) //nolint:wrapcheck // http.Server ignores it
}

// Close closes the connection.
func (c *conn) Close() error {
	l := c.listener

	l.mu.Lock()

	if !c.closed {
		c.closed = true
		l.open--

		c.clearIdle()
	}

	l.mu.Unlock()

	return c.Conn.Close() //nolint:wrapcheck // a net.Conn returns errors of net
}
