package callers

import "net"

// Listener closes declined connections before anything is read from them. Its fields must be set
// before the first call.
type Listener struct {
	net.Listener

	// Decline reports whether a new connection is declined.
	Decline func() bool
}

// Accept waits for a connection that is not declined.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err //nolint:wrapcheck // http.Server checks its type
		}

		if !l.Decline() {
			return c, nil
		}

		_ = c.Close()
	}
}
