package role

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/agentclient"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/entry"
	"github.com/parsleygate/parsleygate/internal/events"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// subsetDegree is how many targets of a service an entry keeps to.
const subsetDegree = 30

// leaveTimeout bounds the last word of a process that ends to the control VMs.
const leaveTimeout = 2 * time.Second

// The entry's connections to agents: heartbeats come each second.
const (
	agentSilence = 3 * time.Second
	agentDial    = 500 * time.Millisecond
	agentIdle    = 20 * time.Second
)

// Entry is the entry role. Its fields are set before Run.
type Entry struct {
	ID      string
	Cluster string
	Zone    string
	Region  string
	// Incarnation is fresh at each start.
	Incarnation uint64
	// Listener takes callers.
	Listener net.Listener
	// Identity is nil for plaintext.
	Identity *identity.Identity
	Controls *ControlClient
	Limits   entry.Limits
	// ShutdownDelay is how long the entry goes on after it said that it leaves.
	ShutdownDelay time.Duration
	Logs          logs.Output
	Dump          *dump.Dump

	reader *view.Reader
	shell  *entry.Entry
	bus    *events.Bus
	stop   context.CancelFunc

	// mu orders what the chooser is told: by each change, and later by a timer.
	mu     sync.Mutex
	keeper shares.SubsetCache
}

// Run runs the role until ctx ends and every request in flight has its answer.
func (r *Entry) Run(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	defer r.stop()

	if err := r.build(); err != nil {
		return err
	}

	// The configuration is followed until the last request in flight has ended.
	follow, stopFollowing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopFollowing()

	var g errgroup.Group

	g.Go(func() error { return r.bus.Run(follow) })
	<-r.bus.Running()
	g.Go(func() error { return r.reader.Run(follow) })

	err := r.shell.Run(ctx)

	stopFollowing()

	if waitErr := g.Wait(); err == nil {
		err = waitErr
	}

	r.sayGone()

	return err
}

func (r *Entry) build() error {
	bus, err := events.NewBus(r.Logs.Logger("events"))
	if err != nil {
		return err
	}

	r.bus = bus
	r.bus.OnConfigurationChanged("LogConfiguration", r.logConfiguration)

	r.keeper.SubsetSize = func(int, int) int { return subsetDegree }

	chooser := &routing.Chooser{Rand: rand.New(rand.NewPCG(r.Incarnation, 0)), Prefixes: &prefix.Index{}}
	r.reader = r.newReader(chooser)
	r.shell = &entry.Entry{
		ID: r.ID, Zone: r.Zone, Region: r.Region, Listener: r.callers(),
		Agents: &agentclient.Client{
			ReadTimeout: agentSilence, IdleConnTimeout: agentIdle,
			Dial: (&identity.Dialer{Identity: r.Identity, Timeout: agentDial}).Dial,
		},
		Chooser: chooser,
		Budget:  &retries.Budget{Rand: rand.New(rand.NewPCG(r.Incarnation, 1))},
		View:    r.known,
		Claim:   r.Controls.Claim, Settle: r.Controls.Settle,
		Limits: r.Limits, ShutdownDelay: r.ShutdownDelay, Logger: r.Logs.Logger("entry"), Seed: r.Incarnation,
	}

	return r.describe()
}

// callers returns the listener for callers, who need no certificate.
func (r *Entry) callers() net.Listener {
	if r.Identity == nil {
		return r.Listener
	}

	return r.Identity.CallerListener(r.Listener)
}

func (r *Entry) describe() error {
	if r.Dump.Metrics == nil {
		r.Dump.Metrics = metrics.NewRegistry()
	}

	r.Dump.Add("View", func() any { return viewState(r.reader.Snapshot()) })
	r.Dump.Add("Requests", func() any { return r.shell.Counts() })
	r.Dump.Add("Room", func() any { return r.rooms() })
	r.Dump.Add("Queues", func() any { return r.shell.Queues() })

	return eris.Wrap(r.shell.Register(r.Dump.Metrics), "register metrics")
}

func (r *Entry) newReader(chooser *routing.Chooser) *view.Reader {
	reader := &view.Reader{
		Cluster: r.Cluster, Controls: r.Controls.Addresses, Poll: r.Controls.Poll,
		Self: r.self, Load: r.load, Logger: r.Logs.Logger("view"), FindControls: r.Controls.Discover,
		// The chooser is told here, by the reader's one goroutine, and not over the
		// bus: its handlers run side by side, and an older list of targets, applied
		// last, would rule until the next change.
		OnChange: func(s *view.Snapshot) {
			r.changeTargets(chooser)
			r.announce(s)
			stopIfPlanned(s, r.ID, r.stop)
		},
	}
	reader.Init()

	return reader
}

// changeTargets tells the chooser the targets by the latest configuration, and
// again later where a subset could not be worked out anew yet.
func (r *Entry) changeTargets(chooser *routing.Chooser) {
	r.mu.Lock()
	defer r.mu.Unlock()

	chooser.ChangeTargets(r.targetsOf(r.reader.Snapshot()))

	if wait, due := r.keeper.RecomputeDue(time.Now()); due {
		time.AfterFunc(wait, func() { r.changeTargets(chooser) })
	}
}

