package callers

import (
	"fmt"
	"net/http"
	"os"
	"time"
)

// refusal is the answer to a request that is refused before it is parsed. It has not run and never will.
type refusal struct {
	status  int
	problem string
	count   func(*Stats) *int64
	header  string
}

// refusalRetryAfter is when a client may come back that was refused for the requests of others.
const refusalRetryAfter = time.Second

//nolint:gochecknoglobals // constant table
var (
	refusalTooLong  = &refusal{status: http.StatusRequestHeaderFieldsTooLarge, problem: "the header is too long", count: func(s *Stats) *int64 { return &s.TooLong }}
	refusalTooSlow  = &refusal{status: http.StatusRequestTimeout, problem: "the header took too long to arrive", count: func(s *Stats) *int64 { return &s.TooSlow }}
	refusalNoMemory = &refusal{status: http.StatusServiceUnavailable, problem: "the memory for requests is full", count: func(s *Stats) *int64 { return &s.NoMemory }, header: retryAfterLine()}
	refusalOverload = &refusal{status: http.StatusServiceUnavailable, problem: "the request arrived slowly, and its place was needed", header: retryAfterLine()}
)

func retryAfterLine() string {
	return fmt.Sprintf("Retry-After: %d\r\n", int(refusalRetryAfter.Seconds()))
}

// bytes returns the answer on the wire.
func (r *refusal) bytes() []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s\n",
		r.status, http.StatusText(r.status), r.header, len(r.problem)+1, r.problem)
}

// refuse answers a request whose head has not arrived whole. It returns the error of the read, after which the
// server closes the connection and writes nothing.
func (c *conn) refuse(r *refusal) error {
	l := c.listener
	now := time.Now()

	l.mu.Lock()
	alreadyRefused := c.refused
	c.refused = true
	c.leaveList()

	if !alreadyRefused {
		if r.count != nil {
			*r.count(&l.stats)++
		}

		l.log(now, "Request of a caller refused before it was read: "+r.problem+".", "status", r.status, "headerBytes", c.headBytes, "lines", c.headLines, "maxHeaderBytes", c.limits.MaxHeaderBytes)
	}
	l.mu.Unlock()

	if !alreadyRefused && !l.Encrypted {
		_ = c.Conn.SetWriteDeadline(now.Add(minBlockedTime))
		_, _ = c.Conn.Write(r.bytes())
	}

	return os.ErrDeadlineExceeded
}
