package targetclient

import (
	"container/list"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"
)

// Target identifies one incarnation of a target. A connection to it is not used for another
// incarnation at the same address.
type Target struct {
	Address   netip.AddrPort
	ID        string
	StartTime int64
}

// NoLimit is the limit of connections to a target that declares none.
const NoLimit = 1<<31 - 1

const (
	// maxIdlePerTarget is the maximum number of idle connections to a target.
	maxIdlePerTarget = 2
	// maxIdleTime bounds how long a connection is idle, whatever the target states.
	maxIdleTime = 8 * time.Second
	// idleFraction is the part of the time stated by a target for which a connection is kept.
	// idleMargin is subtracted from it if the stated time exceeds idleMarginFrom. A target that
	// closes a connection when a request is on its way makes a retry necessary.
	idleFraction   = 0.6
	idleMargin     = time.Second
	idleMarginFrom = 2 * time.Second
	// reusePause is how long a target gets no reuse after it has closed a reused connection
	// without an answer, or has sent bytes that belong to no request.
	reusePause = 10 * time.Second
)

// idleTime returns how long a connection may be idle whose target states that it closes
// idle connections after keepAlive.
func idleTime(keepAlive time.Duration) time.Duration {
	keepAlive = min(keepAlive, 2*maxIdleTime)

	d := time.Duration(float64(keepAlive) * idleFraction)
	if keepAlive > idleMarginFrom {
		d -= idleMargin
	}

	return min(d, maxIdleTime)
}

// CloseReason is why a connection was closed.
type CloseReason string

// The reasons for which connections are closed. Help describes them.
const (
	closeFailed      CloseReason = "Failed"
	closeNotKept     CloseReason = "NotKept"
	closeStated      CloseReason = "Stated"
	closeNoKeepAlive CloseReason = "NoKeepAlive"
	closeBytes       CloseReason = "Bytes"
	closeByTarget    CloseReason = "ByTarget"
	closeUnanswered  CloseReason = "Unanswered"
	closePaused      CloseReason = "Paused"
	closeExpired     CloseReason = "Expired"
	closeBound       CloseReason = "Bound"
	closeLeft        CloseReason = "Left"
	closeStopping    CloseReason = "Stopping"
)

// closeReasons holds the reasons and their descriptions in the order in which the reference lists
// them.
var closeReasons = []struct { //nolint:gochecknoglobals // constant table
	reason CloseReason
	help   string
}{
	{closeFailed, "the request failed, its answer was not complete, or its caller left"},
	{closeNotKept, "the target's service keeps no connections, or the target has left"},
	{closeStated, "the answer says that the connection ends after it, or has no length"},
	{closeNoKeepAlive, "the answer does not say how long the connection stays open, or too short a time"},
	{closeBytes, "more bytes arrived than the answer has"},
	{closeByTarget, "the target closed it while it was idle"},
	{closeUnanswered, "the target closed it after it was reused, before any byte of the answer"},
	{closePaused, "the target is leaving, or has misused a connection lately"},
	{closeExpired, "it was idle for too long"},
	{closeBound, "there were too many idle connections, or too many connections to the target"},
	{closeLeft, "it was idle and the target has left, or gets no requests of this entry"},
	{closeStopping, "this entry stops"},
}

// CloseReasons lists all reasons.
func CloseReasons() []CloseReason {
	out := make([]CloseReason, 0, len(closeReasons))
	for _, r := range closeReasons {
		out = append(out, r.reason)
	}

	return out
}

// Help describes the reason.
func (r CloseReason) Help() string {
	for _, known := range closeReasons {
		if known.reason == r {
			return known.help
		}
	}

	return ""
}

// connID identifies a connection within a process.
type connID uint64

// closing is the decision to close an idle connection.
type closing struct {
	id     connID
	reason CloseReason
}

// pool decides which connections are kept, reused and closed. It addresses a steady load of short
// requests to a few dozen targets, where a connection per request costs a round trip and a handshake
// each, while targets close idle connections after seconds or at any time. It does no I/O and reads
// no clock. It is not safe for concurrent use.
type pool struct {
	// maxIdle is the maximum number of idle connections.
	maxIdle  int
	stopping bool
	targets  map[Target]*targetConns
	// recent holds the idle connections, least recently used first.
	recent list.List
}

// targetConns are the connections to one target.
type targetConns struct {
	target Target
	// limit is the maximum number of connections, in flight and idle; zero if none are kept.
	limit    int
	inFlight int
	// idle holds the idle connections, least recently used first.
	idle []*idleConn
	// noReuseUntil is until when no connection is kept.
	noReuseUntil time.Time
	// idleCount is the length of idle. Other goroutines read it.
	idleCount atomic.Int32
}

type idleConn struct {
	id      connID
	target  *targetConns
	expires time.Time
	// lastRequest is the ID of the last request on the connection.
	lastRequest string
	element     *list.Element
}

// connsOf returns the connections to a target, which it adds if it is new.
func (p *pool) connsOf(target Target) *targetConns {
	t := p.targets[target]
	if t == nil {
		if p.targets == nil {
			p.targets = make(map[Target]*targetConns)
		}

		t = &targetConns{target: target}
		p.targets[target] = t
	}

	return t
}

