package answers_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/loopback"
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
		"HTTP/1.1 103 \r\nContent-Length: 2\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: b\r\n\r\n", "HTTP/3.0 200 OK\r\nContent-Length: 0\r\n\r\n",
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

// kernelBytes is what the kernel takes of a connection that nobody reads, at most.
const kernelBytes = 8 << 20

// Guards against an answer without an end that is kept whole: in its head, its body, or its trailer.
func TestAnswerWithoutAnEndIsBounded(t *testing.T) {
	t.Parallel()

	const ok, maxBody = "HTTP/1.1 200 OK\r\n", 1 << 20

	more := strings.Repeat("x", 32<<10)

	for name, answer := range map[string][2]string{
		"no answer": {"", more}, "status line": {"HTTP/1.1 200 ", more}, "field": {ok + "A: ", more}, "fields": {ok, "A: " + more + "\r\n"},
		"informational": {"", strings.Repeat("HTTP/1.1 102 \r\n\r\n", 1<<10)}, "body": {ok + "\r\n", more}, "failure": {"HTTP/1.1 500 \r\n\r\n", more},
		"length": {ok + "Content-Length: 9000000000000\r\n\r\n", more}, "chunks": {ok + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + more + "\r\n"},
		"small chunks": {ok + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nx\r\n", 1<<10)},
		"trailer":      {ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + more + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			s := &loopback.Endless{Head: answer[0], More: answer[1], Sent: make(chan int, 10)}
			address, err := s.Run()
			require.NoError(t, err)

			defer s.Close()

			resp, err := answers.NewClient(&http.Transport{}, maxBody).Get("http://" + address.String()) //nolint:noctx // the test ends it
			if err == nil {
				var body []byte

				body, err = io.ReadAll(resp.Body)
				require.LessOrEqual(t, len(body), maxBody+(1<<20))
				require.NoError(t, resp.Body.Close())
			}

			require.Error(t, err)
			require.Less(t, <-s.Sent, maxBody+8*kernelBytes)
		})
	}
}

// Guards against many answers that are read at the same time and together exceed the bound of each, and against small ones that these
// keep from arriving.
func TestAnswersAreBoundedTogether(t *testing.T) {
	t.Parallel()

	const maxBody = 1 << 20

	body := strings.Repeat("x", 512<<10)
	large := newRawServer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	small := newRawServer(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 64<<10, body[:64<<10]))
	client := answers.NewClient(&http.Transport{}, maxBody)

	defer client.CloseIdleConnections()

	read := func(s *rawServer) (*http.Response, error) {
		resp, err := client.Get(s.url) //nolint:noctx // the test ends it
		require.NoError(t, err)

		_, err = io.ReadAll(resp.Body)

		return resp, err
	}

	var open []io.Closer

	for range 2 {
		resp, err := read(large) //nolint:bodyclose // closed below
		require.NoError(t, err)

		open = append(open, resp.Body)
	}

	resp, err := read(large)
	require.ErrorIs(t, err, answers.ErrTooLong)
	require.NoError(t, resp.Body.Close())

	resp, err = read(small)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	for _, body := range open {
		require.NoError(t, body.Close())
	}

	for range 4 {
		resp, err := read(large)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
}
