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

	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/role"
	"github.com/parsleygate/parsleygate/internal/testserver"
)

// announceInterval is the time between a stand-in's announcements.
const announceInterval = time.Second

// Instance is one running deployment. Its exported fields are set before Run.
type Instance struct {
	Deployment Deployment
	Logs       logs.Output
	// Dir holds the control VMs' data folders.
	Dir string
	// EntryPort is the port of the first entry, the others follow; 0 for any.
	EntryPort uint16
	// OperatorPort is the port of the first control VM, the others follow at a
	// distance of 10; 0 for any.
	OperatorPort uint16

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

// Target is one stand-in with its agent.
type Target struct {
	AgentID string
	Zone    string
	Service Service
	// Address is where the stand-in itself takes requests.
	Address netip.AddrPort
	// Engine or Desk is set.
	Engine   *testserver.Engine
	Bookings *testserver.BookingService
	// Stop ends the stand-in without notice.
	Stop func()
	// Group and Rank are set for an engine that is part of an expert group.
	Group string
	Rank  int
}

// Entries returns the callers' base URLs. It is empty before Start has returned.
func (inst *Instance) Entries() []string {
	var out []string
	for _, a := range inst.entryAddresses {
		out = append(out, "http://"+a.String())
	}

	return out
}

// ControlAddresses returns the addresses of the control VMs, which operators use.
func (inst *Instance) ControlAddresses() []netip.AddrPort { return inst.controlAddresses }

func (inst *Instance) newDump(kind, id string) *dump.Dump {
	inst.mu.Lock()
	defer inst.mu.Unlock()

	d := &dump.Dump{Role: kind, ID: id}
	inst.dumps = append(inst.dumps, d)

	return d
}

// WriteDumps writes the state of every role.
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

// EngineTargets returns the model engines, and Desks the booking desks.
func (inst *Instance) EngineTargets() []*Target { return inst.engineTargets }

// BookingTargets returns the booking desks.
func (inst *Instance) BookingTargets() []*Target { return inst.bookingTargets }

// Start starts everything in g, and returns once callers are welcome. All ends,
// gracefully, after ctx does.
func (inst *Instance) Start(ctx context.Context, g *errgroup.Group) error {
	inst.logger = inst.Logs.Logger("local")

	// Entries leave first, then agents, then control, so that nobody is refused by
	// the order in which the parts end.
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

// detach returns a context that outlives ctx until stop is called.
func detach(ctx context.Context) (stop context.CancelFunc, detached context.Context) {
	detached, stop = context.WithCancel(context.WithoutCancel(ctx))

	return stop, detached
}

func listen(ctx context.Context, port uint16) (net.Listener, error) {
	var lc net.ListenConfig

	l, err := lc.Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", port))

	return l, eris.Wrapf(err, "listen on port %d", port)
}
