// Package replica runs one replica of the project's own state: it drives the
// consensus core, its disk and its connections, and applies what was committed.
package replica

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Defaults and limits of a Replica.
const (
	DefaultSnapshotThreshold = 4096
	DefaultMaxBatch          = 512
	snapshotBytes            = 16 << 20
	DefaultTimeout           = 10 * time.Second
	maxQueued                = 1024
)

// Replica is one control VM's copy of the state. Its exported fields are set
// before Run; all methods may be called from any goroutine, also before Run.
type Replica struct {
	ID      string
	Cluster string
	// Dir is the data folder. It belongs to this replica alone.
	Dir string
	// Addr is where others reach this replica's Handler.
	Addr netip.AddrPort
	// Founders are the first members of a new group, the same list at each of
	// them. A replica that is to join a group with AddLearner has none.
	Founders []quorum.Member
	// Apply changes the state and returns the result for the proposer. Snapshot
	// returns the whole state, Restore replaces it. All are called one at a time.
	Apply    func(index uint64, command []byte) []byte
	Snapshot func() []byte
	Restore  func(data []byte) error
	// Send hands messages to the replica at an address and does not block. Any
	// may be lost. By default they go by HTTP.
	Send func(to netip.AddrPort, env *wire.PeerEnvelope)
	// Forward hands an order to the leader. By default it goes by HTTP.
	Forward func(ctx context.Context, to netip.AddrPort, order *wire.PeerOrder) (*wire.PeerOrderAnswer, error)
	// Client is for the default Send and Forward, and Scheme "http" or "https".
	Client *http.Client
	Scheme string
	Logger *slog.Logger
	// HeartbeatInterval and Election are as in quorum.Config.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SnapshotThreshold is after how many entries a snapshot is taken, or sooner after
	// 16 MiB of commands.
	SnapshotThreshold uint64
	// CatchUpEntries is how many entries stay in the log behind a snapshot.
	CatchUpEntries uint64
	// MaxBatch is how many requests and messages may share one sync, and
	// DefaultMaxBatch if 0. More would keep ticks waiting.
	MaxBatch int
	// Files are the disk; the zero value stands for the operating system's.
	Files journal.Files
	// Rand returns a random number in [0, n). Tests set it.
	Rand func(n int64) int64

	prepared sync.Once
	requests chan request
	inbox    chan *wire.PeerEnvelope
	stopped  chan struct{}
	status   atomic.Pointer[Status]

	core     *quorum.Core
	journal  *journal.Journal
	lastID   uint64
	waiting  map[uint64]chan outcome
	learned  map[string]netip.AddrPort // of replicas that are not members, or not yet known to be
	applied  uint64
	snapshot uint64
	commits  uint64
	unsaved  int // bytes of commands since the snapshot
	logged   Status

	forwarder *http.Client
}

// prepare fills in defaults. Methods may be called before Run.
func (r *Replica) prepare() {
	r.prepared.Do(func() {
		r.requests = make(chan request, maxQueued)
		r.inbox = make(chan *wire.PeerEnvelope, maxQueued)
		r.stopped = make(chan struct{})
		r.waiting = map[uint64]chan outcome{}
		r.learned = map[string]netip.AddrPort{}
		r.forwarder = newClient(r.Client)

		if r.Logger == nil {
			r.Logger = slog.New(slog.DiscardHandler)
		}

		r.Logger = r.Logger.With("part", "replica", "id", r.ID)

		if r.Rand == nil {
			r.Rand = rand.Int64N
		}

		if r.SnapshotThreshold == 0 {
			r.SnapshotThreshold = DefaultSnapshotThreshold
		}

		if r.MaxBatch == 0 {
			r.MaxBatch = DefaultMaxBatch
		}

		if r.HeartbeatInterval == 0 {
			r.HeartbeatInterval = quorum.DefaultHeartbeatInterval
		}

		if r.ElectionTimeout == 0 {
			r.ElectionTimeout = quorum.DefaultElectionTimeout
		}
	})
}

// Run takes part until ctx ends, and then returns nil. It returns an error if
// the disk cannot be trusted or written: this replica then no longer takes part.
// A planned stop calls TransferLeadership first.
func (r *Replica) Run(ctx context.Context) error {
	r.prepare()
	defer close(r.stopped)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	if r.Send == nil {
		t := r.transport()
		defer t.close()

		r.Send = t.send
	}

	if err := r.open(); err != nil {
		return err
	}

	err := r.loop(ctx)
	r.failWaiting()
	err = errors.Join(err, r.journal.Close())
	if err != nil {
		r.Logger.Error("Stopped taking part.", "err", err)
	}

	return err
}

func (r *Replica) open() error {
	r.journal = &journal.Journal{
		Dir: r.Dir, Cluster: r.Cluster, ID: r.ID, Files: r.Files,
		NewCreationID: func() uint64 { return uint64(r.Rand(1<<62)) + 1 },
	}

	stored, err := r.journal.Open()
	if err != nil {
		return eris.Wrap(err, "open journal")
	}

	r.core, err = quorum.New(quorum.Config{
		ID: r.ID, CreationID: r.journal.CreationID(), Founders: r.Founders,
		HeartbeatInterval: r.HeartbeatInterval, ElectionTimeout: r.ElectionTimeout, CatchUpEntries: r.CatchUpEntries, Rand: r.Rand,
	}, stored, time.Now())
	if err != nil {
		return errors.Join(eris.Wrap(err, "start core"), r.journal.Close())
	}

	r.Logger.Info("Started.", "term", stored.State.Term, "snapshot", stored.Snapshot.Index, "entries", len(stored.Entries))

	return nil
}
