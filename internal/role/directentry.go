package role

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/loadreport"
	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/relay"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/targetclient"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// targetDialTimeout bounds a dial to a target. It is a multiple of the longest
	// round trip within a region.
	targetDialTimeout = 300 * time.Millisecond
	// maxTargetHeaderBytes bounds the response headers of a target.
	maxTargetHeaderBytes = 64 << 10
	// callerHeaderTimeout bounds how long a caller may take to send the request headers, and
	// callerIdleTimeout how long its connection may be idle, while no configuration declares
	// other limits.
	callerHeaderTimeout = 10 * time.Second
	callerIdleTimeout   = 90 * time.Second
	// callerDelay is added to the times that operators declare: the network and a busy VM may delay
	// what a caller has sent in time.
	callerDelay = time.Second
	// callerWriteTimeout bounds one write to a caller that reads nothing.
	callerWriteTimeout = 10 * time.Second
	// secondControlWait is how long a started entry waits for an answer of a second
	// control VM. The first one may be partitioned and return an old configuration.
	secondControlWait = 1500 * time.Millisecond
	// drainDelay is how long a stopping entry still accepts requests, so that the load
	// balancer in front of it can notice: two health checks of one second each, plus
	// the network delay.
	drainDelay = 2600 * time.Millisecond
	// stopReserve is the part of StopTimeout that is reserved for answering what is still in flight, and closing.
	stopReserve = 400 * time.Millisecond
)

// DirectEntry is the role of an entry that proxies to targets directly, without agents
// in between. Its fields must be set before Run.
type DirectEntry struct {
	ID      string
	Cluster string
	Zone    string
	// Listener accepts callers, ReadyListener the health checks of the load balancer.
	Listener      net.Listener
	ReadyListener net.Listener
	// LoadConn receives agents' reports of the loads of their engines. AgentPort is the
	// port at which agents accept subscriptions to them.
	LoadConn  net.PacketConn
	AgentPort uint16
	// RelayAddress is the address at which InternalMux is served. Agents send orders
	// through it to the engines that EngineAt returns.
	RelayAddress netip.AddrPort
	EngineAt     func(netip.AddrPort) lockstep.Engine
	InternalMux  *http.ServeMux
	// Seeds returns the control VMs in the current settings.
	Seeds func() []netip.AddrPort
	// Dialect and ReadinessHandler define the deployment's HTTP conventions.
	Dialect          relay.Dialect
	ReadinessHandler func(ready func() bool) http.Handler
	Budget           *retries.SharedBudget
	// StopTimeout bounds a graceful stop.
	StopTimeout time.Duration
	// PriorityControl selects the services whose requests are served by declared priorities.
	PriorityControl priority.Control
	// MaxIdleConnections bounds the idle connections to targets; zero means that none are kept.
	MaxIdleConnections int
	// MaxCallerConnections bounds the connections of callers; zero means no limit.
	MaxCallerConnections int
	// MaxHeaderBytes bounds the header of a request while no configuration declares another limit.
	MaxHeaderBytes int
	// Bounds are those of the other ports. Its memory is also for the headers of callers' requests.
	Bounds callers.Bounds
	// MaxHeldBytes bounds the request bodies and buffered answers that this entry holds; zero
	// means no limit.
	MaxHeldBytes int64
	Logs         logs.Output
	Dump         *dump.Dump

	follower *view.Follower
	relay    *relay.Relay
	// stopsAt is when this entry ends; nil unless it is stopping.
	stopsAt atomic.Pointer[time.Time]
	logger  *slog.Logger
	clients followClients
}

// Run runs the role until ctx ends and the requests in flight are answered.
func (r *DirectEntry) Run(ctx context.Context) error {
	if err := r.build(); err != nil {
		return err
	}

	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	listener := r.callerListener()
	server := listener.Server(r.relay)
	ready := r.Bounds.Listen("Ready", r.ReadyListener)
	balancer := ready.Server(r.ReadinessHandler(r.isReady))

	g, work := errgroup.WithContext(work)
	g.Go(func() error { return r.follower.Run(work) })
	g.Go(func() error { return r.loadSubscriber().Run(work) })
	g.Go(func() error {
		return serve(server, listener, "callers")
	})
	g.Go(func() error { return serve(balancer, ready, "balancer") })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			r.drain(server)
		case <-work.Done():
			_ = server.Close()
		}

		defer stop()

		return eris.Wrap(balancer.Close(), "close readiness server")
	})

	r.logger.Info("Started.", "zone", r.Zone, "callers", r.Listener.Addr())

	err := eris.Wrap(g.Wait(), "run entry")
	r.logger.Info("Stopped.", "error", err)

	return err
}