func (r *Entry) announce(s *view.Snapshot) {
	if err := r.bus.ConfigurationChanged(events.ConfigurationChanged{Version: s.Version}); err != nil {
		r.Logs.Logger("events").Warn("event lost", slog.Any("error", err))
	}
}

// ServiceCapacity is what this entry may send to one service's targets, in a dump.
type ServiceCapacity struct {
	Service string
	Room    routing.Capacity
}

func (r *Entry) rooms() []ServiceCapacity {
	var out []ServiceCapacity
	for _, s := range r.reader.Snapshot().Services() {
		out = append(out, ServiceCapacity{Service: s.GetName(), Room: r.shell.Chooser.Capacity(time.Now(), s.GetName())})
	}

	return out
}

func (r *Entry) logConfiguration(ev events.ConfigurationChanged) {
	v := viewState(r.reader.Snapshot())
	r.Logs.Logger("entry").Debug("configuration changed", "version", ev.Version, "nodes", v.Nodes, "zonesOut", v.ZonesOut)
}

func (r *Entry) self() *wire.Node {
	return &wire.Node{
		ID: r.ID, Kind: wire.NodeKind_NodeEntry, Zone: r.Zone,
		Address: r.Listener.Addr().String(), Incarnation: r.Incarnation,
		Leaving: r.shell != nil && r.shell.Stopping(),
	}
}

// load tells the control VMs, for plans, what the entry has in hand.
func (r *Entry) load() *wire.NodeLoad {
	if r.shell == nil {
		return nil
	}

	return &wire.NodeLoad{InFlight: uint32(r.shell.Counts().InFlight)}
}

func (r *Entry) known() entry.View {
	s := r.reader.Snapshot()

	return entry.View{
		Version: s.Version, ValidUntil: s.ValidUntil,
		Service:   func(name string) *wire.Service { v, _ := s.Service(name); return v },
		Workspace: func(name string) *wire.Workspace { v, _ := s.Workspace(name); return v },
		Agent:     func(id string) *wire.Node { v, _ := s.Node(id); return v },
	}
}

func (r *Entry) sayGone() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()

	if err := r.reader.Leave(ctx); err != nil {
		r.Logs.Logger("entry").Info("control VMs not told of the end", slog.Any("error", err))
	}
}

// stopIfPlanned begins the graceful stop of a process that the operators stop.
func stopIfPlanned(s *view.Snapshot, id string, stop context.CancelFunc) {
	if s.Stopping(id) {
		stop()
	}
}

// targetsOf lists the targets of all services that this entry keeps to.
func (r *Entry) targetsOf(s *view.Snapshot) routing.TargetsChanged {
	var ev routing.TargetsChanged

	entries := entriesOf(s)
	now := time.Now()

	for _, service := range s.Services() {
		targets := s.Targets(service.GetName())
		mine := r.keeper.Targets(now, service.GetName(), r.place(), entries, places(s, targets))

		for _, t := range targets {
			_, used := mine[t.Node.GetID()]
			if address, err := netip.ParseAddrPort(t.Node.GetAddress()); err == nil && used {
				ev.Targets = append(ev.Targets, targetOf(s, service.GetName(), address, t))
			}
		}
	}

	return ev
}

func targetOf(s *view.Snapshot, service string, address netip.AddrPort, t view.Target) routing.Target {
	return routing.Target{
		AgentID: t.Node.GetID(), Service: service, Addr: address,
		Zone: t.Node.GetZone(), Region: regionOf(s, t.Node.GetZone()),
		Capacity: int(t.Node.GetCapacity()), Incarnation: t.Node.GetIncarnation(),
		Leaving: !t.Admissible(), ZoneOut: t.ZoneOut,
	}
}

// entriesOf lists the entries that share the targets out among themselves.
func entriesOf(s *view.Snapshot) []shares.Node {
	var out []shares.Node

	for _, n := range s.Nodes() {
		if n.GetKind() == wire.NodeKind_NodeEntry && !n.GetLeaving() {
			out = append(out, shares.Node{ID: n.GetID(), Zone: n.GetZone(), Region: regionOf(s, n.GetZone())})
		}
	}

	return out
}

// places lists the targets that may get new work.
func places(s *view.Snapshot, targets []view.Target) []shares.Node {
	var out []shares.Node

	for _, t := range targets {
		if t.Admissible() {
			out = append(out, shares.Node{ID: t.Node.GetID(), Zone: t.Node.GetZone(), Region: regionOf(s, t.Node.GetZone())})
		}
	}

	return out
}

func (r *Entry) place() shares.Node {
	return shares.Node{ID: r.ID, Zone: r.Zone, Region: r.Region}
}

func regionOf(s *view.Snapshot, zone string) string {
	z, _ := s.Zone(zone)

	return z.GetRegion()
}

// ViewState is a view in a dump.
type ViewState struct {
	Version    uint64
	FreshUntil time.Time
	Fresh      bool
	Nodes      int
	ZonesOut   []string
}

func viewState(s *view.Snapshot) ViewState {
	v := ViewState{Version: s.Version, FreshUntil: s.ValidUntil, Fresh: s.Valid(time.Now()), Nodes: len(s.Nodes())}

	for _, z := range s.Zones() {
		if z.GetOut() {
			v.ZonesOut = append(v.ZonesOut, z.GetName())
		}
	}

	return v
}
