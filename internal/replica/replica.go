// Package replica runs one replica of the replicated state. It connects the consensus
// core of package quorum to the disk and the network, and applies committed commands to
// the state machine.
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
	// DefaultSnapshotThreshold is in log entries, DefaultMaxBatch in events.
	DefaultSnapshotThreshold = 4096
	DefaultMaxBatch          = 512
	// snapshotThresholdBytes is the size of applied commands that triggers a snapshot.
	snapshotThresholdBytes = 16 << 20
	// DefaultTimeout bounds requests whose context has no deadline.
	DefaultTimeout = 10 * time.Second
	// maxQueueLength bounds the queued requests, and separately the queued envelopes.
	maxQueueLength = 1024
)

// Replica is one control VM's replica of the state. The exported fields must be set
// before the first method call. All exported methods are safe for concurrent use, also
// before Run.
type Replica struct {
	ID      string
	Cluster string
	// Dir is the data folder. No other replica may use it.
	Dir string
	// Addr is the address at which other replicas reach this replica's Handler.
	Addr netip.AddrPort
	// Founders are the initial members of a new group. Each of them must have the same
	// list. It is empty for a replica that joins a running group by AddLearner.
	Founders []quorum.Member
	// Apply applies a command to the state and returns the result for the proposer.
	// Snapshot returns the entire state and Restore replaces it. The replica never calls
	// two of them concurrently.
	Apply    func(index uint64, command []byte) []byte
	Snapshot func() []byte
	Restore  func(data []byte) error
	// Conflicts is as in quorum.Config. It is required for ProposeCurrent.
	Conflicts func(earlier, command []byte) bool
	// Send sends messages to the replica at an address. It must not block and may lose
	// messages. The default uses HTTP.
	Send func(to netip.AddrPort, env *wire.PeerEnvelope)
	// Forward sends a request to the leader and returns its response. The default uses
	// HTTP.
	Forward func(ctx context.Context, to netip.AddrPort, order *wire.PeerOrder) (*wire.PeerOrderAnswer, error)
	// Client supplies the HTTP transport of the default Send and Forward. Scheme is
	// "http" (the default) or "https".
	Client *http.Client
	Scheme string
	Logger *slog.Logger
	// HeartbeatInterval and ElectionTimeout are as in quorum.Config.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SnapshotThreshold is the number of applied entries after which a snapshot is taken.
	// 16 MiB of applied commands also trigger one.
	SnapshotThreshold uint64
	// CatchUpEntries is the number of entries before a snapshot that stay in the log, as
	// in quorum.Config.
	CatchUpEntries uint64
	// MaxBatch bounds the requests and messages that share one disk sync. 0 means
	// DefaultMaxBatch. A larger batch delays ticks.
	MaxBatch int
	// Files is the file system. The zero value means the operating system's.
	Files journal.Files
	// Rand returns a random number in [0, n). The default is rand.Int64N; tests replace it.
	Rand func(n int64) int64

	initOnce sync.Once
	requests chan request
	inbox    chan *wire.PeerEnvelope
	stopped  chan struct{}
	status   atomic.Pointer[Status]

	core               *quorum.Core
	journal            *journal.Journal
	lastRequestID      uint64
	pending            map[uint64]chan outcome
	learnedAddrs       map[string]netip.AddrPort // by ID; of senders that may not be members
	formerPeers        atomic.Pointer[[]netip.AddrPort]
	appliedIndex       uint64
	snapshotIndex      uint64
	appliedCommands    uint64
	bytesSinceSnapshot int // of applied commands
	loggedStatus       Status

	forwardClient *http.Client
}

// init sets defaults and creates the queues, once. Methods call it because
// they may be called before Run.
func (r *Replica) init() {
	r.initOnce.Do(func() {
		r.requests = make(chan request, maxQueueLength)
		r.inbox = make(chan *wire.PeerEnvelope, maxQueueLength)
		r.stopped = make(chan struct{})
		r.pending = map[uint64]chan outcome{}
		r.learnedAddrs = map[string]netip.AddrPort{}
		r.forwardClient = newClient(r.Client)

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

// Run runs the replica until ctx ends, and then returns nil. If the stored data is
// corrupt or the disk cannot be written, it stops the replica and returns an error. Call
// TransferLeadership before a planned stop.
func (r *Replica) Run(ctx context.Context) error {
	r.init()
	defer close(r.stopped)

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	if r.Send == nil {
		t := r.newTransport()
		defer t.close()

		r.Send = t.send
	}

	if err := r.open(); err != nil {
		return err
	}

	err := r.loop(ctx)
	r.failPending()
	err = errors.Join(err, r.journal.Close())
	if err != nil {
		r.Logger.Error("Stopped because of an error.", "err", err)
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
		Conflicts: r.Conflicts,
	}, stored, time.Now())
	if err != nil {
		return errors.Join(eris.Wrap(err, "start consensus core"), r.journal.Close())
	}

	r.Logger.Info("Started.", "term", stored.State.Term, "snapshot", stored.Snapshot.Index, "entries", len(stored.Entries))

	return nil
}
