package callerconn

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// newServer starts a server with ConnContext. change may modify it before it starts.
func newServer(t *testing.T, change func(*httptest.Server), h http.HandlerFunc) *httptest.Server {
	t.Helper()

	srv := httptest.NewUnstartedServer(h)
	srv.Config.ConnContext = ConnContext

	if change != nil {
		change(srv)
	}

	if srv.TLS != nil {
		srv.StartTLS()
	} else {
		srv.Start()
	}

	t.Cleanup(srv.Close)

	return srv
}

func withTLS(srv *httptest.Server) { srv.TLS = &tls.Config{MinVersion: tls.VersionTLS12} }

// withWrappers makes the server's connections embed their TCP connections.
func withWrappers(srv *httptest.Server) { srv.Listener = wrappingListener{srv.Listener} }

type wrappingListener struct{ net.Listener }

type wrappedConn struct{ *net.TCPConn }

func (l wrappingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // test listener
	}

	return wrappedConn{c.(*net.TCPConn)}, nil
}

// get sends a request in protocol proto, and returns the body and the error with which it
// ended. It calls headRead when it has read the head of the answer.
func get(t *testing.T, address, proto string, useTLS bool, headRead func()) (string, error) {
	t.Helper()

	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
	require.NoError(t, err)

	defer c.Close()

	if useTLS {
		c = tls.Client(c, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // the test server's certificate
	}

	_, err = fmt.Fprintf(c, "GET / %s\r\nHost: a\r\n\r\n", proto)
	require.NoError(t, err)

	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)

	defer resp.Body.Close()

	headRead()

	body, err := io.ReadAll(resp.Body)

	return string(body), err
}

// Guards against a cut answer to a caller of HTTP/1.0 that ends like a complete one, and
// against a complete one that is reset.
func TestResetUnlessComplete(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name   string
		change func(*httptest.Server)
		useTLS bool
	}{{"TCP", nil, false}, {"TLS", withTLS, true}, {"embedded TCP connection", withWrappers, false}}

	for _, tc := range cases {
		t.Run(tc.name+", cut", func(t *testing.T) {
			t.Parallel()

			read := make(chan struct{})
			srv := newServer(t, tc.change, func(w http.ResponseWriter, r *http.Request) {
				ResetUnlessComplete(r)

				_, _ = io.WriteString(w, "half")
				_ = http.NewResponseController(w).Flush()

				<-read

				Reset(r)
				panic(http.ErrAbortHandler)
			})

			_, err := get(t, srv.Listener.Addr().String(), "HTTP/1.0", tc.useTLS, func() { close(read) })
			require.ErrorIs(t, err, syscall.ECONNRESET)
		})
		t.Run(tc.name+", complete", func(t *testing.T) {
			t.Parallel()

			// More than the socket buffers hold, so that most of it is sent after complete.
			want := strings.Repeat("0123456789abcdef", 1<<20)
			srv := newServer(t, tc.change, func(w http.ResponseWriter, r *http.Request) {
				complete := ResetUnlessComplete(r)
				_, _ = io.WriteString(w, want)
				_ = http.NewResponseController(w).Flush()

				complete()
			})

			got, err := get(t, srv.Listener.Addr().String(), "HTTP/1.0", tc.useTLS, func() {})
			require.NoError(t, err)
			require.True(t, want == got, "got %d bytes", len(got))
		})
	}
}

// Guards against a regular end of an answer whose handler panics.
func TestPanicResetsConnection(t *testing.T) {
	t.Parallel()

	read := make(chan struct{})
	srv := newServer(t, nil, func(w http.ResponseWriter, r *http.Request) {
		ResetUnlessComplete(r)

		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()

		<-read
		panic(http.ErrAbortHandler)
	})

	_, err := get(t, srv.Listener.Addr().String(), "HTTP/1.0", false, func() { close(read) })
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// serveUntilKilled is set in the process that TestProcessEndResetsConnection kills.
const serveUntilKilled = "CALLERCONN_SERVE_UNTIL_KILLED"

// Guards against a regular end of an answer whose process is killed, with and without TLS.
func TestProcessEndResetsConnection(t *testing.T) {
	t.Parallel()

	for _, useTLS := range []bool{false, true} {
		t.Run(fmt.Sprintf("TLS %v", useTLS), func(t *testing.T) {
			t.Parallel()

			cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestServeUntilKilled$")
			cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%v", serveUntilKilled, useTLS))
			stdout, err := cmd.StdoutPipe()
			require.NoError(t, err)
			require.NoError(t, cmd.Start())

			line, err := bufio.NewReader(stdout).ReadString('\n')
			require.NoError(t, err)

			_, err = get(t, strings.TrimSpace(line), "HTTP/1.0", useTLS, func() {
				require.NoError(t, cmd.Process.Kill())
			})
			require.ErrorIs(t, err, syscall.ECONNRESET)

			_ = cmd.Wait()
		})
	}
}

// TestServeUntilKilled is the process that TestProcessEndResetsConnection starts. It begins
// an answer and does not end it.
func TestServeUntilKilled(t *testing.T) { //nolint:paralleltest // serves in a process of its own
	useTLS := os.Getenv(serveUntilKilled)
	if useTLS == "" {
		t.Skip("runs in a process of its own")
	}

	var change func(*httptest.Server)
	if useTLS == "true" {
		change = withTLS
	}

	srv := newServer(t, change, func(w http.ResponseWriter, r *http.Request) {
		ResetUnlessComplete(r)

		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()

		select {}
	})

	_, _ = fmt.Fprintln(os.Stdout, srv.Listener.Addr())

	select {}
}

// Guards against resetting connections whose answers are framed: their callers would lose
// the bytes in transit.
func TestFramedAnswersAreNotReset(t *testing.T) {
	t.Parallel()

	srv := newServer(t, nil, func(w http.ResponseWriter, r *http.Request) {
		ResetUnlessComplete(r)

		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()

		Reset(r)
		panic(http.ErrAbortHandler)
	})

	body, err := get(t, srv.Listener.Addr().String(), "HTTP/1.1", false, func() {})
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, "half", body)
}

// Guards against a failure of requests whose connection is not TCP.
func TestConnectionWithoutTCP(t *testing.T) {
	t.Parallel()

	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()

	ctx := ConnContext(context.Background(), a)
	r := httptest.NewRequest(http.MethodGet, "/", nil).WithContext(ctx)
	r.Proto, r.ProtoMajor, r.ProtoMinor = "HTTP/1.0", 1, 0

	ResetUnlessComplete(r)()
	Reset(r)
}
