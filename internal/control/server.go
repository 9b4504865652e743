// Package control implements the services of a control VM on top of the replicated state:
// polls of entries and agents, their claims, and the requests of operators. The log calls
// Apply, Snapshot and Restore from one goroutine, which owns the ledger; polls read
// immutable snapshots of it. A second goroutine owns the polls and announcements that this
// VM received.
package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Server holds the state of one control VM and implements its services. Its exported fields
// must be set before Init, and Apply, Snapshot and Restore connected to the log before the
// log starts.
type Server struct {
	// Cluster names the deployment. Polls of other deployments are rejected.
	Cluster string
	// Zone is the zone of this VM. Entries in the same zone fetch large answers from it.
	Zone string
	// VM is the name of this control VM in dumps and logs.
	VM string

	// Propose commits a command and returns its index and result. After an error the
	// command may have been committed, unless NotProposed returns true for the error.
	Propose func(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	// ProposeCurrent is Propose for a command that may arrive late, after its caller has been
	// answered elsewhere and has sent newer ones. It is not committed after a conflicting command
	// that its caller sent later. If nil, Propose is used.
	ProposeCurrent func(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	// NotProposed reports whether err shows that the command was not and will not be
	// committed. If nil, that holds for errors whose verdict is NotRun.
	NotProposed func(err error) bool
	// ReadIndex returns a time of this VM's clock and a log index. No command committed
	// before that time has a higher index.
	ReadIndex func(ctx context.Context) (asOf time.Time, index uint64, err error)
	// IsLeader reports whether this VM leads the log; nil means always.
	IsLeader func() bool
	// Peers are the other control VMs. FindPeers, if set, is called instead for the current
	// ones. Every control VM that may still answer polls must be among them.
	Peers     []Peer
	FindPeers func() []Peer
	// StopBlocker returns why the named control VM cannot be stopped safely yet. It returns
	// "" if stopping is safe or no control VM has that name.
	StopBlocker func(name string) string

	// Self returns this control VM as a node of the directory. If nil, the VM is not listed
	// there and its stop cannot be planned.
	Self func() *wire.Node

	// OnGroupEntry is called by the goroutine of the log after each entry about an expert map,
	// and with a nil entry after a snapshot was restored. It may be nil.
	OnGroupEntry func(index uint64, e *wire.GroupEntry, states []*wire.GroupState)

	// ReadDocument parses an adopted document. It is required if entries proxy directly to
	// their targets. AnnounceInterval is the interval at which targets announce themselves.
	ReadDocument     func(sent []byte) (*wire.RouteTable, error)
	AnnounceInterval time.Duration
	// MaxTargets bounds the targets that this VM knows by their announcements and removals; 0 means no limit.
	MaxTargets int
	// SaveTargets stores the directory of targets, and LoadTargets returns what was stored
	// before a restart. Either may be nil. The stored directory may be old or missing.
	SaveTargets func(data []byte) error
	LoadTargets func() ([]byte, error)
	// FindVoters returns the other control VMs that have a vote, and whether this one has. If it is nil, this
	// VM is alone.
	FindVoters func() (self bool, others []Voter)
	// Zones maps the names of the declared zones to their regions, for SetZoneOut.
	Zones map[string]string
	// ControlAddresses returns the addresses of all control VMs, for followers. It may be
	// nil.
	ControlAddresses func() []string

	// Settings holds the intervals. The zero value means DefaultSettings.
	Settings Settings
	// Limits bounds the state. It must be equal on all control VMs.
	Limits ledger.Limits
	Logger *slog.Logger

	state          *ledger.Ledger
	published      atomic.Pointer[publishedState]
	applied        atomic.Uint64
	claimCount     atomic.Int64
	targetsRefused atomic.Int64
	refusedLines   logs.Sampler
	confirmed      atomic.Pointer[confirmation]
	base           atomic.Pointer[encodedBase]
	baseMu         sync.Mutex
	events         chan event
	targetsChanged notifier
	// controlsChanged reports that this VM knows other control VMs than before.
	controlsChanged notifier
	// incarnationsChanged reports that other control VMs lack incarnations of targets.
	incarnationsChanged notifier
	saveQueue           chan savedTargets
	// directoryBoot identifies the directory of targets of this start of the server.
	directoryBoot uint64
}

// Peer is another control VM.
type Peer struct {
	Name string
	// RecentPolls returns the processes that polled it.
	RecentPolls func(ctx context.Context) (*wire.HeardResponse, error)
	// ExchangeIncarnations tells it which incarnations of targets this VM knows, and asks for those that it knows.
	// It may be nil.
	ExchangeIncarnations func(ctx context.Context, r *wire.IncarnationsRequest) (*wire.IncarnationsResponse, error)
}

// Voter is another control VM that has a vote.
type Voter struct {
	Name string
	// RecordRemoval returns once the removal of a target is on its disk.
	RecordRemoval func(ctx context.Context, r *wire.RemovalRequest) error
	// RecordDraining returns once it tells its followers that a target is draining.
	RecordDraining func(ctx context.Context, r *wire.DrainingRequest) error
	// ExchangeIncarnations is as in Peer.
	ExchangeIncarnations func(ctx context.Context, r *wire.IncarnationsRequest) (*wire.IncarnationsResponse, error)
}

// Settings holds the intervals of a control VM.
type Settings struct {
	// Lease is how long a process may act on a view after the view was confirmed as
	// current.
	Lease time.Duration
	// MaxCreditLifetime is the longest lifetime of the credits that agents grant. A
	// partitioned entry may send by an old version until its lease ends, and a partitioned
	// agent accepts such requests until the credit expires. No request of the old version
	// is admitted after that.
	MaxCreditLifetime time.Duration
	// ClockMargin is added to Lease and MaxCreditLifetime before a version counts as in
	// force by elapsed time. It covers clocks that run at different rates.
	ClockMargin time.Duration
	// ReadIndexInterval is the interval at which this VM confirms that its state is current.
	ReadIndexInterval time.Duration
	// MaxPollWait bounds how long a poll is held.
	MaxPollWait time.Duration
	// ReportBatchInterval is how long reports of processes are collected for one command.
	ReportBatchInterval time.Duration
	// ExpiryTimeout is the time without a poll after which a process is expired.
	ExpiryTimeout time.Duration
	// ExpiryCheckInterval is the interval at which the leader looks for processes to expire.
	ExpiryCheckInterval time.Duration
	// TickInterval is the interval at which the leader advances the clock of the state.
	TickInterval time.Duration
	// ProposeTimeout bounds a proposal that this VM makes on its own behalf.
	ProposeTimeout time.Duration
}

// DefaultSettings returns the intervals for the deployment size that parsleygate is
// designed for.
func DefaultSettings() Settings {
	return Settings{
		Lease:               4 * time.Second,
		MaxCreditLifetime:   2 * time.Second,
		ClockMargin:         500 * time.Millisecond,
		ReadIndexInterval:   300 * time.Millisecond,
		MaxPollWait:         2 * time.Second,
		ReportBatchInterval: 200 * time.Millisecond,
		ExpiryTimeout:       10 * time.Second,
		ExpiryCheckInterval: 2500 * time.Millisecond,
		TickInterval:        5 * time.Second,
		ProposeTimeout:      2 * time.Second,
	}
}

// Init prepares the server for Apply, Restore and Run. It must be called once, after the
// exported fields are set.
func (s *Server) Init() {
	if s.Settings == (Settings{}) {
		s.Settings = DefaultSettings()
	}

	if s.Limits == (ledger.Limits{}) {
		s.Limits = ledger.DefaultLimits()
	}

	if s.Logger == nil {
		s.Logger = slog.New(slog.DiscardHandler)
	}

	if s.ProposeCurrent == nil {
		s.ProposeCurrent = s.Propose
	}

	if s.NotProposed == nil {
		s.NotProposed = func(err error) bool { return verdict.Of(err) == verdict.NotRun }
	}

	s.Logger = s.Logger.With("part", "control")
	s.state = ledger.New(s.Limits)
	s.state.OnGroupEntry = s.groupApplied
	s.events = make(chan event, eventBuffer)
	s.targetsChanged.init()
	s.controlsChanged.init()
	s.incarnationsChanged.init()
	s.saveQueue = make(chan savedTargets)
	s.directoryBoot = rand.Uint64()

	if s.AnnounceInterval == 0 {
		s.AnnounceInterval = time.Second
	}

	s.publish(time.Now())
}

// Run runs the background tasks of the server until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)

	g.Go(func() error {
		s.runConfirmations(ctx)
		return nil
	})
	g.Go(func() error {
		s.runTargetSaver(ctx)
		return nil
	})
	g.Go(func() error {
		s.runTrackers(ctx)
		return nil
	})
	g.Go(func() error {
		s.runIncarnationExchange(ctx)
		return nil
	})
	g.Go(func() error {
		s.runLeaderTasks(ctx)
		return nil
	})

	return eris.Wrap(g.Wait(), "run the control VM")
}

// Apply executes a committed command. The log calls it in the order of the indexes.
func (s *Server) Apply(index uint64, command []byte) []byte {
	prev := s.published.Load()
	result := s.state.Apply(index, command)
	s.applied.Store(index)
	s.claimCount.Store(int64(s.state.ClaimCount()))

	if s.state.ChangeCount() != prev.changes {
		s.publish(time.Now())
	}

	return result
}

// Snapshot returns the encoded state for the log to store.
func (s *Server) Snapshot() []byte { return s.state.Snapshot() }

// Restore replaces the state with a snapshot.
func (s *Server) Restore(data []byte) error {
	if err := s.state.Restore(data); err != nil {
		return err
	}

	s.applied.Store(s.state.Index())
	s.claimCount.Store(int64(s.state.ClaimCount()))
	s.publish(time.Now())

	if s.OnGroupEntry != nil {
		s.OnGroupEntry(s.state.Index(), nil, s.state.Groups())
	}

	return nil
}
