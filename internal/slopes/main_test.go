// Package slopes_test measures what one process of parsleygate costs when it is
// idle, and how that grows with what it follows. docs/CAPACITY.md is worked out
// from these figures; scripts/slopes.sh prints them.
package slopes_test

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// byteCounter counts the bytes of connections, both ways.
type byteCounter struct {
	bytes atomic.Int64
}

// listener wraps a listener so that its connections are counted.
func (c *byteCounter) listener(l net.Listener) net.Listener {
	return &countedListener{Listener: l, counter: c}
}

type countedListener struct {
	net.Listener

	counter *byteCounter
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &countedConn{Conn: conn, counter: l.counter}, nil
}

type countedConn struct {
	net.Conn

	counter *byteCounter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))

	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))

	return n, err
}

// listen opens a loopback listener that is counted.
func listen(b *testing.B, c *byteCounter) net.Listener {
	b.Helper()

	var lc net.ListenConfig

	l, err := lc.Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)

	return c.listener(l)
}

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()

	var u syscall.Rusage

	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapAlloc returns the bytes in use after a collection.
func heapAlloc() float64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&m)

	return float64(m.HeapAlloc)
}
