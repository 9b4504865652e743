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

// announceEvery is the time between a stand-in's announcements.
const announceEvery = time.Second

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

	controls  []*role.Control
	operators []netip.AddrPort
	entries   []netip.AddrPort
	engines   []*Target
	groups    map[string]*testserver.RankGroup
	desks     []*Target
	logger    *slog.Logger

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
func (l *Instance) Entries() []string {
	var out []string
	for _, a := range l.entries {
		out = append(out, "http://"+a.String())
	}

	return out
}

// ControlAddresses returns the addresses of the control VMs, which operators use.
func (l *Instance) ControlAddresses() []netip.AddrPort { return l.operators }

func (l *Instance) newDump(kind, id string) *dump.Dump {
	l.mu.Lock()
	defer l.mu.Unlock()

	d := &dump.Dump{Role: kind, ID: id}
	l.dumps = append(l.dumps, d)

	return d
}

// WriteDumps writes the state of every role.
func (l *Instance) WriteDumps(w io.Writer) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, d := range l.dumps {
		if err := d.Write(w); err != nil {
			return err
		}
	}

	return nil
}

// EngineTargets returns the model engines, and Desks the booking desks.
func (l *Instance) EngineTargets() []*Target { return l.engines }

// BookingTargets returns the booking desks.
func (l *Instance) BookingTargets() []*Target { return l.desks }

// Start starts everything in g, and returns once callers are welcome. All ends,
// gracefully, after ctx does.
func (l *Instance) Start(ctx context.Context, g *errgroup.Group) error {
	l.logger = l.Logs.Logger("local")

	// Entries leave first, then agents, then control, so that nobody is refused by
	// the order in which the parts end.
	stopAgents, agentsCtx := after(ctx)
	stopControl, controlCtx := after(ctx)

	if err := l.startControl(controlCtx, g); err != nil {
		return err
	}

	var agents, entries errgroup.Group

	for _, z := range l.Deployment.Zones {
		for _, s := range l.Deployment.Services {
			for n := range s.PerZone {
				if err := l.startTarget(agentsCtx, g, &agents, z, s, n); err != nil {
					return err
				}
			}
		}
	}

	for i, z := range l.Deployment.Zones {
		if err := l.startEntry(ctx, &entries, z, i); err != nil {
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

	return l.awaitTargets(ctx)
}

// after returns a context that outlives ctx until stop is called.
func after(ctx context.Context) (stop context.CancelFunc, later context.Context) {
	later, stop = context.WithCancel(context.WithoutCancel(ctx))

	return stop, later
}

func listen(ctx context.Context, port uint16) (net.Listener, error) {
	var lc net.ListenConfig

	l, err := lc.Listen(ctx, "tcp", fmt.Sprintf("127.0.0.1:%d", port))

	return l, eris.Wrapf(err, "listen on port %d", port)
}
