package agent

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a target that keeps working for an entry that has become unreachable.
// Loopback can't simulate that, so the test checks only that the socket option is set.
func TestUserTimeoutIsSet(t *testing.T) {
	t.Parallel()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	defer ln.Close()

	out, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)

	defer out.Close()

	in, err := ln.Accept()
	require.NoError(t, err)

	defer in.Close()

	setUserTimeout(7*time.Second)(context.Background(), in)

	raw, err := in.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)

	got := 0

	require.NoError(t, raw.Control(func(fd uintptr) {
		got, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	require.NoError(t, err)
	require.Equal(t, 7000, got)
}