// callerListener returns the listener for callers.
func (r *DirectEntry) callerListener() *callers.Listener {
	l := &callers.Listener{
		Listener: r.Listener, Decline: r.relay.Decline, MaxConnections: r.MaxCallerConnections, Limits: r.callerLimits, Memory: r.Bounds.Memory, Logger: r.Logs.Logger("callers"),
	}
	r.relay.CallerConnections.Store(l)

	return l
}

// callerLimits returns the limits that the configuration in force declares for callers. Bodies have the
// deadline of their request.
func (r *DirectEntry) callerLimits() callers.Limits {
	out := callers.Limits{MaxHeaderBytes: r.MaxHeaderBytes, HeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout, WriteTimeout: callerWriteTimeout}

	table := r.follower.State().Table
	if table == nil {
		return out
	}

	if n := table.Limits.MaxHeaderBytes; n > 0 {
		out.MaxHeaderBytes = n
	}

	if d := table.Limits.HeaderTimeout; d > 0 {
		out.HeaderTimeout = d + callerDelay
	}

	if d := table.Limits.IdleTimeout; d > 0 {
		out.IdleTimeout = d + callerDelay
	}

	return out
}

// loadSubscriber returns the subscriber to the loads of engines that have an agent.
func (r *DirectEntry) loadSubscriber() *loadreport.Subscriber {
	return &loadreport.Subscriber{
		Cluster: r.Cluster, Conn: r.LoadConn,
		Agents: func() []netip.AddrPort {
			var out []netip.AddrPort

			for _, t := range r.follower.State().Targets {
				if t.Group.Name != "" && r.relay.Uses(t.Address.Addr()) {
					out = append(out, netip.AddrPortFrom(t.Address.Addr(), r.AgentPort))
				}
			}

			return out
		},
		OnLoad: func(agent netip.AddrPort, l loadreport.Load) { r.relay.UpdateLoad(agent.Addr(), l) },
		Groups: func() []loadreport.GroupReport { return r.groupReports(r.follower.State(), r.relay.LevelReports()) },
		OnSums: func(_ netip.AddrPort, group string, c priority.Counts) error { return r.relay.UpdateLevels(group, c) },
		Logger: r.logger,
	}
}

// groupReports addresses the reports about groups to the agents beside their rank 0. Of several
// incarnations of a rank in the directory, the latest counts.
func (r *DirectEntry) groupReports(f *view.ClusterState, reports []dispatch.LevelReport) []loadreport.GroupReport {
	if len(reports) == 0 {
		return nil
	}

	first := make(map[string]*directory.Target, len(reports))

	for i := range f.Targets {
		t := &f.Targets[i]
		if t.Group.Name == "" || t.Group.Rank != 0 {
			continue
		}

		if have := first[t.Group.Name]; have == nil || t.Group.Epoch > have.Group.Epoch || t.Group.Epoch == have.Group.Epoch && t.StartTime > have.StartTime {
			first[t.Group.Name] = t
		}
	}

	out := make([]loadreport.GroupReport, 0, len(reports))

	for i := range reports {
		l := &reports[i]
		if t := first[l.Group]; t != nil {
			out = append(out, loadreport.GroupReport{
				Agent: netip.AddrPortFrom(t.Address.Addr(), r.AgentPort), Group: l.Group, Counts: l.Counts, Entries: f.Entries, Pressed: l.Pressed,
			})
		}
	}

	return out
}

func serve(server *http.Server, l net.Listener, name string) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrapf(err, "serve %s", name)
	}

	return nil
}

