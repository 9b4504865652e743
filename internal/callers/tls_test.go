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

// Guards against callers over TLS whose protocol is not found behind the listener.
func TestCallersOverTLS(t *testing.T) {
	t.Parallel()

	certificate := httptest.NewUnstartedServer(nil)
	certificate.StartTLS()
	t.Cleanup(certificate.Close)

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	l := &callers.Listener{
		Listener: tls.NewListener(inner, &tls.Config{MinVersion: tls.VersionTLS12, Certificates: certificate.TLS.Certificates, NextProtos: []string{"h2", "http/1.1"}}),
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

	certificate := httptest.NewUnstartedServer(nil)
	certificate.StartTLS()
	t.Cleanup(certificate.Close)

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	l := &callers.Listener{Listener: inner, Limits: callers.DefaultLimits, Memory: &callers.Memory{Limit: 64 << 10}, ChargeBodies: true, Encrypted: true}
	server := l.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))

	go func() {
		_ = server.Serve(tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: certificate.TLS.Certificates}))
	}()

	t.Cleanup(func() { _ = server.Close() })

	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}} //nolint:gosec // a test server
	defer client.CloseIdleConnections()

	for range 20 {
		resp, err := client.Post("https://"+inner.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("b", 10<<10)))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusOK, resp.StatusCode)
	}
}

// Guards against handshakes of TLS that do not end, and keep their connections.
func TestHandshakesThatDoNotEndAreClosed(t *testing.T) {
	t.Parallel()

	certificate := httptest.NewUnstartedServer(nil)
	certificate.StartTLS()
	t.Cleanup(certificate.Close)

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	l := &callers.Listener{Listener: inner, Encrypted: true, Limits: func() callers.Limits {
		return callers.Limits{MaxHeaderBytes: maxHead, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
	}}
	server := l.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))

	go func() {
		_ = server.Serve(tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS13, Certificates: certificate.TLS.Certificates}))
	}()

	t.Cleanup(func() { _ = server.Close() })

	// Nothing, and the beginning of a record of a handshake.
	for _, sent := range []string{"", "\x16\x03\x01\x02\x00\x01\x00"} {
		c := dial(t, inner.Addr().String())
		_, _ = io.WriteString(c, sent)
		_, _ = io.Copy(io.Discard, c) // until the connection is closed
	}

	require.Eventually(t, func() bool { return l.Stats().Open == 0 }, 10*time.Second, 10*time.Millisecond)
}
