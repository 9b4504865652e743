package answers

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
)

// ErrTooLong means that an answer exceeds its bound.
var ErrTooLong = errors.New("answers: answer exceeds its bound")

// Transport is an http.RoundTripper that checks answers. Its fields must be set before use.
type Transport struct {
	// Base sends the requests. It must bound the heads of answers.
	Base *http.Transport
}

// RoundTrip implements http.RoundTripper. The connection of an answer that is refused is closed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn net.Conn

	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }})
	ctx = CheckInformational(ctx, t.Base.MaxResponseHeaderBytes)

	resp, err := t.Base.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return nil, err //nolint:wrapcheck // http.Client wraps it
	}

	if err := Check(resp); err != nil {
		_ = resp.Body.Close()
		// The transport has already returned the connection of an answer without a body to its pool.
		_ = conn.Close()

		return nil, err
	}

	return resp, nil
}

// CloseIdleConnections closes the idle connections. http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.Base.CloseIdleConnections() }
