package agent

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall leaves out.
const tcpUserTimeout = 0x12

// setUserTimeout closes a connection whose other end acknowledges nothing for timeout.
//
// It guards against a connection that has gone silent for good. Heartbeats are too
// small to ever fill the socket's buffer, so writes go on without an error, and the
// target would work for nobody until the deadline. Heartbeats make sure that there
// is something to acknowledge each second.
func setUserTimeout(timeout time.Duration) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		tc, ok := c.(*net.TCPConn)
		if !ok {
			return ctx
		}

		raw, err := tc.SyscallConn()
		if err != nil {
			return ctx
		}

		// Without the option the deadline of the request still ends it.
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})

		return ctx
	}
}
