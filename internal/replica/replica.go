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
	DefaultSnapshotEvery = 4096
	DefaultMaxBatch      = 512
	DefaultTimeout       = 10 * time.Second
	maxQueued            = 1024
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
	// Heartbeat and Election are as in quorum.Config.
	Heartbeat time.Duration
	Election  time.Duration
	// SnapshotEvery is after how many entries a snapshot is taken.
	SnapshotEvery uint64
	// Keep is how many entries stay in the log behind a snapshot.
	Keep uint64
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

		if r.SnapshotEvery == 0 {
			r.SnapshotEvery = DefaultSnapshotEvery
		}

		if r.MaxBatch == 0 {
			r.MaxBatch = DefaultMaxBatch
		}

		if r.Heartbeat == 0 {
			r.Heartbeat = quorum.DefaultHeartbeat
		}

		if r.Election == 0 {
			r.Election = quorum.DefaultElection
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
		NewBirth: func() uint64 { return uint64(r.Rand(1<<62)) + 1 },
	}

	stored, err := r.journal.Open()
	if err != nil {
		return eris.Wrap(err, "open journal")
	}

	r.core, err = quorum.New(quorum.Config{
		ID: r.ID, Birth: r.journal.Birth(), Founders: r.Founders,
		Heartbeat: r.Heartbeat, Election: r.Election, Keep: r.Keep, Rand: r.Rand,
	}, stored, time.Now())
	if err != nil {
		return errors.Join(eris.Wrap(err, "start core"), r.journal.Close())
	}

	r.Logger.Info("Started.", "term", stored.State.Term, "snapshot", stored.Snapshot.Index, "entries", len(stored.Entries))

	return nil
}

// loop steps the core. Events that are waiting together share one sync.
func (r *Replica) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()

	for {
		if err := r.settle(); err != nil {
			return err
		}

		timer.Reset(time.Until(r.core.Deadline()))

		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			r.core.Step(time.Now(), quorum.Tick{})
		case req := <-r.requests:
			r.request(req)
		case env := <-r.inbox:
			r.receive(env)
		}

		r.drain()
	}
}

// drain takes in what else is waiting, up to a limit that keeps ticks on time.
func (r *Replica) drain() {
	for range r.MaxBatch - 1 {
		select {
		case req := <-r.requests:
			r.request(req)
		case env := <-r.inbox:
			r.receive(env)
		default:
			return
		}
	}
}

func (r *Replica) request(req request) {
	r.lastID++
	r.waiting[r.lastID] = req.done
	r.core.Step(time.Now(), req.event(r.lastID))
}

func (r *Replica) receive(env *wire.PeerEnvelope) {
	for _, w := range env.GetMessages() {
		m, err := quorum.MessageFromWire(w)
		if err != nil {
			r.Logger.Warn("Ignored a message.", "err", err)

			continue
		}

		if addr, err := netip.ParseAddrPort(env.GetAddress()); err == nil {
			r.learned[m.From] = addr
		}

		r.core.Step(time.Now(), quorum.Received{Message: m})
	}
}

// settle does what the core asks for until there is nothing left.
func (r *Replica) settle() error {
	for {
		b := r.core.Take()
		if b.Empty() {
			if !r.compact() {
				r.publish()

				return nil
			}

			continue
		}

		if err := r.do(b); err != nil {
			return err
		}
	}
}

// do carries out one batch. The order matters: see quorum.Batch.
func (r *Replica) do(b quorum.Batch) error {
	r.sendAll(b.SendNow)

	if err := r.journal.Write(b.Persist); err != nil {
		return eris.Wrap(err, "write journal")
	}

	r.core.Synced()
	r.sendAll(b.Send)

	if b.Restore != nil {
		if err := r.Restore(b.Restore.Data); err != nil {
			return eris.Wrapf(err, "restore the snapshot at %d", b.Restore.Index)
		}

		r.applied = b.Restore.Index
		r.snapshot = b.Restore.Index
	}

	for _, c := range b.Apply {
		r.apply(c)
	}

	for _, a := range b.Answers {
		r.answer(a.ID, outcome{verdict: a.Verdict, reason: a.Reason})
	}

	for _, d := range b.Reads {
		r.answer(d.ID, outcome{done: !d.Failed, index: d.Index})
	}

	return r.core.Err()
}

func (r *Replica) apply(c quorum.Committed) {
	out := outcome{done: true, index: c.Entry.Index}

	if c.Entry.Kind == quorum.EntryCommand {
		out.result = r.Apply(c.Entry.Index, c.Entry.Command)
		r.commits++
	}

	r.applied = c.Entry.Index
	r.answer(c.ProposalID, out)
}

func (r *Replica) answer(id uint64, out outcome) {
	done, ok := r.waiting[id]
	if !ok {
		return
	}

	delete(r.waiting, id)
	done <- out
}

// compact takes a snapshot if one is due.
func (r *Replica) compact() bool {
	if r.applied-r.snapshot < r.SnapshotEvery {
		return false
	}

	r.snapshot = r.applied
	r.core.Step(time.Now(), quorum.Compacted{Index: r.applied, Data: r.Snapshot()})

	return true
}

// failWaiting answers all who wait when the replica stops. What they proposed
// may still be committed by the others.
func (r *Replica) failWaiting() {
	for id := range r.waiting {
		r.answer(id, outcome{reason: reasonStopped})
	}
}
