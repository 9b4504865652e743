package agent

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// endCheckDelay is after what time a target that accepted a connection is checked again. One that is
// ending may close its connections before its listener.
const endCheckDelay = 50 * time.Millisecond

// endedBoot returns what identifies the boot of the target if that has ended while it had the request, or
// zero.
func (x *exchange) endedBoot(e *verdict.Error) uint64 {
	if x.announced == nil || x.disconnected || e.Verdict == verdict.NotRun || e.Cause != verdict.CauseBroken {
		return 0
	}

	boot := max(xxhash.Sum64String(x.announced.BootID), 1)

	for try := range 2 {
		if try > 0 {
			time.Sleep(endCheckDelay)
		}

		if x.refusesConnections() || x.agent.target.load().BootID != x.announced.BootID {
			return boot
		}
	}

	return 0
}

// refusesConnections reports whether nothing listens at the target's address any more.
func (x *exchange) refusesConnections() bool {
	dialer := net.Dialer{Timeout: x.agent.Settings.DialTimeout}

	conn, err := dialer.DialContext(context.Background(), "tcp", x.announced.Address.String())
	if err == nil {
		_ = conn.Close()
	}

	return errors.Is(err, syscall.ECONNREFUSED)
}
