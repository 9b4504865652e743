package cmds

import (
	"os"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/settings"
)

const (
	// heldMemoryDivisor is the part of a process's memory that request bodies and answers may take:
	// the rest is for connections, the state, and garbage that is not collected yet. In a process
	// other than an entry that proxies directly it is also for headers.
	heldMemoryDivisor = 4
	// headerMemoryDivisor is the part of the memory of an entry that proxies directly which headers
	// may take.
	headerMemoryDivisor = 8
	// heapDivisor and heapParts are the part of a process's memory beyond which the runtime collects
	// garbage more often: the rest is for its code and for what the runtime does not count.
	heapDivisor, heapParts = 4, 3

	// connectionMemoryDivisor is the part of a process's memory that connections of clients may take,
	// and connectionBytes what one takes: its buffers, its goroutine and a request in flight.
	connectionMemoryDivisor = 4
	connectionBytes         = 32 << 10
	// reservedDescriptors is the number of file descriptors for listeners, control VMs, agents, the
	// balancer, operators and the log.
	reservedDescriptors = 160
	// adminConnections bounds the connections of a port that few clients use.
	adminConnections = 48
	// minCallerConnections is used where so few descriptors or so little memory are left that the
	// process can hardly work.
	minCallerConnections = 16
	// idleDescriptorDivisor is the part of a process's file descriptors that idle connections may take:
	// each request in flight needs two, one for its caller and one for its target.
	idleDescriptorDivisor = 4
)

// clientBounds returns the bounds of the clients of a process that are not callers. Each of the two ports of an
// agent or a control VM may have half of the descriptors.
func clientBounds(p *process) callers.Bounds {
	s := p.settings
	b := callers.Bounds{
		Limits: callers.DefaultLimits(), MaxConnections: callerConnections(0, 0, s.Process.MemoryMB),
		Memory: &callers.Memory{Limit: int64(s.Process.MemoryMB) << 20 / heldMemoryDivisor}, Logs: p.logs, Metrics: p.dump.Metrics,
	}
	b.Limits.MaxHeaderBytes, b.Limits.HeaderTimeout = s.Clients.MaxHeaderBytes, s.Clients.HeaderTimeout
	b.Limits.BodyTimeout, b.Limits.IdleTimeout = s.Clients.BodyTimeout, s.Clients.IdleTimeout

	if s.Process.Role == settings.RoleEntry {
		b.MaxConnections = adminConnections
	}

	if s.Routing.ReadyAddress.IsValid() {
		b.Memory.Limit = int64(s.Process.MemoryMB) << 20 / headerMemoryDivisor
	}

	return b
}

// limitHeap makes the runtime collect garbage before the process reaches its memory.
func limitHeap(memoryMB int) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(memoryMB) << 20 / heapDivisor * heapParts)
	}
}

// idleConnections returns the maximum number of idle connections: the setting, or fewer if the
// process may open few files.
func idleConnections(setting int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return setting
	}

	return int(min(uint64(setting), limit.Cur/idleDescriptorDivisor))
}

// callerConnections returns the maximum number of connections of callers: the setting, or fewer if
// the process may open few files or has little memory. Each connection of a caller may need another
// one to a target, beside idle ones to targets.
func callerConnections(setting, idle, memoryMB int) int {
	limit := memoryMB << 20 / connectionMemoryDivisor / connectionBytes

	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil {
		limit = min(limit, callerDescriptors(files.Cur, idle))
	}

	if setting > 0 {
		limit = min(limit, setting)
	}

	return max(limit, minCallerConnections)
}

// callerDescriptors returns the number of file descriptors for callers, of all that the process may open.
func callerDescriptors(descriptors uint64, idle int) int {
	return (int(min(descriptors, 1<<20)) - reservedDescriptors - idle) / 2
}
