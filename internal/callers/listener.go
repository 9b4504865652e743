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
	// minBlockedTime is how long a write must have been blocked before its connection is closed to make room.
	minBlockedTime = time.Second
	// spareDivisor is the part of MaxConnections from which on connections are closed to make room.
	spareDivisor = 16
	// maxLinesPerSecond bounds the log lines about refused and closed connections.
	maxLinesPerSecond = 1
	// lingerTime is how long a connection stays open for reading after an answer to a request that was not
	// read whole. A close would reset it, and could discard the answer on its way.
	lingerTime = 500 * time.Millisecond
)

// Listener accepts the connections of HTTP clients, and bounds what they make the process hold. It closes
// those that are declined, and those beyond MaxConnections, before anything is read from them. When it is
// nearly full, it makes room: it closes the connection that has been idle longest, unless a request arrives
// on it first, or else refuses the request that has been arriving longest, or else closes the connection whose
// client has not read for longest. Requests beyond Limits, or for whose head Memory has no room, are
// refused before they are parsed. Its exported fields must be set before the first call, and its connections
// must be served by Server.
type Listener struct {
	net.Listener

	// Decline reports whether a new connection is declined; none is if it is nil.
	Decline func() bool
	// MaxConnections bounds the open connections; zero means no limit.
	MaxConnections int
	// Limits returns the limits in force for the next request; none if it is nil.
	Limits func() Limits
	// Memory bounds the heads of all connections together, if it is set, and the bodies too if ChargeBodies is.
	Memory       *Memory
	ChargeBodies bool
	// Encrypted is set if the server decrypts what the connections carry. Heads cannot be told from bodies then,
	// and no refusal is written.
	Encrypted bool
	// HTTP2 is set if the server serves HTTP/2 too, by prior knowledge.
	HTTP2  bool
	Logger *slog.Logger

	mu    sync.Mutex
	conns map[*conn]struct{}
	// idle lists the connections on which no request is read or answered, longest idle first, and
	// arriving those on which one is read, longest first.
	idle, arriving list.List
	stats          Stats
	lines          logs.Sampler
}

// Stats are totals since the start, and the open connections now.
type Stats struct {
	Open int
	// Refused counts connections that were closed unread because there were too many, ClosedIdle
	// idle ones that were closed to make room, ClosedSlow others that were.
	Refused, ClosedIdle, ClosedSlow int64
	// TooLong counts heads that were refused as too long, TooSlow requests that took too long to arrive, and
	// NoMemory requests that were refused as there was no memory for them.
	TooLong, TooSlow, NoMemory int64
}

// Stats returns the current counts.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()

	s := l.stats
	s.Open = len(l.conns)

	return s
}

// Accept waits for a connection that is not declined and for which there is room.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			l.acceptFailed(time.Now(), err)

			return nil, err //nolint:wrapcheck // http.Server checks its type, and accepts again later
		}

		if l.Decline == nil || !l.Decline() {
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
		l.makeRoom(now)
	}
}

// add returns the connection, or nil if there is no room for it.
func (l *Listener) add(now time.Time, inner net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.MaxConnections > 0 && len(l.conns) >= l.MaxConnections-l.MaxConnections/spareDivisor {
		l.makeRoom(now)
	}

	if l.MaxConnections > 0 && len(l.conns) >= l.MaxConnections {
		l.stats.Refused++
		l.log(now, "Connection of a caller refused: too many are open.")

		return nil
	}

	c := newConn(l, inner)

	if l.conns == nil {
		l.conns = make(map[*conn]struct{})
	}

	l.conns[c] = struct{}{}
	c.setIdle(now)

	return c
}

// makeRoom makes the server close a connection. The caller holds mu.
func (l *Listener) makeRoom(now time.Time) {
	switch {
	case l.closeLongestIdle(now):
	case l.refuseLongestArriving(now):
	default:
		l.closeLongestBlocked(now)
	}
}

func (l *Listener) closeLongestIdle(now time.Time) bool {
	c := first(&l.idle)
	if c == nil || now.Sub(c.since) < minIdleTime {
		return false
	}

	c.leaveList()
	c.closing = true
	_ = c.Conn.SetReadDeadline(now)
	l.stats.ClosedIdle++
	l.log(now, "Idle connection of a caller closed: too many are open.")

	return true
}

func (l *Listener) refuseLongestArriving(now time.Time) bool {
	c := first(&l.arriving)
	if c == nil || now.Sub(c.since) < minArrivalTime {
		return false
	}

	c.leaveList()
	c.failReads(now)
	l.stats.ClosedSlow++
	l.log(now, "Request that arrives slowly refused: too many connections are open.")

	return true
}

func (l *Listener) closeLongestBlocked(now time.Time) {
	var (
		longest *conn
		since   = now.Add(-minBlockedTime)
	)

	for c := range l.conns {
		if at := c.writes.blockedSince(); !at.IsZero() && at.Before(since) {
			longest, since = c, at
		}
	}

	if longest == nil {
		return
	}

	_ = longest.Conn.SetWriteDeadline(now)
	l.stats.ClosedSlow++
	l.log(now, "Connection of a caller that does not read closed: too many are open.")
}

// first returns the first connection of a list, or nil if it is empty.
func first(of *list.List) *conn {
	if e := of.Front(); e != nil {
		c, _ := e.Value.(*conn)

		return c
	}

	return nil
}

func (l *Listener) log(now time.Time, message string, args ...any) {
	l.lines.PerSecond = maxLinesPerSecond

	if l.Logger != nil && l.lines.Allow(now) {
		s := l.stats
		l.Logger.Warn(message, append(args, "open", len(l.conns), "limit", l.MaxConnections, "idle", l.idle.Len(), "arriving", l.arriving.Len(),
			"refused", s.Refused, "closedIdle", s.ClosedIdle, "closedSlow", s.ClosedSlow, "tooLong", s.TooLong, "tooSlow", s.TooSlow, "noMemory", s.NoMemory,
			"held", l.Memory.Used())...)
	}
}

// TrackState is the ConnState hook of the server.
func (l *Listener) TrackState(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}

	if found := findConn(c); found != nil {
		found.endRequest()
	}
}
