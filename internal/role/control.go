package role

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/expertgroup"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/replica"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const (
	// shutdownTimeout bounds how long a stopping control VM waits for polls in flight.
	shutdownTimeout = 3 * time.Second
	// stopCheckTimeout bounds the check whether a control VM may be stopped.
	stopCheckTimeout = 2 * time.Second
	// leadershipTransferTimeout bounds the transfer of leadership on a planned stop.
	leadershipTransferTimeout = 3 * time.Second
)

// Control is the control role. Its fields must be set before Build.
type Control struct {
	VM      string
	Cluster string
	Zone    string
	// Incarnation is new at each start.
	Incarnation uint64
	Listener    net.Listener
	// Identity is nil for plaintext.
	Identity *identity.Identity
	// Dir is the data folder. No other process may use it.
	Dir string
	// Files is the file system that holds Dir. The zero value means the operating
	// system's.
	Files journal.Files
	// Founders are the initial members of a new deployment. Each of them must have the
	// same list.
	Founders []quorum.Member
	// Peers are the other control VMs in the settings.
	Peers []quorum.Member
	Logs  logs.Output
	Dump  *dump.Dump
	// Bounds are those of the clients of both ports.
	Bounds callers.Bounds

	// TrustedNetwork accepts plaintext from beyond loopback too, without authorization.
	TrustedNetwork bool
	// AutoMembership is set if the control VMs join and replace each other
	// automatically.
	AutoMembership *AutoMembership
	// OperatorListener accepts requests of operators who decide in one step, and
	// announcements of targets. OperatorHandler creates its handler. Both may be nil.
	OperatorListener net.Listener
	OperatorHandler  func(*control.Server) http.Handler
	// ReadDocument, Zones, AnnounceInterval and MaxTargets are as in control.Server.
	ReadDocument     func(sent []byte) (*wire.RouteTable, error)
	Zones            map[string]string
	AnnounceInterval time.Duration
	MaxTargets       int
	// TargetsFile is the file that keeps the directory of targets across restarts. If
	// it is empty, the directory is not kept.
	TargetsFile string

	// ExpertSettings holds the settings for expert maps of groups. The zero value means
	// the defaults.
	ExpertSettings expertgroup.Settings

	server      *control.Server
	director    *expertgroup.Director
	replica     *replica.Replica
	client      *http.Client
	groupCache  groupCache
	peerTracker peerTracker
	leaving     leavingMembers
	// membersCheck receives a value when the leader must check the control set at once.
	membersCheck chan struct{}
}

// Server returns the server. It must be called after Build.
func (r *Control) Server() *control.Server { return r.server }

// Replica returns the replica. It must be called after Build.
func (r *Control) Replica() *replica.Replica { return r.replica }

// Build creates the parts of the role. It is called once, before Run.
func (r *Control) Build() {
	if r.Dump.Metrics == nil {
		r.Dump.Metrics = metrics.NewRegistry()
	}

	address, _ := netip.ParseAddrPort(r.Listener.Addr().String())
	r.client = NewControlClient(nil, r.Identity).client
	r.replica = &replica.Replica{
		ID: r.VM, Cluster: r.Cluster, Dir: r.Dir, Files: r.Files, Addr: address, Founders: r.Founders,
		Conflicts: ledger.Conflicts, Client: r.client, Logger: r.Logs.Logger("replica"),
	}
	r.peerTracker.started = time.Now()
	r.leaving.init()
	r.membersCheck = make(chan struct{}, 1)
	r.server = &control.Server{
		Cluster: r.Cluster, Zone: r.Zone, VM: r.VM, Propose: r.replica.Propose, ProposeCurrent: r.replica.ProposeCurrent, ReadIndex: r.readIndex,
		NotProposed: func(err error) bool { return verdict.Of(err) == verdict.NotRun },
		IsLeader:    r.isLeader, StopBlocker: r.stopBlocker, FindPeers: r.findPeers, FindVoters: r.findVoters, Self: r.self,
		ReadDocument: r.ReadDocument, Zones: r.Zones, AnnounceInterval: r.AnnounceInterval, MaxTargets: r.MaxTargets, ControlAddresses: r.controlAddresses,
		Logger: r.Logs.Logger("control"),
	}

	if r.TargetsFile != "" {
		r.server.SaveTargets = func(data []byte) error { return writeFileAtomic(r.TargetsFile, data) }
		r.server.LoadTargets = func() ([]byte, error) { return os.ReadFile(filepath.Clean(r.TargetsFile)) }
	}

	r.director = r.newDirector()
	r.server.OnGroupEntry = r.director.OnApplied
	r.server.Init()
	_ = r.Dump.Metrics.Register("Control.TargetsRefused", metrics.NewFunctionalGauge(r.server.TargetsRefused)) // It fails for a duplicate only.
	r.replica.Apply = r.server.Apply
	r.replica.Snapshot = r.server.Snapshot
	r.replica.Restore = r.server.Restore
	r.Dump.Add("Replica", func() any { return r.replica.Status() })
}

// readIndex returns 0 as the index: the replica has applied the index when ReadIndex
// returns, and the ledger does not count the replica's internal log entries.
func (r *Control) readIndex(ctx context.Context) (time.Time, uint64, error) {
	asOf, _, err := r.replica.ReadIndex(ctx)

	return asOf, 0, err
}

