//go:build !linux

package agent

import (
	"context"
	"net"
	"time"
)

// setUserTimeout does nothing on this platform. An unreachable peer is detected at the
// request's deadline.
func setUserTimeout(time.Duration) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, _ net.Conn) context.Context { return ctx }
}
