package e2e_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/loopback"
)

// line is a listener whose connections can go silent for good: what is written
// is lost, and so is what comes, while both ends believe the connection stands.
type line struct {
	net.Listener

	mu    sync.Mutex
	conns []*silentConn
	// in and out say which ways of new connections are silent from the start.
	in, out bool
}

// silentConn is one connection. Once silent it stays so: what stood between the
// two ends has lost track of it.
type silentConn struct {
	net.Conn

	in, out atomic.Bool
}

// address returns one that a process can come back to: nobody takes it meanwhile.
func address(t *testing.T) string {
	t.Helper()

	a, err := loopback.Address()
	require.NoError(t, err)

	return a.String()
}

func newLine(t *testing.T, address string) *line {
	t.Helper()

	var lc net.ListenConfig

	l, err := lc.Listen(context.Background(), "tcp", address)
	require.NoError(t, err)

	return &line{Listener: l}
}

func (l *line) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	s := &silentConn{Conn: c}
	s.in.Store(l.in)
	s.out.Store(l.out)
	l.conns = append(l.conns, s)

	return s, nil
}

// silence makes all present connections silent for good.
func (l *line) silence(in, out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, c := range l.conns {
		c.in.Store(c.in.Load() || in)
		c.out.Store(c.out.Load() || out)
	}
}

// isolate makes present and new connections silent, until called with false:
// connections that are made after that work.
func (l *line) isolate(in, out bool) {
	l.mu.Lock()
	l.in, l.out = in, out
	l.mu.Unlock()
	l.silence(in, out)
}

func (c *silentConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.in.Load() {
			return n, err
		}
	}
}

func (c *silentConn) Write(b []byte) (int, error) {
	if c.out.Load() {
		return len(b), nil
	}

	return c.Conn.Write(b)
}
