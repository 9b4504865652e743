//go:build !linux

package agent

import (
	"context"
	"net"
	"time"
)

// boundAcks does nothing here: the deadline of a request ends it.
func boundAcks(time.Duration) func(context.Context, net.Conn) context.Context {
	return func(ctx context.Context, _ net.Conn) context.Context { return ctx }
}
