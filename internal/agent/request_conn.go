package agent

import (
	"bytes"
	"net"
	"sync"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/callers"
)

// requestConn is a connection to the target that counts the bytes of the current request's
// body that have been written. http.Transport doesn't tell: when a write fails because the
// target has reset the connection, the reset is reported to the writer only, and the response
// seems to end regularly. It also reads the head of a response of HTTP/1.0, from which
// http.Transport removes a Transfer-Encoding.
type requestConn struct {
	net.Conn

	mu sync.Mutex
	// head is what has been written of the request, until the empty line that ends its head
	// has been written.
	head      []byte
	headDone  bool
	bodyBytes int
	failed    bool

	// readMu guards the rest. It is separate, because a write may wait until the response has
	// been read.
	readMu   sync.Mutex
	counter  callers.HeadCounter
	charged  *callers.AnswerHead
	encoding answers.EncodingScanner
}

var endOfHead = []byte("\r\n\r\n")

// beginRequest must be called before each request on the connection. The head of its response is charged to head
// before it is parsed.
func (c *requestConn) beginRequest(head *callers.AnswerHead) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.head, c.headDone, c.bodyBytes, c.failed = nil, false, 0, false

	c.readMu.Lock()
	defer c.readMu.Unlock()

	c.encoding = answers.EncodingScanner{}
	c.charged = head
	c.counter.Begin(head.Grow)
}

// endHead records that the response whose head is charged to head has arrived. The connection may carry another
// request already.
func (c *requestConn) endHead(head *callers.AnswerHead) {
	c.readMu.Lock()
	defer c.readMu.Unlock()

	if c.charged == head {
		c.counter.Begin(nil)
	}
}

// refused returns the error that has ended the response before it was parsed, if one has.
func (c *requestConn) refused() error {
	c.readMu.Lock()
	defer c.readMu.Unlock()

	return c.counter.Refused() //nolint:wrapcheck // the caller compares it
}

// Read implements net.Conn.
func (c *requestConn) Read(b []byte) (int, error) {
	if err := c.refused(); err != nil {
		return 0, err
	}

	n, err := c.Conn.Read(b)

	c.readMu.Lock()
	defer c.readMu.Unlock()

	if refused := c.counter.Count(b[:n]); refused != nil {
		return 0, refused //nolint:wrapcheck // the caller compares it
	}

	c.encoding.Scan(b[:n])

	return n, err //nolint:wrapcheck // http.Transport checks the errors of its connections
}

// statesTransferEncoding reports whether the response is one of HTTP/1.0 with a Transfer-Encoding.
func (c *requestConn) statesTransferEncoding() bool {
	c.readMu.Lock()
	defer c.readMu.Unlock()

	return c.encoding.Found()
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
