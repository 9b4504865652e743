package agent

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not define.
const tcpUserTimeout = 0x12

// setUserTimeout returns a ConnContext hook that closes a connection whose peer has
// acknowledged no data for timeout.
//
// It detects a peer that has become unreachable without closing the connection. Heartbeats are
// too small to ever fill the socket's send buffer, so writes continue to succeed, and the
// target would work until the deadline for a caller that can't be reached. Heartbeats ensure
// that there is data to acknowledge each second.
func setUserTimeout(timeout time.Duration) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, c net.Conn) context.Context {
		tc := tcpConn(c)
		if tc == nil {
			return ctx
		}

		raw, err := tc.SyscallConn()
		if err != nil {
			return ctx
		}

		// If the option can't be set, the request's deadline still applies.
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})

		return ctx
	}
}

// tcpConn returns the TCP connection under c, or nil if there is none.
func tcpConn(c net.Conn) *net.TCPConn {
	for c != nil {
		if tc, ok := c.(*net.TCPConn); ok {
			return tc
		}

		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}

		c = wrapper.NetConn()
	}

	return nil
}
