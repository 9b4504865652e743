// Package control is the shell of a control VM around the replicated state: it
// answers the polls of entries and agents, their claims, and the operators. The
// log calls Apply, Snapshot and Restore from one goroutine, which owns the
// ledger; polls read immutable snapshots of it. A second goroutine owns what
// this VM has heard from processes.
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
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Server is one control VM's state and services. Set its exported fields before
// Run, and connect Apply, Snapshot and Restore to the log before it starts.
type Server struct {
	// Cluster names the deployment; polls of another are refused.
	Cluster string
	// Zone is this VM's own; entries there fetch large answers from here.
	Zone string
	// VM is this control VM's name, for dumps and logs.
	VM string

	// Propose commits a command and returns its index and result. An error
	// leaves the command's fate unknown, unless NotProposed says otherwise.
	Propose func(ctx context.Context, command []byte) (index uint64, result []byte, err error)
	// NotProposed reports whether err shows that the command was not and will
	// not be committed. Nil stands for errors whose verdict is NotRun.
	NotProposed func(err error) bool
	// ReadIndex returns an instant of this VM's clock, and an index that no command
	// committed before that instant exceeds.
	ReadIndex func(ctx context.Context) (asOf time.Time, index uint64, err error)
	// IsLeader reports whether this VM leads the log; nil means always.
	IsLeader func() bool
	// Peers are the other control VMs. FindPeers, if set, returns them instead as
	// they are now: whoever may still serve polls must be among them.
	Peers     []Peer
	FindPeers func() []Peer
	// StopUnsafe says why stopping the control VM with that name is not safe
	// yet, or "" where it is safe or no control VM has that name.
	StopUnsafe func(name string) string

	// Self says what this control VM is as a process of the directory; nil leaves
	// it out, and stops of it cannot be planned.
	Self func() *wire.Node

	// OnGroup is called by the goroutine of the log after each entry about an
	// expert map, and with a nil entry after a snapshot was restored; may be nil.
	OnGroup func(index uint64, e *wire.GroupEntry, states []*wire.GroupState)

	// ReadDocument reads an adopted document; it is needed where entries are the
	// doors of their targets. AnnounceEvery is how often targets announce themselves.
	ReadDocument     func(sent []byte) (*wire.RouteTable, error)
	AnnounceInterval time.Duration
	// SaveTargets keeps the directory of targets beyond a restart, and SavedTargets
	// returns what was kept; nil for neither. What was kept may be old or lost.
	SaveTargets func(data []byte) error
	LoadTargets func() ([]byte, error)
	// Zones are the regions of the declared zones, by name, for orders in one step.
	Zones map[string]string
	// ControlAddresses returns the addresses of all control VMs, for followers; may be nil.
	ControlAddresses func() []string

	// Settings holds the intervals; the zero value stands for DefaultSettings.
	Settings Settings
	// Limits bounds the state and must be equal on all control VMs.
	Limits ledger.Limits
	Logger *slog.Logger

	state     *ledger.Ledger
	published atomic.Pointer[published]
	applied   atomic.Uint64
	claims    atomic.Int64
	fresh     atomic.Pointer[freshness]
	base      atomic.Pointer[base]
	baseMu    sync.Mutex
	events    chan event
	announced waking
	saves     chan []byte
	// boot tells this start's directory from an earlier one's.
	boot uint64
}

// Peer is another control VM.
type Peer struct {
	Name string
	// RecentPolls asks it which processes polled it.
	RecentPolls func(ctx context.Context) (*wire.HeardResponse, error)
}

// Settings are the intervals of a control VM.
type Settings struct {
	// Lease is how long a process may act on a view after it was current.
	Lease time.Duration
	// MaxCreditLifetime is the longest life of the credits that agents grant. An entry cut
	// off with its view may send until its lease ends, and an agent cut off too
	// takes its word for as long as the credit lasts: only then has the last
	// request of the earlier version been let in.
	MaxCreditLifetime time.Duration
	// ClockMargin is added to Lease and CreditLife before the state counts as in force by time, for
	// clocks that run at unequal rates.
	ClockMargin time.Duration
	// ReadIndexInterval is how often this VM shows that its state is current.
	ReadIndexInterval time.Duration
	// MaxPollWait bounds how long a poll is held.
	MaxPollWait time.Duration
	// ReportBatchInterval is how long reports of processes are gathered into one command.
	ReportBatchInterval time.Duration
	// ExpiryTimeout is how long a process may be silent before it is expired.
	ExpiryTimeout time.Duration
	// ExpiryCheckInterval is how often the leading VM looks for silent processes.
	ExpiryCheckInterval time.Duration
	// TickInterval is how often the clock of the state is moved.
	TickInterval time.Duration
	// ProposeTimeout bounds one proposal of this VM's own.
	ProposeTimeout time.Duration
}

// DefaultSettings returns the intervals for the size that parsleygate is designed for.
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

// Init prepares the server for Apply, Restore and Run. It must be called once,
// after the exported fields are set.
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

	if s.NotProposed == nil {
		s.NotProposed = func(err error) bool { return verdict.Of(err) == verdict.NotRun }
	}

	s.Logger = s.Logger.With("part", "control")
	s.state = ledger.New(s.Limits)
	s.state.OnGroupEntry = s.groupApplied
	s.events = make(chan event, eventBuffer)
	s.announced.init()
	s.saves = make(chan []byte)
	s.boot = rand.Uint64()

	if s.AnnounceInterval == 0 {
		s.AnnounceInterval = time.Second
	}

	s.publish(time.Now())
}

// Run keeps the server current until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)

	g.Go(func() error {
		s.keepFresh(ctx)
		return nil
	})
	g.Go(func() error {
		s.saveTargets(ctx)
		return nil
	})
	g.Go(func() error {
		s.hear(ctx)
		return nil
	})
	g.Go(func() error {
		s.tend(ctx)
		return nil
	})

	return eris.Wrap(g.Wait(), "run the control VM")
}

// Apply carries out a committed command. The log calls it in order of index.
func (s *Server) Apply(index uint64, command []byte) []byte {
	before := s.published.Load()
	result := s.state.Apply(index, command)
	s.applied.Store(index)
	s.claims.Store(int64(s.state.ClaimCount()))

	if s.state.ChangeCount() != before.changes {
		s.publish(time.Now())
	}

	return result
}

// Snapshot returns the whole state, for the log to store.
func (s *Server) Snapshot() []byte { return s.state.Snapshot() }

// Restore replaces the state by a snapshot.
func (s *Server) Restore(data []byte) error {
	if err := s.state.Restore(data); err != nil {
		return err
	}

	s.applied.Store(s.state.Index())
	s.claims.Store(int64(s.state.ClaimCount()))
	s.publish(time.Now())

	if s.OnGroup != nil {
		s.OnGroup(s.state.Index(), nil, s.state.Groups())
	}

	return nil
}
