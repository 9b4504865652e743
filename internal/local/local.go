package local

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/role"
	"github.com/parsleygate/parsleygate/internal/testserver"
)

// announceInterval is the time between two announcements of a target.
const announceInterval = time.Second

// Instance is one running deployment. Its exported fields must be set before Start.
type Instance struct {
	Deployment Deployment
	Logs       logs.Output
	// Dir contains the data directories of the control VMs.
	Dir string
	// EntryPort is the port of the first entry; those of the others follow. 0 means
	// free ports.
	EntryPort uint16
	// OperatorPort is the port of the first control VM; those of the others follow
	// controlPortStep apart. 0 means free ports.
	OperatorPort uint16
	// Bounds are those of the clients of all processes together.
	Bounds callers.Bounds

	controls         []*role.Control
	controlAddresses []netip.AddrPort
	entryAddresses   []netip.AddrPort
	engineTargets    []*Target
	groups           map[string]*testserver.RankGroup
	bookingTargets   []*Target
	logger           *slog.Logger

	mu    sync.Mutex
	dumps []*dump.Dump
}

// Target is a test server with its agent.
type Target struct {
	AgentID string
	Zone    string
	Service Service
	// Address is where the test server itself accepts requests, without its agent.
	Address netip.AddrPort
	// Either Engine or Bookings is set.
	Engine   *testserver.Engine
	Bookings *testserver.BookingService
	// Stop stops the test server and its announcements without notice.
	Stop func()
	// Group and Rank are set for an engine that belongs to an expert group.
	Group string
	Rank  int
}

// Entries returns the base URLs of the entries for callers. It is empty before Start
// has returned.
func (inst *Instance) Entries() []string {
	var out []string
	for _, a := range inst.entryAddresses {
		out = append(out, "http://"+a.String())
	}

	return out
}

// ControlAddresses returns the addresses of the control VMs for operators.
func (inst *Instance) ControlAddresses() []netip.AddrPort { return inst.controlAddresses }

func (inst *Instance) newDump(kind, id string) *dump.Dump {
	inst.mu.Lock()
	defer inst.mu.Unlock()

	d := &dump.Dump{Role: kind, ID: id}
	inst.dumps = append(inst.dumps, d)

	return d
}

// WriteDumps writes the state of every control VM, entry and agent.
func (inst *Instance) WriteDumps(w io.Writer) error {
	inst.mu.Lock()
	defer inst.mu.Unlock()

	for _, d := range inst.dumps {
		if err := d.Write(w); err != nil {
			return err
		}
	}

	return nil
}

// EngineTargets returns the targets that are model engines.
func (inst *Instance) EngineTargets() []*Target { return inst.engineTargets }

// BookingTargets returns the targets that are booking services.
func (inst *Instance) BookingTargets() []*Target { return inst.bookingTargets }

// Start starts all processes in g and returns once the entries answer requests. When
// ctx is canceled, they all shut down gracefully.
func (inst *Instance) Start(ctx context.Context, g *errgroup.Group) error {
	inst.logger = inst.Logs.Logger("local")

	// Entries stop first, then agents, then control VMs. In any other order requests
	// could be refused during the shutdown.
	stopAgents, agentsCtx := detach(ctx)
	stopControl, controlCtx := detach(ctx)

	if err := inst.startControls(controlCtx, g); err != nil {
		return err
	}

	var agents, entries errgroup.Group

	for _, z := range inst.Deployment.Zones {
		for _, s := range inst.Deployment.Services {
			for n := range s.PerZone {
				if err := inst.startTarget(agentsCtx, g, &agents, z, s, n); err != nil {
					return err
				}
			}
		}
	}

	for i, z := range inst.Deployment.Zones {
		if err := inst.startEntry(ctx, &entries, z, i); err != nil {
			return err
		}
	}

	g.Go(func() error {
		defer stopControl()
		defer stopAgents()

		if err := entries.Wait(); err != nil {
			return eris.Wrap(err, "run entries")
		}

		stopAgents()

		return eris.Wrap(agents.Wait(), "run agents")
	})

	return inst.awaitTargets(ctx)
}

// detach returns a context with the values of ctx that is canceled only by stop.
func detach(ctx context.Context) (stop context.CancelFunc, detached context.Context) {
	detached, stop = context.WithCancel(context.WithoutCancel(ctx))

	return stop, detached
}

func listen(ctx context.Context, port uint16) (net.Listener, error) {
	var lc net.ListenConfig

	l, err := lc.Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", port))

	return l, eris.Wrapf(err, "listen on port %d", port)
}
