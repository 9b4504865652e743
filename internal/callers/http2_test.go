package callers_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/callers"
)

// Guards against blocks of fields of HTTP/2 that do not end, and stay when their memory is needed.
func TestBlocksWithoutEndMakeRoom(t *testing.T) {
	t.Parallel()

	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	memory := &callers.Memory{Limit: 1 << 20}
	l := &callers.Listener{
		Listener: inner, Memory: memory, HTTP2: true,
		Limits: func() callers.Limits { return callers.Limits{MaxHeaderBytes: 64 << 10} },
	}
	server := l.Server(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)

	go func() { _ = server.Serve(l) }()

	t.Cleanup(func() { _ = server.Close() })

	// The settings, and a block of 16,000 bytes without its end, each of which stands for a field.
	const size = 16_000

	block := append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"), 0, 0, 0, 4, 0, 0, 0, 0, 0, size>>16, size>>8, size&0xff, 1, 0, 0, 0, 0, 1)
	block = append(block, 0x83, 0x86, 0x84, 0x40, 1, 'a', 1, 'b')
	block = append(block, bytes.Repeat([]byte{0xbe}, size-8)...)

	conns := make([]net.Conn, 2)
	for i := range conns {
		conns[i] = dial(t, inner.Addr().String())
		_, _ = conns[i].Write(block)
	}

	require.Eventually(t, func() bool { return memory.Used() > memory.Limit/2 }, 10*time.Second, time.Millisecond)
	time.Sleep(time.Second) // Longer than requests must be arriving to be ended.

	ended := make(chan struct{}, len(conns))
	for _, c := range conns {
		go func() {
			_, _ = io.Copy(io.Discard, c)

			ended <- struct{}{}
		}()
	}

	// A smaller head needs more than what is left.
	require.Eventually(t, func() bool {
		c := dial(t, inner.Addr().String())
		_, _ = io.WriteString(c, shortLines(maxHead)+"Content-Length: 0\r\n\r\n")

		select {
		case <-ended:
			return true
		case <-time.After(100 * time.Millisecond):
			return false
		}
	}, 10*time.Second, time.Millisecond)
}
