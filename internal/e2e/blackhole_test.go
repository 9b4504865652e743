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

// blackholeListener is a listener whose connections can go silent for good: what is written
// is lost, and so is what comes, while both ends believe the connection stands.
type blackholeListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*blackholeConn
	// dropInbound and out say which ways of new connections are silent from the start.
	dropInbound, dropOutbound bool
}

// blackholeConn is one connection. Once silent it stays so: what stood between the
// two ends has lost track of it.
type blackholeConn struct {
	net.Conn

	dropInbound, dropOutbound atomic.Bool
}

// reserveAddress returns one that a process can come back to: nobody takes it meanwhile.
func reserveAddress(t *testing.T) string {
	t.Helper()

	a, err := loopback.Address()
	require.NoError(t, err)

	return a.String()
}

func listenBlackhole(t *testing.T, address string) *blackholeListener {
	t.Helper()

	var lc net.ListenConfig

	l, err := lc.Listen(context.Background(), "tcp", address)
	require.NoError(t, err)

	return &blackholeListener{Listener: l}
}

func (l *blackholeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	s := &blackholeConn{Conn: c}
	s.dropInbound.Store(l.dropInbound)
	s.dropOutbound.Store(l.dropOutbound)
	l.conns = append(l.conns, s)

	return s, nil
}

// dropCurrent makes all present connections silent for good.
func (l *blackholeListener) dropCurrent(inbound, outbound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, c := range l.conns {
		c.dropInbound.Store(c.dropInbound.Load() || inbound)
		c.dropOutbound.Store(c.dropOutbound.Load() || outbound)
	}
}

// isolate makes present and new connections silent, until called with false:
// connections that are made after that work.
func (l *blackholeListener) isolate(inbound, outbound bool) {
	l.mu.Lock()
	l.dropInbound, l.dropOutbound = inbound, outbound
	l.mu.Unlock()
	l.dropCurrent(inbound, outbound)
}

func (c *blackholeConn) Read(d []byte) (int, error) {
	for {
		n, err := c.Conn.Read(d)
		if err != nil || !c.dropInbound.Load() {
			return n, err
		}
	}
}

func (c *blackholeConn) Write(d []byte) (int, error) {
	if c.dropOutbound.Load() {
		return len(d), nil
	}

	return c.Conn.Write(d)
}
