package targetclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// connection is a connection to a target. It carries one request at a time.
type connection struct {
	net.Conn

	id     connID
	target Target
	head   headReader
	// reused is set if the connection has carried a request before the current one.
	reused   bool
	limited  io.LimitedReader
	buffered *bufio.Reader
	// written is set once the current request has been written whole. writeEnded is closed when a
	// long body has been written or cannot be; nil for a body that is written before the answer is
	// read.
	written    atomic.Bool
	writeEnded chan struct{}
}

func newConnection(id connID, target Target, conn net.Conn) *connection {
	c := &connection{Conn: conn, id: id, target: target}
	c.limited.R = conn
	c.head.r = &c.limited
	c.buffered = bufio.NewReaderSize(&c.head, readBufferSize)

	return c
}

// roundTrip sends req and reads the head of the answer.
func (c *connection) roundTrip(req *Request, maxHeaderBytes int) (*http.Response, error) {
	if err := c.SetDeadline(req.Deadline); err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, Err: err}
	}

	c.limited.N = int64(maxHeaderBytes)
	c.head.begin(req.OnHead)

	if err := c.writeRequest(req); err != nil {
		return nil, err
	}

	resp, err := readFinalHead(c.buffered, req.Method) //nolint:bodyclose // closing the connection closes it
	if err != nil {
		return nil, brokenError(err)
	}

	if c.head.encoding.Found() {
		return nil, brokenError(errEncoding10)
	}

	c.limited.N = 1<<63 - 1
	c.head.end()

	return resp, nil
}

// abort resets the connection, so that bytes of a request that is given up and are still held up on their way do not
// arrive later.
func (c *connection) abort() {
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}

	_ = c.Close()
}

// hasReceived reports whether roundTrip has received a byte of the answer.
func (c *connection) hasReceived(maxHeaderBytes int) bool {
	return c.limited.N != int64(maxHeaderBytes)
}

// isMalformed reports whether err, of roundTrip, says that bytes arrived that do not begin an answer.
// On a reused connection they may be left from an earlier one. A broken header is one of the answer.
func isMalformed(err error) bool {
	var (
		network net.Error
		header  textproto.ProtocolError
		broken  *answers.HeadError
	)

	if errors.As(err, &broken) && broken.Part == answers.PartFieldName {
		return false
	}

	return verdict.Of(err) == verdict.MayHaveRun && !errors.As(err, &network) && !errors.As(err, &header) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// boundSilence bounds how long the target's VM may take to acknowledge the current request. A VM that
// was powered off while the connection was idle never does, where a new connection would fail after
// the same time.
func (c *connection) boundSilence(d time.Duration) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}

	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
	}
}

// errBytesWhileIdle means that bytes arrived on an idle connection.
var errBytesWhileIdle = errors.New("targetclient: bytes arrived on an idle connection")

// checkIdle returns an error if a read would not have to wait: the target has closed the
// connection, or has sent bytes that belong to no request. It does not wait.
func (c *connection) checkIdle() error {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}

	raw, err := conn.SyscallConn()
	if err != nil {
		return err //nolint:wrapcheck // only its presence matters
	}

	var (
		n       int
		b       [1]byte
		readErr error
	)

	if err := raw.Control(func(fd uintptr) {
		for {
			n, _, readErr = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if !errors.Is(readErr, unix.EINTR) {
				return
			}
		}
	}); err != nil {
		return err //nolint:wrapcheck // only its presence matters
	}

	switch {
	case errors.Is(readErr, unix.EAGAIN):
		return nil
	case readErr != nil:
		return readErr //nolint:wrapcheck // only its presence matters
	case n == 0:
		return io.EOF
	default:
		return errBytesWhileIdle
	}
}

// errEncoding10 means that an answer of HTTP/1.0 has a Transfer-Encoding.
var errEncoding10 = errors.New("targetclient: answer of HTTP/1.0 has a transfer encoding")

// readFinalHead reads the headers of the final response and skips informational
// (1xx) responses.
func readFinalHead(r *bufio.Reader, method string) (*http.Response, error) {
	req := &http.Request{Method: method}

	for {
		resp, err := http.ReadResponse(r, req) //nolint:bodyclose // closing the connection closes it
		if err != nil {
			return nil, err //nolint:wrapcheck // brokenError wraps it
		}

		if err := answers.Check(resp); err != nil {
			return nil, err //nolint:wrapcheck // brokenError wraps it
		}

		if !answers.IsInformational(resp.StatusCode) {
			return resp, nil
		}
	}
}

// writeRequest writes the request. It returns NotRun only if nothing was written;
// after the first byte the target may run the request.
func (c *connection) writeRequest(req *Request) error {
	c.written.Store(false)
	c.writeEnded = nil

	var b strings.Builder

	b.Grow(readBufferSize / 4)
	b.WriteString(req.Method + " " + req.URI + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")

	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}

	if err := req.Header.Write(&b); err != nil {
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseMalformed, Err: err}
	}

	b.WriteString("\r\n")

	if len(req.Body) <= maxInlineBody {
		b.Write(req.Body)
	}

	n, err := io.WriteString(c.Conn, b.String())

	switch {
	case err != nil && n == 0:
		return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseTargetDown, Err: err}
	case err != nil:
		return brokenError(err)
	}

	if len(req.Body) <= maxInlineBody {
		c.sent(req)

		return nil
	}

	// Written while the caller reads the response. The goroutine ends at the latest when the
	// connection is closed.
	ended := make(chan struct{})
	c.writeEnded = ended

	go func() {
		defer close(ended)

		if _, err := c.Write(req.Body); err == nil {
			c.sent(req)
		}
	}()

	return nil
}

// endWrite ends the writing of a request whose answer has ended, and reports whether it was written
// whole.
func (c *connection) endWrite() bool {
	if c.writeEnded != nil {
		_ = c.SetWriteDeadline(time.Unix(1, 0))

		<-c.writeEnded
	}

	return c.written.Load()
}

func (c *connection) sent(req *Request) {
	c.written.Store(true)

	if req.OnSent != nil {
		req.OnSent()
	}
}

// brokenError wraps an error that occurred after the request was sent, when the
// target may have run it. A timeout is reported as an exceeded deadline. An error of OnHead stays as it is.
func brokenError(err error) error {
	var refused *verdict.Error
	if errors.As(err, &refused) {
		return refused
	}

	cause := verdict.CauseBroken
	if isTimeout(err) {
		cause = verdict.CauseDeadline
	}

	return &verdict.Error{Verdict: verdict.MayHaveRun, Cause: cause, Err: err}
}

// isTimeout reports whether the deadline of a request ended its I/O. The operating system's own
// timeout for acknowledgements is none.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// statesClose reports whether an answer has the header Connection: close. The HTTP library removes the
// header, and sets Close also for an answer without a length.
func statesClose(resp *http.Response) bool {
	return resp.Close && resp.ProtoAtLeast(1, 1) && (resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0)
}

// keepAliveTime returns how long a target says in its answer that it keeps the connection
// open, or zero if it does not say so or says that it takes no further request.
func keepAliveTime(h http.Header) time.Duration {
	const maxSeconds = 1 << 20

	var out time.Duration

	for _, v := range h.Values("Keep-Alive") {
		for param := range strings.SplitSeq(v, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(param), "=")

			name = strings.ToLower(strings.TrimSpace(name))
			if name != "timeout" && name != "max" {
				continue
			}

			n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 64)
			if err != nil || n == 0 {
				return 0
			}

			if d := time.Duration(min(n, maxSeconds)) * time.Second; name == "timeout" && (out == 0 || d < out) {
				out = d
			}
		}
	}

	return out
}
