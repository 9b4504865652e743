package agent

import (
	"bytes"
	"net"
	"sync"
)

// requestConn is a connection to the target that counts the bytes of the current request's
// body that have been written. http.Transport doesn't tell: when a write fails because the
// target has reset the connection, the reset is reported to the writer only, and the response
// seems to end regularly.
type requestConn struct {
	net.Conn

	mu sync.Mutex
	// head is what has been written of the request, until the empty line that ends its head
	// has been written.
	head      []byte
	headDone  bool
	bodyBytes int
	failed    bool
}

var endOfHead = []byte("\r\n\r\n")

// beginRequest must be called before each request on the connection.
func (c *requestConn) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.head, c.headDone, c.bodyBytes, c.failed = nil, false, 0, false
}

// Write implements net.Conn.
func (c *requestConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	n, err := c.Conn.Write(b)
	c.count(b[:n])

	if err != nil {
		c.failed = true
	}

	return n, err //nolint:wrapcheck // http.Transport checks the errors of its connections
}

func (c *requestConn) count(b []byte) {
	if c.headDone {
		c.bodyBytes += len(b)

		return
	}

	c.head = append(c.head, b...)

	if i := bytes.Index(c.head, endOfHead); i >= 0 {
		c.headDone = true
		c.bodyBytes = len(c.head) - i - len(endOfHead)
		c.head = nil
	}
}

// wroteRequest reports whether a request with a body of size bytes has been written whole. It
// waits for a write that has begun.
func (c *requestConn) wroteRequest(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.headDone && !c.failed && c.bodyBytes >= size
}
