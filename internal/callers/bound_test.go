package callers_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/parsleygate/parsleygate/internal/callers"
)

// startServer serves a handler on connections of which at most maxConnections may be open.
func startServer(t *testing.T, maxConnections int, h http.HandlerFunc) (string, *callers.Listener) {
	t.Helper()

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	l := &callers.Listener{Listener: inner, Decline: func() bool { return false }, MaxConnections: maxConnections}
	server := l.Server(h)

	go func() { _ = server.Serve(l) }()

	t.Cleanup(func() { _ = server.Close() })

	return inner.Addr().String(), l
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()

	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })

	return c
}

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// exchange sends a request on a connection and returns the status of the answer, zero if there is none.
func exchange(c net.Conn) int {
	_, _ = io.WriteString(c, request)

	return readStatus(bufio.NewReader(c))
}

func readStatus(r *bufio.Reader) int {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}

	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()

	return resp.StatusCode
}

// awaitServed waits until a request on a new connection is answered.
func awaitServed(t *testing.T, address string) {
	t.Helper()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}

		defer c.Close()

		_ = c.SetDeadline(time.Now().Add(time.Second))

		return exchange(c) == http.StatusOK
	}, 10*time.Second, 20*time.Millisecond)
}

// Guards against connections that stay open without a request, or after one, and keep others out.
func TestIdleConnectionsMakeRoomForOthers(t *testing.T) {
	t.Parallel()

	address, l := startServer(t, 32, func(http.ResponseWriter, *http.Request) {})

	for i := range 60 {
		c := dial(t, address)
		if i%2 == 0 {
			exchange(c)
		}
	}

	for range 40 {
		awaitServed(t, address)
	}

	s := l.Stats()
	require.LessOrEqual(t, s.Open, 32)
	require.Positive(t, s.Refused)
	require.Positive(t, s.ClosedIdle)
}

// Guards against a request that was read and is cut because its connection was to be closed, or is
// taken for an idle one while it is answered.
func TestConnectionWithRequestIsNotClosed(t *testing.T) {
	t.Parallel()

	release := make(chan struct{})
	address, l := startServer(t, 16, func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			<-release
		}
	})

	const busy = 10

	pipelined := make([]net.Conn, busy)
	for i := range pipelined {
		// The second request arrives with the first one, and the third one while it is answered.
		pipelined[i] = dial(t, address)
		_, _ = io.WriteString(pipelined[i], request+"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	}

	time.Sleep(700 * time.Millisecond) // Longer than connections must be idle to be closed.

	for range 40 {
		awaitServed(t, address)
	}

	for _, c := range pipelined {
		_, _ = io.WriteString(c, request)
	}

	close(release)

	for _, c := range pipelined {
		r := bufio.NewReader(c)
		for range 3 {
			require.Equal(t, http.StatusOK, readStatus(r))
		}
	}

	require.LessOrEqual(t, l.Stats().Open, 16)
}

// failingListener fails to accept at first.
type failingListener struct {
	net.Listener

	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) > 0 {
		err := l.errs[0]
		l.errs = l.errs[1:]

		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}

	return l.Listener.Accept()
}

// Guards against an entry that ends because too many files are open in its process or on its VM.
func TestFailedAcceptsDoNotEndTheServer(t *testing.T) {
	t.Parallel()

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	l := &callers.Listener{
		Listener: &failingListener{Listener: inner, errs: []error{syscall.EMFILE, syscall.ENFILE, syscall.EMFILE}}, Decline: func() bool { return false },
	}
	server := l.Server(http.NotFoundHandler())

	go func() { _ = server.Serve(l) }()

	t.Cleanup(func() { _ = server.Close() })
	require.Equal(t, http.StatusNotFound, exchange(dial(t, inner.Addr().String())))
}

const childVariable = "PARSLEYGATE_TEST_MAX_CONNECTIONS"

// TestServerWithFewDescriptors is the server of the test below, in a process of its own.
func TestServerWithFewDescriptors(t *testing.T) {
	t.Parallel()

	limit, err := strconv.Atoi(os.Getenv(childVariable))
	if err != nil {
		t.Skip("runs as a child of TestFewDescriptorsAreEnough only")
	}

	require.NoError(t, unix.Setrlimit(unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 80, Max: 80}))

	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	// As each request at an entry, one needs a connection to a target.
	address, _ := startServer(t, limit, func(w http.ResponseWriter, _ *http.Request) {
		c, err := net.Dial("tcp", target.Addr().String())
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)

			return
		}

		_ = c.Close()
	})

	fmt.Printf("\nlistening %s\n", address) //nolint:forbidigo // the parent reads it
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// Guards against an entry whose file descriptors are taken by connections that just stay open: it must
// neither end nor stop to serve others.
func TestFewDescriptorsAreEnough(t *testing.T) {
	t.Parallel()

	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestServerWithFewDescriptors$")
	child.Env = append(os.Environ(), childVariable+"=24")

	stdin, err := child.StdinPipe()
	require.NoError(t, err)

	stdout, err := child.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start())

	address := ""

	for lines := bufio.NewScanner(stdout); address == "" && lines.Scan(); {
		address, _ = strings.CutPrefix(lines.Text(), "listening ")
		if address == lines.Text() {
			address = ""
		}
	}

	for range 200 {
		dial(t, address)
	}

	for range 20 {
		awaitServed(t, address)
	}

	require.NoError(t, stdin.Close())
	require.NoError(t, child.Wait())
}
