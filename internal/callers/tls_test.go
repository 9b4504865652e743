package callers_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/callers"
)

// tlsConfig returns the configuration of a server with a certificate of the test.
func tlsConfig(t *testing.T, protocols ...string) *tls.Config {
	t.Helper()

	s := httptest.NewUnstartedServer(nil)
	s.StartTLS()
	t.Cleanup(s.Close)

	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: s.TLS.Certificates, NextProtos: protocols}
}

// serveBehindTLS serves a handler on the connections of l, encrypted, and returns the address.
func serveBehindTLS(t *testing.T, l *callers.Listener, h http.HandlerFunc) string {
	t.Helper()

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	l.Listener, l.Encrypted = inner, true
	server := l.Server(h)
	config := tlsConfig(t)

	go func() { _ = server.Serve(tls.NewListener(l, config)) }()

	t.Cleanup(func() { _ = server.Close() })

	return inner.Addr().String()
}

// Guards against callers over TLS whose protocol is not found behind the listener.
func TestCallersOverTLS(t *testing.T) {
	t.Parallel()

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	l := &callers.Listener{
		Listener: tls.NewListener(inner, tlsConfig(t, "h2", "http/1.1")),
		Limits:   callers.DefaultLimits, Memory: &callers.Memory{Limit: 1 << 20}, ChargeBodies: true, HTTP2: true,
	}
	server := l.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.Proto+" "+string(body))
	}))
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	server.Protocols.SetUnencryptedHTTP2(true)

	go func() { _ = server.Serve(l) }()

	t.Cleanup(func() { _ = server.Close() })

	for _, http2 := range []bool{false, true} {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: http2}} //nolint:gosec // a test server

		for range 3 {
			resp, err := client.Post("https://"+inner.Addr().String(), "text/plain", strings.NewReader("body"))
			require.NoError(t, err)

			got, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, map[bool]string{false: "HTTP/1.1 body", true: "HTTP/2.0 body"}[http2], string(got))
		}

		client.CloseIdleConnections()
	}
}

// Guards against requests over TLS whose memory stays charged until their connection ends.
func TestMemoryIsReleasedBehindTLS(t *testing.T) {
	t.Parallel()

	l := &callers.Listener{Limits: callers.DefaultLimits, Memory: &callers.Memory{Limit: 64 << 10}, ChargeBodies: true}
	address := serveBehindTLS(t, l, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}} //nolint:gosec // a test server
	defer client.CloseIdleConnections()

	for range 20 {
		resp, err := client.Post("https://"+address, "text/plain", strings.NewReader(strings.Repeat("b", 10<<10)))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
}

// Guards against handshakes of TLS that do not end, and keep their connections.
func TestHandshakesThatDoNotEndAreClosed(t *testing.T) {
	t.Parallel()

	l := &callers.Listener{Limits: func() callers.Limits {
		return callers.Limits{MaxHeaderBytes: maxHead, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
	}}
	address := serveBehindTLS(t, l, func(http.ResponseWriter, *http.Request) {})

	// Nothing, and the beginning of a record of a handshake.
	for _, sent := range []string{"", "\x16\x03\x01\x02\x00\x01\x00"} {
		c := dial(t, address)
		_, _ = io.WriteString(c, sent)
		_, _ = io.Copy(io.Discard, c) // until the connection is closed
	}

	require.Eventually(t, func() bool { return l.Stats().Open == 0 }, 10*time.Second, 10*time.Millisecond)
}
