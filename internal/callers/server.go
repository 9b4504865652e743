package callers

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/parsleygate/parsleygate/internal/callerconn"
)

type connKey struct{}

// Server returns a server of the listener's connections. Its fields may be changed before it serves, but for
// its hooks and its timeouts.
func (l *Listener) Server(h http.Handler) *http.Server {
	return &http.Server{ //nolint:gosec // the listener bounds the time of a header, as configurations change it
		Handler: &handler{listener: l, next: h}, ConnState: l.TrackState, ConnContext: withConn,
		// The listener refuses heads that are too long by the limits in force. They may exceed the default of
		// the server, which cannot be changed while it runs.
		MaxHeaderBytes: maxServerHeaderBytes,
		ErrorLog:       log.New(errorWriter{listener: l}, "", 0),
	}
}

// errorWriter logs the panics of handlers. What else the server reports is what clients do, and as frequent.
type errorWriter struct{ listener *Listener }

// Write implements io.Writer.
func (w errorWriter) Write(line []byte) (int, error) {
	if logger := w.listener.Logger; logger != nil && bytes.HasPrefix(line, []byte("http: panic")) {
		logger.Error("A handler of requests panicked.", "trace", string(line))
	}

	return len(line), nil
}

// maxServerHeaderBytes exceeds all limits of heads.
const maxServerHeaderBytes = 1 << 30

// withConn stores a connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if found := findConn(c); found != nil {
		ctx = context.WithValue(ctx, connKey{}, found)
	}

	return callerconn.ConnContext(ctx, c)
}

// findConn returns the connection of a listener under c, which may be one of TLS, or nil if there is none.
func findConn(c net.Conn) *conn {
	for c != nil {
		if found, ok := c.(*conn); ok {
			return found
		}

		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}

		c = wrapper.NetConn()
	}

	return nil
}

// handler tells the connection of a request how far it has arrived.
type handler struct {
	listener *Listener
	next     http.Handler
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)

	switch {
	case !ok: // A server in a test, without a Listener.
	case c.isHTTP2():
		h.serveHTTP2(c, w, r)

		return
	default:
		hasBody := r.ContentLength != 0
		c.endHead(hasBody, !r.ProtoAtLeast(1, 1))

		if hasBody {
			b := &body{ReadCloser: r.Body, conn: c, listener: h.listener}
			if h.listener.ChargeBodies {
				b.hold = &c.hold
			}

			r.Body = b
		}
	}

	h.next.ServeHTTP(w, r)
}

// errNoMemory means that there is no memory for a body.
var errNoMemory = errors.New("callers: the memory for requests is full")

// body is the body of a request. It notices its end, and is charged if hold is set.
type body struct {
	io.ReadCloser

	conn     *conn // nil for HTTP/2
	listener *Listener
	hold     *hold
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.conn != nil {
		b.conn.endBody()
	}

	if b.hold != nil && !b.hold.grow(time.Now(), bodyCopies*int64(n)) {
		b.listener.countNoMemory()

		return 0, errNoMemory
	}

	return n, err //nolint:wrapcheck // handlers compare it
}

// countNoMemory counts a request whose body was refused.
func (l *Listener) countNoMemory() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.stats.NoMemory++
	l.log(time.Now(), "Body of a request refused: the memory for requests is full.")
}