// retain replaces the targets to which connections are kept, and the maximum number of
// connections to each.
func (p *pool) retain(limits map[Target]int) []closing {
	var out []closing

	for target, t := range p.targets {
		t.limit = limits[target]
		if t.limit == 0 {
			out = p.closeIdle(out, t, 0, closeLeft)
		} else {
			out = p.closeIdle(out, t, max(0, t.limit-t.inFlight), closeBound)
		}

		p.removeUnused(t)
	}

	for target, limit := range limits {
		if limit > 0 {
			p.connsOf(target).limit = limit
		}
	}

	return out
}

// dial counts a new connection to a target. If that exceeds the limit, idle ones are closed.
func (p *pool) dial(target Target) []closing {
	t := p.connsOf(target)
	t.inFlight++

	if t.limit == 0 {
		return nil
	}

	return p.closeIdle(nil, t, max(0, t.limit-t.inFlight), closeBound)
}

// take returns the most recently used idle connection on which the request may be sent. The
// connection counts as in flight. A connection whose last request had the same ID is not
// used: a second answer to that request could not be told from the answer to this one.
func (p *pool) take(now time.Time, target Target, request string) (id connID, ok bool) {
	t := p.targets[target]
	if t == nil {
		return 0, false
	}

	for _, c := range slices.Backward(t.idle) {
		if now.Before(c.expires) && c.lastRequest != request {
			p.remove(c)

			t.inFlight++

			return c.id, true
		}
	}

	return 0, false
}

// keep decides whether a connection in flight becomes idle after a complete answer. It
// returns the reason if not, and the idle connections to close instead of it.
func (p *pool) keep(now time.Time, target Target, id connID, request string, keepAlive time.Duration) (CloseReason, []closing) {
	t := p.connsOf(target)
	reason := closeStopping

	switch d := idleTime(keepAlive); {
	case p.stopping:
	case t.limit == 0:
		reason = closeNotKept
	case now.Before(t.noReuseUntil):
		reason = closePaused
	case d <= 0:
		reason = closeNoKeepAlive
	case p.maxIdle <= 0 || t.inFlight > t.limit:
		reason = closeBound
	default:
		c := &idleConn{id: id, target: t, expires: now.Add(d), lastRequest: request}
		c.element = p.recent.PushBack(c)
		t.idle = append(t.idle, c)
		t.idleCount.Store(int32(len(t.idle)))
		t.inFlight--

		out := p.closeIdle(nil, t, min(maxIdlePerTarget, t.limit-t.inFlight), closeBound)

		for p.recent.Len() > p.maxIdle {
			oldest, _ := p.recent.Front().Value.(*idleConn)
			out = p.close(out, oldest, closeBound)
		}

		return "", out
	}

	p.done(target)

	return reason, nil
}

// done ends a connection in flight that is not kept.
func (p *pool) done(target Target) {
	t := p.connsOf(target)
	t.inFlight = max(0, t.inFlight-1)
	p.removeUnused(t)
}

// pause closes the idle connections to a target, and neither keeps nor reuses any for a while.
func (p *pool) pause(now time.Time, target Target) []closing {
	t := p.targets[target]
	if t == nil {
		return nil
	}

	t.noReuseUntil = now.Add(reusePause)

	return p.closeIdle(nil, t, 0, closePaused)
}

// closeAll closes the idle connections to a target that has closed another one.
func (p *pool) closeAll(target Target) []closing {
	if t := p.targets[target]; t != nil {
		return p.closeIdle(nil, t, 0, closeLeft)
	}

	return nil
}

// stop closes all idle connections, and lets no connection become idle any more.
func (p *pool) stop() []closing {
	p.stopping = true

	var out []closing
	for p.recent.Len() > 0 {
		c, _ := p.recent.Front().Value.(*idleConn)
		out = p.close(out, c, closeStopping)
	}

	return out
}

// expire closes the connections that have been idle for too long.
func (p *pool) expire(now time.Time) []closing {
	var out []closing

	for e := p.recent.Front(); e != nil; {
		c, _ := e.Value.(*idleConn)
		e = e.Next()

		if !now.Before(c.expires) {
			out = p.close(out, c, closeExpired)
		}
	}

	return out
}

// closeIdle closes the least recently used idle connections to t until n remain.
func (p *pool) closeIdle(out []closing, t *targetConns, n int, reason CloseReason) []closing {
	for len(t.idle) > n {
		out = p.close(out, t.idle[0], reason)
	}

	return out
}

func (p *pool) close(out []closing, c *idleConn, reason CloseReason) []closing {
	p.remove(c)

	return append(out, closing{id: c.id, reason: reason})
}

// remove ends the idle time of a connection.
func (p *pool) remove(c *idleConn) {
	p.recent.Remove(c.element)

	t := c.target
	t.idle = slices.DeleteFunc(t.idle, func(o *idleConn) bool { return o == c })
	t.idleCount.Store(int32(len(t.idle)))
}

// removeUnused forgets a target without connections to which none are kept.
func (p *pool) removeUnused(t *targetConns) {
	if t.limit == 0 && t.inFlight == 0 && len(t.idle) == 0 {
		delete(p.targets, t.target)
	}
}
