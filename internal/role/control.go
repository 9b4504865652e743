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

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/expertgroup"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/replica"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

const (
	// shutdownTimeout bounds how long a stopping control VM waits for polls in hand.
	shutdownTimeout = 3 * time.Second
	// stopCheckTimeout bounds the question whether a control VM may be stopped.
	stopCheckTimeout = 2 * time.Second
	// leadershipTransferTimeout bounds the hand-over of leadership on a planned stop.
	leadershipTransferTimeout = 3 * time.Second
)

// Control is the control role. Its fields are set before Build.
type Control struct {
	VM      string
	Cluster string
	Zone    string
	// Incarnation is fresh at each start.
	Incarnation uint64
	Listener    net.Listener
	// Identity is nil for plaintext.
	Identity *identity.Identity
	// Dir is the data folder, which this VM alone uses.
	Dir string
	// Files are the disk below it; the zero value stands for the operating system's.
	Files journal.Files
	// Founders are the first control VMs of a new deployment, the same list at each.
	Founders []quorum.Member
	// Peers are the other control VMs.
	Peers []quorum.Member
	Logs  logs.Output
	Dump  *dump.Dump

	// TrustedNetwork hears plaintext from beyond loopback too.
	TrustedNetwork bool
	// AutoMembership is set where the control VMs find and replace each other.
	AutoMembership *AutoMembership
	// OperatorListener takes operators who decide in one step, and targets' announcements;
	// Operate makes its handler. Both may be nil.
	OperatorListener net.Listener
	OperatorHandler  func(*control.Server) http.Handler
	// ReadDocument, Zones and AnnounceEvery are the server's.
	ReadDocument     func(sent []byte) (*wire.RouteTable, error)
	Zones            map[string]string
	AnnounceInterval time.Duration
	// TargetsFile is where the directory of targets is kept beyond a restart; empty for nowhere.
	TargetsFile string

	// ExpertSettings tunes the expert maps of groups; the zero value stands for the defaults.
	ExpertSettings expertgroup.Settings

	server      *control.Server
	director    *expertgroup.Director
	replica     *replica.Replica
	client      *http.Client
	groupCache  groupCache
	peerTracker peerTracker
}

// Server returns the server, which exists after Build.
func (r *Control) Server() *control.Server { return r.server }

// Replica returns the replica, which exists after Build.
func (r *Control) Replica() *replica.Replica { return r.replica }

// Build puts the role together. It is called once, before Run.
func (r *Control) Build() {
	if r.Dump.Metrics == nil {
		r.Dump.Metrics = metrics.NewRegistry()
	}

	address, _ := netip.ParseAddrPort(r.Listener.Addr().String())
	r.client = NewControlClient(nil, r.Identity).client
	r.replica = &replica.Replica{
		ID: r.VM, Cluster: r.Cluster, Dir: r.Dir, Files: r.Files, Addr: address, Founders: r.Founders,
		Client: r.client, Logger: r.Logs.Logger("replica"),
	}
	r.peerTracker.started = time.Now()
	r.server = &control.Server{
		Cluster: r.Cluster, Zone: r.Zone, VM: r.VM, Propose: r.replica.Propose, ReadIndex: r.readIndex,
		NotProposed: func(err error) bool { return verdict.Of(err) == verdict.NotRun },
		IsLeader:    r.isLeader, StopUnsafe: r.stopBlocker, FindPeers: r.findPeers, Self: r.self,
		ReadDocument: r.ReadDocument, Zones: r.Zones, AnnounceInterval: r.AnnounceInterval, ControlAddresses: r.controlAddresses,
		Logger: r.Logs.Logger("control"),
	}

	if r.TargetsFile != "" {
		r.server.SaveTargets = func(data []byte) error { return writeFileAtomic(r.TargetsFile, data) }
		r.server.LoadTargets = func() ([]byte, error) { return os.ReadFile(filepath.Clean(r.TargetsFile)) }
	}

	r.director = r.newDirector()
	r.server.OnGroup = r.director.OnApplied
	r.server.Init()
	r.replica.Apply = r.server.Apply
	r.replica.Snapshot = r.server.Snapshot
	r.replica.Restore = r.server.Restore
	r.Dump.Add("Replica", func() any { return r.replica.Status() })
}

// readIndex leaves the index out: the replica has applied it when Read returns, and
// entries of its own in the log never reach the ledger's count.
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

// stopBlocker says why the control VM with that name should not be stopped now.
// It asks the others anew: what was heard last may be older than a loss.
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

// Run runs the role until ctx ends, then hands leadership over and stops.
func (r *Control) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()

	server := &http.Server{Handler: r.handler(), ReadHeaderTimeout: controlRequestTimeout}

	g, work := errgroup.WithContext(work)
	g.Go(func() error { return r.replica.Run(work) })
	g.Go(func() error { return r.server.Run(work) })
	g.Go(func() error { return r.director.Run(work) })
	g.Go(func() error { return r.serveOperators(work) })
	g.Go(func() error {
		r.manageMembership(work)

		return nil
	})
	g.Go(func() error {
		if err := server.Serve(identity.MaybePeerListener(r.Identity, r.Listener)); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve control")
		}

		return nil
	})
	g.Go(func() error {
		select {
		case <-ctx.Done():
			r.transferLeadership()
		case <-r.plannedStop(work):
			r.transferLeadership()
		case <-work.Done():
		}

		defer stop()

		return shutdownServer(server)
	})

	return eris.Wrap(g.Wait(), "run control VM")
}

// stopPollInterval is how often a control VM looks whether the operators stop it.
const stopPollInterval = 500 * time.Millisecond

// plannedStop returns a channel that is closed once the operators plan a stop of
// this VM. Started again, it stays up only when the stop has been removed.
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
		// Polls that are held are asked again elsewhere; nothing of a caller is cut.
		return eris.Wrap(server.Close(), "close control")
	}

	return nil
}

// transferLeadership gives leadership to another control VM, so that a planned stop costs
// no election.
func (r *Control) transferLeadership() {
	if !r.isLeader() || len(r.replica.Status().Members) < 2 {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()

	if err := r.replica.TransferLeadership(ctx, ""); err != nil {
		r.Logs.Logger("control").Warn("leadership not handed over", "error", err)
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

// authorizeControl lets entries claim, entries and agents follow, operators decide,
// and control VMs agree among themselves.
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