// drain accepts requests while the load balancer still sends them, then completes those
// in flight, and answers those that are not complete at the deadline. While the entry is stopping, each answer closes
// its connection.
func (r *DirectEntry) drain(server *http.Server) {
	deadline := time.Now().Add(r.StopTimeout - stopReserve)

	r.stopsAt.Store(&deadline)
	r.relay.BeginStop()
	r.relay.TargetClient.CloseIdle()
	r.logger.Info("Stopping: completing requests in flight and closing connections.", "until", time.Until(deadline))
	time.Sleep(min(drainDelay, r.StopTimeout/2))

	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()

	if err := server.Shutdown(ctx); err != nil {
		r.logger.Warn("Requests were still in flight at the deadline of the stop; answering them as ones that may have run.", "error", err)
		r.relay.EndRequests()
		closeBy(server, deadline.Add(stopReserve/2))
	}
}

// closeBy closes the connections of a server, once the requests in flight are answered or a time has come.
func closeBy(server *http.Server, at time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), at)
	defer cancel()

	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func (r *DirectEntry) stopping() bool { return r.stopsAt.Load() != nil }

// stopTime returns when this entry ends. It reports false unless the entry is stopping.
func (r *DirectEntry) stopTime() (time.Time, bool) {
	at := r.stopsAt.Load()
	if at == nil {
		return time.Time{}, false
	}

	return *at, true
}

func (r *DirectEntry) isReady() bool {
	if r.stopping() || !r.relay.Ready() {
		return false
	}

	f := r.follower.State()

	return f.ControlsAnswered > 1 || time.Since(f.FirstAnswerAt) > secondControlWait
}

func (r *DirectEntry) build() error {
	r.logger = r.Logs.Logger("entry")
	r.follower = &view.Follower{
		Cluster: r.Cluster, ID: r.ID, Zone: r.Zone, Seeds: r.Seeds, Poll: r.clients.poll,
		Stopping: r.stopping, Relay: r.RelayAddress, Logger: r.Logs.Logger("view"),
		OnChange: func(f *view.ClusterState) { r.relay.Apply(f) },
		Evidence: func(since uint64) ([]quarantine.End, uint64) { return r.relay.EndsSince(since) },
		// The relay is built after the follower.
		OnEvidence:   func(ends []quarantine.End) { r.relay.MergeEnds(ends) },
		Demand:       func() float64 { return r.relay.Decliner.Demand.PerSecond(time.Now()) },
		OnMeanDemand: func(perSecond float64) { r.relay.Decliner.Demand.SetMean(time.Now(), perSecond) },
		RetryUsage:   func() map[string]retries.Usage { return r.Budget.Reported(time.Now()) },
		RetryWindow:  r.Budget.Window,
		OnRetryUsage: func(control netip.AddrPort, report retries.Report) {
			r.Budget.SetReport(time.Now(), control, report)
		},
	}
	r.relay = &relay.Relay{
		Dialect: r.Dialect, ID: r.ID, Zone: r.Zone, State: r.follower.State, Budget: r.Budget,
		TargetClient: &targetclient.Client{DialTimeout: targetDialTimeout, MaxHeaderBytes: maxTargetHeaderBytes, MaxIdle: r.MaxIdleConnections},
		StopsAt:      r.stopTime, MaxHeldBytes: r.MaxHeldBytes, PriorityControl: r.PriorityControl, Logger: r.Logs.Logger("relay"),
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), OnTargetEnd: r.follower.NotifyEvidence,
	}

	r.Budget.OnRetries = r.follower.NotifyRetries
	r.follower.Init()
	r.relay.Init()
	r.InternalMux.Handle(wire.EngineRelayPathPrefix, wire.NewEngineRelayServer(&engineRelay{cluster: r.Cluster, engines: engineCache{newEngine: r.EngineAt}}))
	r.Dump.Add("Relay", func() any { return r.relay.Dump() })

	if r.Dump.Metrics == nil {
		r.Dump.Metrics = metrics.NewRegistry()
	}

	r.Dump.BeforeMetrics(func() {
		if err := r.relay.UpdateMetrics(r.Dump.Metrics); err != nil {
			r.logger.Warn("Metrics of levels cannot be updated.", "error", err)
		}
	})

	return r.relay.Register(r.Dump.Metrics)
}
