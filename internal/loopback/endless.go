package loopback

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
)

// Endless is a server that begins the answer to each request with Head, and writes More until the client closes the connection
// or MaxSent bytes are sent, unless that is zero. Its exported fields must be set before Run.
type Endless struct {
	Head, More string
	MaxSent    int
	// Sent receives the number of bytes of each answer.
	Sent chan int

	listener net.Listener
}

// Run starts the server and returns its address.
func (e *Endless) Run() (netip.AddrPort, error) {
	var lc net.ListenConfig

	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err //nolint:wrapcheck // names the operation
	}

	e.listener = l

	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}

			go e.answer(c)
		}
	}()

	return netip.MustParseAddrPort(l.Addr().String()), nil
}

func (e *Endless) answer(c net.Conn) {
	defer func() { _ = c.Close() }()

	_, _ = http.ReadRequest(bufio.NewReader(c))

	size, err := io.WriteString(c, e.Head)
	for ; err == nil && (e.MaxSent == 0 || size < e.MaxSent); size += len(e.More) {
		_, err = io.WriteString(c, e.More)
	}

	e.Sent <- size
}

// Close closes the server's port.
func (e *Endless) Close() { _ = e.listener.Close() }
