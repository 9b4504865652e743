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

// blackholeListener is a listener whose connections can be black-holed: data written to
// them and data received on them is dropped, while they stay open on both ends.
type blackholeListener struct {
	net.Listener

	mu    sync.Mutex
	conns []*blackholeConn
	// dropInbound and dropOutbound are the initial settings of new connections.
	dropInbound, dropOutbound bool
}

// blackholeConn is a connection that permanently drops received or written data, as when a
// device between its ends has lost the connection's state.
type blackholeConn struct {
	net.Conn

	dropInbound, dropOutbound atomic.Bool
}

// reserveAddress returns an address that a process can listen on again after a restart:
// no other process takes it in the meantime.
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

// dropCurrent permanently black-holes the open connections, in the given directions.
func (l *blackholeListener) dropCurrent(inbound, outbound bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, c := range l.conns {
		c.dropInbound.Store(c.dropInbound.Load() || inbound)
		c.dropOutbound.Store(c.dropOutbound.Load() || outbound)
	}
}

// isolate sets the directions in which open and new connections are black-holed. After
// isolate(false, false) new connections work; the earlier ones stay as they are.
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
