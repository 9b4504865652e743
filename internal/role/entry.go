package role

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/agentclient"
	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/entry"
	"github.com/parsleygate/parsleygate/internal/events"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/prefix"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// subsetSize is the number of targets of a service that an entry uses.
const subsetSize = 30

// leaveTimeout bounds the message by which an ending process leaves the directory.
const leaveTimeout = 2 * time.Second

// Timeouts of the entry's connections to agents. Agents send a heartbeat each second.
const (
	agentReadTimeout = 3 * time.Second
	agentDialTimeout = 500 * time.Millisecond
	agentIdleTimeout = 20 * time.Second
)

// Entry is the entry role. Its fields must be set before Run.
type Entry struct {
	ID      string
	Cluster string
	Zone    string
	Region  string
	// Incarnation is new at each start.
	Incarnation uint64
	// Listener accepts callers.
	Listener net.Listener
	// Identity is nil for plaintext.
	Identity *identity.Identity
	Controls *ControlClient
	Limits   entry.Limits
	// ShutdownDelay is how long the entry still accepts requests after it reports that
	// it is stopping.
	ShutdownDelay time.Duration
	Logs          logs.Output
	Dump          *dump.Dump
	// MaxCallerConnections bounds the connections of callers; zero means no limit. Bounds has the memory for
	// their requests.
	MaxCallerConnections int
	Bounds               callers.Bounds

	reader *view.Reader
	entry  *entry.Entry
	bus    *events.Bus
	ends   *view.EndExchange
	stop   context.CancelFunc

	// mu serializes updates of the chooser's targets, which come from configuration
	// changes and from a timer.
	mu      sync.Mutex
	subsets shares.SubsetCache
}

// Run runs the role until ctx ends and all requests in flight are answered.
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
	g.Go(func() error { return r.ends.Run(follow) })

	err := r.entry.Run(ctx)

	stopFollowing()

	if waitErr := g.Wait(); err == nil {
		err = waitErr
	}

	r.announceLeave()

	return err
}

func (r *Entry) build() error {
	bus, err := events.NewBus(r.Logs.Logger("events"))
	if err != nil {
		return err
	}

	r.bus = bus
	r.bus.OnConfigurationChanged("LogConfiguration", r.logConfiguration)

	r.subsets.SubsetSize = func(int, int) int { return subsetSize }

	chooser := &routing.Chooser{Rand: rand.New(rand.NewPCG(r.Incarnation, 0)), Prefixes: &prefix.Index{}}
	r.reader = r.newReader(chooser)
	r.entry = &entry.Entry{
		ID: r.ID, Zone: r.Zone, Region: r.Region, Listener: r.callerListener(), MaxConnections: r.MaxCallerConnections, Bounds: r.Bounds,
		Agents: &agentclient.Client{
			ReadTimeout: agentReadTimeout, IdleConnTimeout: agentIdleTimeout,
			Dial: (&identity.Dialer{Identity: r.Identity, Timeout: agentDialTimeout}).Dial,
		},
		Chooser: chooser,
		Budget:  &retries.Budget{Rand: rand.New(rand.NewPCG(r.Incarnation, 1))},
		View:    r.entryView,
		Claim:   r.Controls.Claim, Settle: r.Controls.Settle,
		Limits: r.Limits, ShutdownDelay: r.ShutdownDelay, Logger: r.Logs.Logger("entry"), Seed: r.Incarnation,
		TrialShare: r.trialShare, OnTargetEnd: func() { r.ends.Notify() },
	}
	r.ends = &view.EndExchange{
		Cluster: r.Cluster, ID: r.ID, Controls: r.Controls.allAddresses, Call: r.Controls.Ends,
		Evidence: r.entry.EndsSince, OnEvidence: r.entry.MergeEnds, Logger: r.Logs.Logger("view"),
	}

	return r.registerDiagnostics()
}

// callerListener returns the listener for callers, which need no certificate.
func (r *Entry) callerListener() net.Listener {
	if r.Identity == nil {
		return r.Listener
	}

	return r.Identity.CallerListener(r.Listener)
}

func (r *Entry) registerDiagnostics() error {
	if r.Dump.Metrics == nil {
		r.Dump.Metrics = metrics.NewRegistry()
	}

	r.Dump.Add("View", func() any { return viewState(r.reader.Snapshot()) })
	r.Dump.Add("Requests", func() any { return r.entry.Counts() })
	r.Dump.Add("Room", func() any { return r.capacities() })
	r.Dump.Add("Queues", func() any { return r.entry.Queues() })

	return eris.Wrap(r.entry.Register(r.Dump.Metrics), "register metrics")
}

func (r *Entry) newReader(chooser *routing.Chooser) *view.Reader {
	reader := &view.Reader{
		Cluster: r.Cluster, Controls: r.Controls.Addresses, Poll: r.Controls.Poll,
		Self: r.self, Load: r.load, Logger: r.Logs.Logger("view"), FindControls: r.Controls.Discover,
		// The chooser is updated here, in the reader's only goroutine, and not over the
		// event bus. Handlers of the bus run concurrently: an older list of targets
		// could be applied last and stay until the next change.
		OnChange: func(s *view.Snapshot) {
			r.updateTargets(chooser)
			r.publishChange(s)
			stopIfPlanned(s, r.ID, r.stop)
		},
	}
	reader.Init()

	return reader
}

// updateTargets passes the targets of the latest configuration to the chooser. If a
// subset may not be recomputed yet, it runs again when that is due.
func (r *Entry) updateTargets(chooser *routing.Chooser) {
	r.mu.Lock()
	defer r.mu.Unlock()

	chooser.ChangeTargets(r.subsetTargets(r.reader.Snapshot()))

	if wait, due := r.subsets.RecomputeDue(time.Now()); due {
		time.AfterFunc(wait, func() { r.updateTargets(chooser) })
	}
}

