package role

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/agent"
	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/rank"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Agent is the agent role. Its fields must be set before Run.
type Agent struct {
	ID          string
	Cluster     string
	Zone        string
	Incarnation uint64
	Listener    net.Listener
	// AnnounceListener accepts the target's announcements over loopback, in plaintext.
	// It is nil if Listener itself is plaintext.
	AnnounceListener net.Listener
	// Identity is nil for plaintext.
	Identity *identity.Identity
	Controls *ControlClient
	Settings agent.Settings
	Logs     logs.Output
	Dump     *dump.Dump
	// Bounds are those of the clients of both ports.
	Bounds callers.Bounds

	reader *view.Reader
	agent  *agent.Agent
	stop   context.CancelFunc
	rank   atomic.Pointer[rank.Rank]
}

// Run runs the role until ctx ends and all requests in flight are answered.
func (r *Agent) Run(ctx context.Context) error {
	ctx, r.stop = context.WithCancel(ctx)
	defer r.stop()

	r.build()

	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	var g errgroup.Group

	g.Go(func() error { return r.reader.Run(work) })
	g.Go(func() error { return r.runRank(work) })
	g.Go(func() error {
		defer stop()

		return r.agent.Run(work)
	})

	select {
	case <-ctx.Done():
		// Every request has a deadline, so draining terminates.
		if err := r.agent.Drain(context.WithoutCancel(ctx)); err != nil {
			r.Logs.Logger("agent").Warn("Draining failed.", slog.Any("error", err))
		}
	case <-work.Done():
	}

	err := g.Wait()

	r.announceLeave()

	return eris.Wrap(err, "run agent")
}

func (r *Agent) build() {
	if r.Dump.Metrics == nil {
		r.Dump.Metrics = metrics.NewRegistry()
	}

	r.agent = &agent.Agent{
		ID: r.ID, Zone: r.Zone, Incarnation: r.Incarnation,
		Listener: r.Listener, Identity: r.Identity, Bounds: r.Bounds, AnnounceListener: r.AnnounceListener, Authorize: authorizeAgent,
		Mount: func(routes chi.Router) { routes.Mount(wire.RankPathPrefix, wire.NewRankServer(&rankService{role: r})) },
		View:  r.view, Logger: r.Logs.Logger("agent"), Metrics: r.Dump.Metrics, Settings: r.Settings,
	}
	r.reader = &view.Reader{
		Cluster: r.Cluster, Controls: r.Controls.Addresses, Poll: r.Controls.Poll,
		Self: r.agent.Node, Load: r.load, Logger: r.Logs.Logger("view"),
		FindControls: r.Controls.Discover,
		OnChange:     func(s *view.Snapshot) { stopIfPlanned(s, r.ID, r.stop) },
	}
	r.reader.Init()
	r.Dump.Add("View", func() any { return viewState(r.reader.Snapshot()) })
	r.Dump.Add("Agent", func() any { return r.agent.Dump() })
}

// authorizeAgent allows entries to send requests and queries, and control VMs to send
// orders.
func authorizeAgent(next http.Handler) http.Handler {
	return identity.Authorize(next,
		identity.Rule{Prefix: agent.RequestPath, Roles: []identity.Role{identity.RoleEntry}},
		identity.Rule{Prefix: wire.AgentPathPrefix + "Give", Roles: []identity.Role{identity.RoleControl}},
		identity.Rule{Prefix: wire.AgentPathPrefix, Roles: []identity.Role{identity.RoleEntry, identity.RoleControl}},
		identity.Rule{Prefix: wire.RankPathPrefix + "Ask", Roles: []identity.Role{identity.RoleAgent}},
		identity.Rule{Prefix: wire.RankPathPrefix, Roles: []identity.Role{identity.RoleControl}},
		identity.Rule{Prefix: agent.DumpPath, Roles: []identity.Role{identity.RoleOperator}},
	)
}

// load returns the target's load, which the control VMs use for plans.
func (r *Agent) load() *wire.NodeLoad {
	l := r.agent.Dump().Load

	return &wire.NodeLoad{InFlight: l.InFlight + l.Unknown, Limit: l.Limit, Cold: l.Cold}
}

// view returns the configuration that the agent needs to admit requests.
func (r *Agent) view() admission.View {
	s := r.reader.Snapshot()
	v := admission.View{
		Version: s.Version, FreshUntil: s.ValidUntil,
		ZoneOut: !s.ZoneInUse(r.Zone), Retired: s.Retired(r.ID) || s.Stopping(r.ID),
	}

	if service, ok := s.Service(r.agent.Service()); ok {
		v.ColdLimit = service.GetColdLimit()
		v.WarmLimit = service.GetWarmLimit()
	}

	return v
}

func (r *Agent) announceLeave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()

	if err := r.reader.Leave(ctx); err != nil {
		r.Logs.Logger("agent").Info("No control VM was informed that this process has ended; they will expire it.", slog.Any("error", err))
	}
}

// IncarnationAt returns the incarnation number of a process that starts at now. Later
// starts have higher numbers, unless the VM's clock is set back by more than the time
// between the starts.
func IncarnationAt(now time.Time) uint64 { return uint64(now.UnixNano()) }