func (r *Control) self() *wire.Node {
	return &wire.Node{
		ID: r.VM, Kind: wire.NodeKind_NodeControl, Zone: r.Zone,
		Address: r.Listener.Addr().String(), Incarnation: r.Incarnation,
	}
}

func (r *Control) isLeader() bool { return r.replica.Status().Leader == r.VM }

// stopBlocker returns why the named control VM must not be stopped now, or "". It
// checks with the other members, because the last known state may predate a failure.
func (r *Control) stopBlocker(name string) string {
	isMember := func(m quorum.MemberStatus) bool { return m.Member.ID == name }
	if !slices.ContainsFunc(r.replica.Status().Members, isMember) {
		return ""
	}

	ctx, cancel := context.WithTimeout(context.Background(), stopCheckTimeout)
	defer cancel()

	if err := r.replica.CheckStop(ctx, name); err != nil {
		return err.Error()
	}

	return ""
}

// Run runs the role until ctx ends or the operators plan a stop, then transfers
// leadership and stops.
func (r *Control) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	listener := r.Bounds.Listen("Peers", r.Listener)
	listener.Encrypted = r.Identity != nil
	server := listener.Server(r.handler())

	g, work := errgroup.WithContext(work)
	g.Go(func() error { return r.replica.Run(work) })
	g.Go(func() error { return r.server.Run(work) })
	g.Go(func() error { return r.director.Run(work) })
	g.Go(func() error { return r.serveOperators(work) })
	g.Go(func() error { return r.manageMembership(work) })
	g.Go(func() error {
		if err := server.Serve(identity.MaybePeerListener(r.Identity, listener)); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve control")
		}

		return nil
	})
	g.Go(func() error {
		defer stop()

		var err error

		select {
		case <-ctx.Done():
			err = r.prepareStop()
		case <-r.plannedStop(work):
			err = r.prepareStop()
		case <-work.Done():
		}

		return errors.Join(err, shutdownServer(server))
	})

	return eris.Wrap(g.Wait(), "run control VM")
}

// stopPollInterval is the interval at which a control VM checks whether the operators
// plan to stop it.
const stopPollInterval = 500 * time.Millisecond

// plannedStop returns a channel that is closed once the operators plan a stop of this
// VM. A VM that restarts while the stop is still planned stops again.
func (r *Control) plannedStop(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})

	go func() {
		tick := time.NewTicker(stopPollInterval)
		defer tick.Stop()

		for !r.server.StopPlanned(r.VM) {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}

		close(done)
	}()

	return done
}

func shutdownServer(server *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()

	if err := server.Shutdown(ctx); err != nil {
		// Canceled polls are repeated at another control VM, and no caller's request is
		// affected.
		return eris.Wrap(server.Close(), "close control server")
	}

	return nil
}

// prepareStop hands over what this VM does in the control set. It returns an error if this VM is no longer a
// member.
func (r *Control) prepareStop() error {
	ctx, cancel := context.WithTimeout(context.Background(), replacementTimeout)
	defer cancel()

	if len(r.replica.Status().Members) < 2 {
		return nil
	}

	if r.AutoMembership != nil {
		return r.leaveControlSet(ctx)
	}

	if r.isLeader() {
		r.transferLeadership(ctx)
	}

	return nil
}

// transferLeadership transfers leadership to another control VM, so that a planned stop
// requires no election.
func (r *Control) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
	defer cancel()

	if err := r.replica.TransferLeadership(ctx, ""); err != nil {
		r.Logs.Logger("control").Warn("Leadership transfer failed; the stop may cause an election.", "error", err)
	}
}

func (r *Control) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.ControlPathPrefix, wire.NewControlServer(&authenticatedControl{Server: r.server}))
	mux.Handle(wire.OperatorPathPrefix, wire.NewOperatorServer(&authenticatedOperator{Server: r.server}))
	mux.Handle(wire.MembersPathPrefix, wire.NewMembersServer(&membersService{role: r}))
	mux.Handle(wire.ControlPeerPathPrefix, wire.NewControlPeerServer(r.server))
	mux.Handle(wire.PeerPathPrefix, r.replica.Handler())
	mux.Handle(wire.PublisherPathPrefix, wire.NewPublisherServer(r.server))

	if r.TrustedNetwork {
		return mux
	}

	return authorizeControl(mux)
}

// authorizeControl allows entries to claim and publish, entries and agents to poll,
// operators to decide, and control VMs to replicate the log.
func authorizeControl(next http.Handler) http.Handler {
	followers := []identity.Role{identity.RoleEntry, identity.RoleAgent}

	return identity.Authorize(next,
		identity.Rule{Prefix: wire.ControlPathPrefix + "Poll", Roles: followers},
		identity.Rule{Prefix: wire.ControlPathPrefix, Roles: []identity.Role{identity.RoleEntry}},
		identity.Rule{Prefix: wire.PublisherPathPrefix, Roles: []identity.Role{identity.RoleEntry}},
		identity.Rule{Prefix: wire.OperatorPathPrefix, Roles: []identity.Role{identity.RoleOperator}},
		identity.Rule{Prefix: wire.MembersPathPrefix, Roles: []identity.Role{identity.RoleOperator}},
		identity.Rule{Prefix: wire.ControlPeerPathPrefix, Roles: []identity.Role{identity.RoleControl}},
		identity.Rule{Prefix: wire.PeerPathPrefix, Roles: []identity.Role{identity.RoleControl}},
	)
}
