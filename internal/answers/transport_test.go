package answers_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/answers"
)

// rawServer writes the same bytes in answer to each request, and keeps its connections open.
type rawServer struct {
	url   string
	conns atomic.Int64
}

func newRawServer(t *testing.T, answer string) *rawServer {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	s := &rawServer{url: "http://" + l.Addr().String()}

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			s.conns.Add(1)

			go func() {
				defer func() { _ = c.Close() }()

				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}

					_, _ = io.WriteString(c, answer)
				}
			}()
		}
	}()

	return s
}

// get sends a request through a new transport of tr and reads its answer.
func (s *rawServer) get(t *testing.T, tr *answers.Transport) (string, error) {
	t.Helper()

	resp, err := (&http.Client{Transport: tr}).Get(s.url) //nolint:noctx // the test ends it
	if err != nil {
		return "", err //nolint:wrapcheck // the test compares it
	}

	defer func() { _ = resp.Body.Close() }()

	body, err := io.ReadAll(resp.Body)

	return string(body), err
}

func newTransport() *answers.Transport {
	return &answers.Transport{Base: &http.Transport{MaxResponseHeaderBytes: 16 << 10}}
}

// Guards against a connection that is used again after a broken answer, also one without a body.
func TestConnectionOfABrokenAnswerIsNotUsedAgain(t *testing.T) {
	t.Parallel()

	for _, answer := range []string{
		"HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 600 \r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 101 \r\n\r\n",
		"HTTP/1.1 103 \r\nContent-Length: 2\r\n\r\n", "HTTP/3.0 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		s, tr := newRawServer(t, answer), newTransport()

		for n := range 3 {
			_, err := s.get(t, tr)

			var broken *answers.HeadError

			require.ErrorAs(t, err, &broken, "%q", answer)
			require.EqualValues(t, n+1, s.conns.Load(), "%q", answer)
		}

		tr.CloseIdleConnections()
	}
}

// Guards against connections that are not used again after sound answers.
func TestConnectionOfASoundAnswerIsUsedAgain(t *testing.T) {
	t.Parallel()

	s, tr := newRawServer(t, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 599 Odd\r\nContent-Length: 2\r\n\r\n{}"), newTransport()
	defer tr.CloseIdleConnections()

	for range 3 {
		body, err := s.get(t, tr)
		require.NoError(t, err)
		require.Equal(t, "{}", body)
	}

	require.EqualValues(t, 1, s.conns.Load())
}
