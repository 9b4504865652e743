package local

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/entry"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/role"
	"github.com/parsleygate/parsleygate/internal/standin"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// announceEvery is the time between a stand-in's announcements.
const announceEvery = time.Second

// Local is one running deployment. Its exported fields are set before Run.
type Local struct {
	Deployment Deployment
	Logs       logs.Output
	// Dir holds the control VMs' data folders.
	Dir string
	// EntryPort is the port of the first entry, the others follow; 0 for any.
	EntryPort uint16
	// OperatorPort is the port of the first control VM; 0 for any.
	OperatorPort uint16

	controls  []*role.Control
	operators []netip.AddrPort
	entries   []netip.AddrPort
	engines   []*Target
	groups    map[string]*standin.Lockstep
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
	Engine *standin.Engine
	Desk   *standin.Desk
	// Group and Rank are set for an engine that is part of an expert group.
	Group string
	Rank  int
}

// Entries returns the callers' base URLs. It is empty before Start has returned.
func (l *Local) Entries() []string {
	var out []string
	for _, a := range l.entries {
		out = append(out, "http://"+a.String())
	}

	return out
}

// Operators returns the addresses of the control VMs, which operators use.
func (l *Local) Operators() []netip.AddrPort { return l.operators }

func (l *Local) newDump(kind, id string) *dump.Dump {
	l.mu.Lock()
	defer l.mu.Unlock()

	d := &dump.Dump{Role: kind, ID: id}
	l.dumps = append(l.dumps, d)

	return d
}

// WriteDumps writes the state of every role.
func (l *Local) WriteDumps(w io.Writer) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	for _, d := range l.dumps {
		if err := d.Write(w); err != nil {
			return err
		}
	}

	return nil
}

// Engines returns the model engines, and Desks the booking desks.
func (l *Local) Engines() []*Target { return l.engines }

// Desks returns the booking desks.
func (l *Local) Desks() []*Target { return l.desks }

// Start starts everything in g, and returns once callers are welcome. All ends,
// gracefully, after ctx does.
func (l *Local) Start(ctx context.Context, g *errgroup.Group) error {
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

// startControl starts a control VM in each availability zone.
func (l *Local) startControl(ctx context.Context, g *errgroup.Group) error {
	var (
		listeners []net.Listener
		members   []quorum.Member
	)

	for i := range l.Deployment.Zones {
		port := uint16(0)
		if l.OperatorPort != 0 && i == 0 {
			port = l.OperatorPort
		}

		listener, err := listen(ctx, port)
		if err != nil {
			return err
		}

		address := listener.Addr().(*net.TCPAddr).AddrPort()
		listeners = append(listeners, listener)
		members = append(members, quorum.Member{ID: fmt.Sprintf("control-%d", i+1), Addr: address})
		l.operators = append(l.operators, address)
	}

	for i, m := range members {
		c := &role.Control{
			VM: m.ID, Cluster: l.Deployment.Cluster, Zone: l.Deployment.Zones[i],
			Incarnation: role.IncarnationAt(time.Now()), Listener: listeners[i],
			Dir: filepath.Join(l.Dir, m.ID), Founders: members,
			Peers: slices.Delete(slices.Clone(members), i, i+1), Logs: l.Logs, Experts: localExperts(),
			Dump: l.newDump("control", m.ID),
		}
		c.Build()
		l.controls = append(l.controls, c)
		g.Go(func() error { return c.Run(ctx) })
	}

	return l.declare(ctx)
}

// declare commits the configuration that the deployment starts with, as an
// operator's plan and its confirmation.
func (l *Local) declare(ctx context.Context) error {
	server := l.controls[0].Server()

	planned, err := l.plan(ctx, server)
	if err != nil {
		return eris.Wrap(err, "plan the deployment")
	}

	r, err := server.Confirm(ctx, &wire.ConfirmRequest{Operator: "local", Number: 1, PlanID: planned.GetPlan().GetID()})
	if err != nil {
		return eris.Wrap(err, "confirm the deployment")
	}

	if a := r.GetAnswer(); a.GetState() != wire.DecisionState_DecisionMade {
		return eris.Errorf("not decided: %s %v", a.GetState(), a.GetDetails())
	}

	return nil
}

// planTries bounds how often a plan is asked for while the control VMs elect a
// leader; planPause is the time between two asks.
const (
	planTries = 200
	planPause = 50 * time.Millisecond
)

func (l *Local) plan(ctx context.Context, server *control.Server) (*wire.PlanResponse, error) {
	request := &wire.PlanRequest{Operator: "local", Source: "local", Declaration: []byte(l.Deployment.Declaration())}

	for try := 1; ; try++ {
		r, err := server.Plan(ctx, request)
		if err == nil || try == planTries || ctx.Err() != nil {
			return r, err
		}

		time.Sleep(planPause)
	}
}

func (l *Local) startEntry(ctx context.Context, g *errgroup.Group, zone string, n int) error {
	port := uint16(0)
	if l.EntryPort != 0 {
		port = l.EntryPort + uint16(n)
	}

	listener, err := listen(ctx, port)
	if err != nil {
		return err
	}

	id := "entry-" + zone
	l.entries = append(l.entries, listener.Addr().(*net.TCPAddr).AddrPort())
	e := &role.Entry{
		ID: id, Cluster: l.Deployment.Cluster, Zone: zone, Region: l.Deployment.Region,
		Incarnation: role.IncarnationAt(time.Now()), Listener: listener,
		Controls: role.NewControls(l.operators, nil), Limits: entry.DefaultLimits(),
		Logs: l.Logs, Dump: l.newDump("entry", id),
	}
	g.Go(func() error { return e.Run(ctx) })

	return nil
}

func (l *Local) startTarget(ctx context.Context, g, agents *errgroup.Group, zone string, s Service, n int) error {
	door, err := listen(ctx, 0)
	if err != nil {
		return err
	}

	back, err := listen(ctx, 0)
	if err != nil {
		return err
	}

	t := &Target{AgentID: fmt.Sprintf("%s-%s-%d", s.Name, zone, n+1), Zone: zone, Service: s, Address: back.Addr().(*net.TCPAddr).AddrPort()}
	handler := l.newStandin(ctx, g, t, n)
	web := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}

	g.Go(func() error {
		_ = web.Serve(back)

		return nil
	})

	announcer := &standin.Announcer{
		Agent: door.Addr().(*net.TCPAddr).AddrPort(), Every: announceEvery,
		Take: func() standin.Announcement { return t.announcement(back) },
	}
	t.connect(announcer)

	g.Go(func() error {
		announcer.Run(ctx)

		return eris.Wrap(web.Close(), "close stand-in")
	})

	a := &role.Agent{
		ID: t.AgentID, Cluster: l.Deployment.Cluster, Zone: zone,
		Incarnation: role.IncarnationAt(time.Now()), Listener: door,
		Controls: role.NewControls(l.operators, nil),
		Logs:     l.Logs, Dump: l.newDump("agent", t.AgentID),
	}
	agents.Go(func() error { return a.Run(ctx) })

	return nil
}

