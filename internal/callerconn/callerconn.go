// Package callerconn makes broken answers visible to callers of HTTP/1.0. Their answers
// may end with the connection, so a connection that is closed regularly would make a
// broken answer look complete. It is reset instead.
package callerconn

import (
	"context"
	"net"
	"net/http"
)

// tcpConn is implemented by net.TCPConn and by types that embed it.
type tcpConn interface {
	SetLinger(sec int) error
	Close() error
}

type contextKey struct{}

const (
	// lingerReset makes the kernel reset the connection when it is closed, also if the
	// process ends.
	lingerReset = 0
	// lingerDefault makes the kernel deliver what has been written, and then end the
	// connection regularly.
	lingerDefault = -1
)

// ConnContext stores the TCP connection under c in the context of its requests. It is
// meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if tcp := findTCP(c); tcp != nil {
		return context.WithValue(ctx, contextKey{}, tcp)
	}

	return ctx
}

// findTCP returns the TCP connection under c, or nil if there is none.
func findTCP(c net.Conn) tcpConn {
	for c != nil {
		if tcp, ok := c.(tcpConn); ok {
			return tcp
		}

		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}

		c = wrapper.NetConn()
	}

	return nil
}

// unframed returns the TCP connection of r if the answer to r may be delimited by the end
// of that connection, and nil otherwise.
func unframed(r *http.Request) tcpConn {
	if r.ProtoAtLeast(1, 1) {
		return nil
	}

	tcp, _ := r.Context().Value(contextKey{}).(tcpConn)

	return tcp
}

// ResetUnlessComplete arranges that the connection of r is reset when it is closed before
// complete is called, also if the process ends. It does nothing for HTTP/1.1 and later.
// Call it before the first byte of the answer is written. Flush the answer before
// complete, or the end of the process in between would cut it regularly. Call Reset when
// an answer is cut.
func ResetUnlessComplete(r *http.Request) (complete func()) {
	tcp := unframed(r)
	if tcp == nil {
		return func() {}
	}

	_ = tcp.SetLinger(lingerReset)

	return func() { _ = tcp.SetLinger(lingerDefault) }
}

// Reset resets the connection of r at once. It does nothing for HTTP/1.1 and later. It is
// needed behind TLS: http.Server would close the TLS connection, and thereby tell the
// caller that the answer ended regularly.
func Reset(r *http.Request) {
	if tcp := unframed(r); tcp != nil {
		_ = tcp.SetLinger(lingerReset)
		_ = tcp.Close()
	}
}