func (r *Entry) publishChange(s *view.Snapshot) {
	if err := r.bus.ConfigurationChanged(events.ConfigurationChanged{Version: s.Version}); err != nil {
		r.Logs.Logger("events").Warn("Publishing a configuration change failed.", slog.Any("error", err))
	}
}

// ServiceCapacity is the part of a dump that shows how much this entry may send to a
// service's targets.
type ServiceCapacity struct {
	Service string
	Room    routing.Capacity
}

func (r *Entry) capacities() []ServiceCapacity {
	var out []ServiceCapacity
	for _, s := range r.reader.Snapshot().Services() {
		out = append(out, ServiceCapacity{Service: s.GetName(), Room: r.entry.Chooser.Capacity(time.Now(), s.GetName())})
	}

	return out
}

func (r *Entry) logConfiguration(ev events.ConfigurationChanged) {
	v := viewState(r.reader.Snapshot())
	r.Logs.Logger("entry").Debug("Configuration changed.", "version", ev.Version, "nodes", v.Nodes, "zonesOut", v.ZonesOut)
}

func (r *Entry) self() *wire.Node {
	return &wire.Node{
		ID: r.ID, Kind: wire.NodeKind_NodeEntry, Zone: r.Zone,
		Address: r.Listener.Addr().String(), Incarnation: r.Incarnation,
		Leaving: r.entry != nil && r.entry.Stopping(),
	}
}

// load returns the number of requests in flight, which the control VMs use for plans.
func (r *Entry) load() *wire.NodeLoad {
	if r.entry == nil {
		return nil
	}

	return &wire.NodeLoad{InFlight: uint32(r.entry.Counts().InFlight)}
}

func (r *Entry) entryView() entry.View {
	s := r.reader.Snapshot()

	return entry.View{
		Version: s.Version, ValidUntil: s.ValidUntil,
		Service:   func(name string) *wire.Service { v, _ := s.Service(name); return v },
		Workspace: func(name string) *wire.Workspace { v, _ := s.Workspace(name); return v },
		Agent:     func(id string) *wire.Node { v, _ := s.Node(id); return v },
	}
}

// trialShare returns this entry's share in the trials of a request that is held back.
func (r *Entry) trialShare(part quarantine.Part) shares.Share {
	self := shares.Node{ID: r.ID, Zone: r.Zone}
	entries := []shares.Node{self}

	for _, n := range r.reader.Snapshot().Nodes() {
		if n.GetKind() == wire.NodeKind_NodeEntry && n.GetID() != r.ID {
			entries = append(entries, shares.Node{ID: n.GetID(), Zone: n.GetZone()})
		}
	}

	return shares.ForLimit(self, entries, "request "+strconv.FormatUint(uint64(part), 16))
}

func (r *Entry) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()

	if err := r.reader.Leave(ctx); err != nil {
		r.Logs.Logger("entry").Info("No control VM was informed that this process has ended; they will expire it.", slog.Any("error", err))
	}
}

// stopIfPlanned begins the graceful stop of a process that the operators stop.
func stopIfPlanned(s *view.Snapshot, id string, stop context.CancelFunc) {
	if s.Stopping(id) {
		stop()
	}
}

// subsetTargets returns the targets of all services that are in this entry's subset.
func (r *Entry) subsetTargets(s *view.Snapshot) routing.TargetsChanged {
	var ev routing.TargetsChanged

	entries := activeEntries(s)
	now := time.Now()

	for _, service := range s.Services() {
		targets := s.Targets(service.GetName())
		subset := r.subsets.Targets(now, service.GetName(), r.subsetNode(), entries, admissibleNodes(s, targets))

		for _, t := range targets {
			_, used := subset[t.Node.GetID()]
			if address, err := netip.ParseAddrPort(t.Node.GetAddress()); err == nil && used {
				ev.Targets = append(ev.Targets, newTarget(s, service.GetName(), address, t))
			}
		}
	}

	return ev
}

func newTarget(s *view.Snapshot, service string, address netip.AddrPort, t view.Target) routing.Target {
	return routing.Target{
		AgentID: t.Node.GetID(), Service: service, Address: address,
		Zone: t.Node.GetZone(), Region: regionOf(s, t.Node.GetZone()),
		Capacity: int(t.Node.GetCapacity()), Incarnation: t.Node.GetIncarnation(),
		Draining: !t.Admissible(), ZoneOut: t.ZoneOut,
	}
}

// activeEntries returns the entries that divide the targets among themselves.
func activeEntries(s *view.Snapshot) []shares.Node {
	var out []shares.Node

	for _, n := range s.Nodes() {
		if n.GetKind() == wire.NodeKind_NodeEntry && !n.GetLeaving() {
			out = append(out, shares.Node{ID: n.GetID(), Zone: n.GetZone(), Region: regionOf(s, n.GetZone())})
		}
	}

	return out
}

// admissibleNodes returns the targets that accept new work.
func admissibleNodes(s *view.Snapshot, targets []view.Target) []shares.Node {
	var out []shares.Node

	for _, t := range targets {
		if t.Admissible() {
			out = append(out, shares.Node{ID: t.Node.GetID(), Zone: t.Node.GetZone(), Region: regionOf(s, t.Node.GetZone())})
		}
	}

	return out
}

func (r *Entry) subsetNode() shares.Node {
	return shares.Node{ID: r.ID, Zone: r.Zone, Region: r.Region}
}

func regionOf(s *view.Snapshot, zone string) string {
	z, _ := s.Zone(zone)

	return z.GetRegion()
}

// ViewState is the part of a dump that describes the configuration in force.
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
