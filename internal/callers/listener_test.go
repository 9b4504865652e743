package callers_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/callerconn"
	"github.com/parsleygate/parsleygate/internal/callers"
)

// Guards against declined connections whose request is read, answered or left without a close.
func TestDeclinedConnectionIsClosedUnread(t *testing.T) {
	t.Parallel()

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	var requests, connections atomic.Int64

	l := &callers.Listener{Listener: inner, Decline: func() bool { return connections.Add(1) == 1 }}
	server := l.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))

	go func() { _ = server.Serve(l) }()

	t.Cleanup(func() { _ = server.Close() })

	c, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)

	defer c.Close()

	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	answer, _ := io.ReadAll(c)
	require.Empty(t, answer)
	require.Zero(t, requests.Load())

	resp, err := http.Get("http://" + inner.Addr().String())
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.EqualValues(t, 1, requests.Load())
}

// Guards against a cut answer to a caller of HTTP/1.0 that ends like a complete one, because the TCP
// connection behind an accepted one is not found.
func TestConnectionsCanBeReset(t *testing.T) {
	t.Parallel()

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	l := &callers.Listener{Listener: inner, Decline: func() bool { return false }, MaxConnections: 10}
	server := l.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		callerconn.ResetUnlessComplete(r)

		_, _ = io.WriteString(w, "half")
		_ = http.NewResponseController(w).Flush()

		panic(http.ErrAbortHandler)
	}))

	go func() { _ = server.Serve(l) }()

	t.Cleanup(func() { _ = server.Close() })

	c, err := net.Dial("tcp", inner.Addr().String())
	require.NoError(t, err)

	defer c.Close()

	_, err = io.WriteString(c, "GET / HTTP/1.0\r\n\r\n")
	require.NoError(t, err)

	_, err = io.ReadAll(c)
	require.ErrorIs(t, err, syscall.ECONNRESET)
}
