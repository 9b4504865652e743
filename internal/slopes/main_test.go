// Package slopes_test measures the CPU time, memory and traffic of idle processes and of
// streams, and how they grow with the size of the deployment. docs/CAPACITY.md is
// based on these figures, which scripts/slopes.sh prints.
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

// byteCounter counts the bytes read from and written to connections.
type byteCounter struct {
	bytes atomic.Int64
}

// listener wraps l to count the bytes of its connections.
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

// listen opens a listener on loopback whose bytes are counted by c.
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

// heapAlloc returns the bytes allocated on the heap after a garbage collection.
func heapAlloc() float64 {
	var m runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&m)

	return float64(m.HeapAlloc)
}