func (l *Local) newStandin(ctx context.Context, g *errgroup.Group, t *Target, n int) http.Handler {
	if t.Service.Model {
		t.Engine = &standin.Engine{
			StepBase: l.Deployment.StepBase, StepEach: l.Deployment.StepEach,
			ColdLimit: int(t.Service.ColdLimit), WarmAfter: 4 * int(t.Service.ColdLimit),
		}
		l.engines = append(l.engines, t)
		r := chi.NewRouter()
		l.joinGroup(ctx, g, t, r, n)
		r.Mount("/", t.Engine.Handler())

		return r
	}

	t.Desk = &standin.Desk{}
	l.desks = append(l.desks, t)

	return t.Desk.Handler()
}

// connect lets an engine announce a restart at once, and take work only then.
func (t *Target) connect(a *standin.Announcer) {
	if t.Engine == nil {
		return
	}

	again := make(chan struct{}, 1)
	a.Again = again
	a.Announced = t.Engine.Announced
	t.Engine.Restarted = func() {
		select {
		case again <- struct{}{}:
		default:
		}
	}
}

func (t *Target) announcement(back net.Listener) standin.Announcement {
	a := standin.Announcement{
		Address: back.Addr().(*net.TCPAddr).AddrPort(), Service: t.Service.Name,
		Capacity: int(t.Service.WarmLimit),
	}

	inFlight := uint32(0)
	a.InFlight = &inFlight

	if t.Engine == nil {
		// A desk answers at once: what it had in hand when its agent stopped is done.
		a.BootID = t.Desk.BootID()

		return a
	}

	a.Group, a.Rank = t.Group, t.Rank
	s := t.Engine.State()
	inFlight = uint32(s.InFlight)
	a.BootID, a.Cold = s.BootID, s.Cold

	return a
}

// awaitTargets waits until every entry takes callers.
func (l *Local) awaitTargets(ctx context.Context) error {
	for _, base := range l.Entries() {
		if err := awaitService(ctx, base+"/"+l.Deployment.service(false)+"/v1/runs"); err != nil {
			return err
		}
	}

	l.logger.Info("deployment is up", "entries", len(l.entries), "targets", len(l.engines)+len(l.desks))

	return nil
}

func awaitService(ctx context.Context, url string) error {
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return eris.Wrap(err, "probe entry")
		}

		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = resp.Body.Close()

			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}

		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "deployment did not come up")
		case <-time.After(50 * time.Millisecond):
		}
	}
}
