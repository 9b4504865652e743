package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// limitedListener accepts connections of which each delivers a number of bytes, and then fails writes
// as one whose deadline has passed does.
type limitedListener struct {
	net.Listener

	bytes atomic.Int64
}

func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &limitedConn{TCPConn: c.(*net.TCPConn), bytes: int(l.bytes.Load())}, nil
}

type limitedConn struct {
	*net.TCPConn

	bytes int
}

func (c *limitedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b[:min(len(b), c.bytes)])
	c.bytes -= n

	if err == nil && n < len(b) {
		err = os.ErrDeadlineExceeded
	}

	return n, err
}

// Guards against an answer whose writing to the caller failed in part, and that ends as a complete one.
func TestAnswerThatIsWrittenInPartDoesNotLookComplete(t *testing.T) {
	t.Parallel()

	stream := streamEvents(1, 3)

	answers := map[string]behaviour{
		"stream": func(_ *fakeAgent, s *answerWriter) {
			s.head(http.StatusOK, eventStream)
			s.data(stream)
			s.end()
		},
		"stream with a length": func(_ *fakeAgent, s *answerWriter) {
			s.headWithLength(eventStream, len(stream))
			s.data(stream)
			s.end()
		},
		"plain": func(_ *fakeAgent, s *answerWriter) {
			s.head(http.StatusOK, "text/plain")
			s.data(stream)
			s.end()
		},
		"plain with a length": func(_ *fakeAgent, s *answerWriter) {
			s.headWithLength("text/plain", len(stream))
			s.data(stream)
			s.end()
		},
	}

	for name, answer := range answers {
		for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, path := range []string{"v1/drafts", "v1/bookings"} {
				t.Run(name+protocol+path, func(t *testing.T) {
					t.Parallel()

					a := newFakeAgent(t, "agent-1", answer)

					limited := &limitedListener{}
					f := newFixture(t, streamService, func(e *Entry) {
						limited.Listener = e.Listener
						e.Listener = limited
					}, a)

					for n := int64(0); ; n += 3 {
						limited.bytes.Store(n)

						body, complete := callOnce(t, f, protocol, path, strconv.FormatInt(n, 10))
						if complete && body == stream {
							return
						}

						require.False(t, complete, "ended after %d bytes with %q", n, body)
						require.Less(t, n, int64(2000))
					}
				})
			}
		}
	}
}

// callOnce sends a request with a key. It returns the body of the answer, and whether it ended as its
// framing says.
func callOnce(t *testing.T, f *fixture, protocol, path, key string) (string, bool) {
	t.Helper()

	c, err := net.Dial("tcp", strings.TrimPrefix(f.base, "http://")) //nolint:noctx // ends with the test
	require.NoError(t, err)

	defer c.Close()

	_, err = fmt.Fprintf(c, "POST /%s/%s %s\r\nHost: a\r\nConnection: close\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", streamService, path, protocol, HeaderKey, key)
	require.NoError(t, err)

	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", false
	}

	defer resp.Body.Close()

	body, err := io.ReadAll(resp.Body)

	return string(body), err == nil
}
