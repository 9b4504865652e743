package replica

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// loop passes requests, messages and ticks to the core. All events queued at the same
// time share one disk sync.
func (r *Replica) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()

	for {
		if err := r.processBatches(); err != nil {
			return err
		}

		timer.Reset(time.Until(r.core.Deadline()))

		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			r.core.Step(time.Now(), quorum.Tick{})
		case req := <-r.requests:
			r.stepRequest(req)
		case env := <-r.inbox:
			r.stepEnvelope(env)
		}

		r.drainQueues()
	}
}

// drainQueues processes further queued events, at most MaxBatch with the first one, so
// that ticks stay on time.
func (r *Replica) drainQueues() {
	for range r.MaxBatch - 1 {
		select {
		case req := <-r.requests:
			r.stepRequest(req)
		case env := <-r.inbox:
			r.stepEnvelope(env)
		default:
			return
		}
	}
}

func (r *Replica) stepRequest(req request) {
	r.lastRequestID++
	r.pending[r.lastRequestID] = req.result
	r.core.Step(time.Now(), req.newEvent(r.lastRequestID))
}

func (r *Replica) stepEnvelope(env *wire.PeerEnvelope) {
	for _, w := range env.GetMessages() {
		m, err := quorum.MessageFromWire(w)
		if err != nil {
			r.Logger.Warn("Dropped an invalid peer message.", "err", err)

			continue
		}

		addr, addrErr := netip.ParseAddrPort(env.GetAddress())

		if addrErr == nil {
			r.learnedAddrs[m.From] = addr

			// A VM that lost its disk rejoins with a new ID at its old address. Messages for
			// the old ID still arrive there.
			if m.To != r.ID {
				r.addFormerPeer(addr)
			}
		}

		r.core.Step(time.Now(), quorum.Received{Message: m})
	}
}

// maxFormerPeers is more than the leaders that a replica sees before it has joined.
const maxFormerPeers = 8

// addFormerPeer records the address of a replica that still sends messages to an earlier replica
// at this address, the latest first.
func (r *Replica) addFormerPeer(addr netip.AddrPort) {
	known := r.FormerPeers()
	if len(known) > 0 && known[0] == addr {
		return
	}

	next := append([]netip.AddrPort{addr}, slices.DeleteFunc(slices.Clone(known), func(a netip.AddrPort) bool { return a == addr })...)
	next = next[:min(len(next), maxFormerPeers)]
	r.formerPeers.Store(&next)
}

// FormerPeers returns the addresses of replicas that still send messages to an earlier replica
// at this address. They are members, also if this replica knows none of them.
func (r *Replica) FormerPeers() []netip.AddrPort {
	if known := r.formerPeers.Load(); known != nil {
		return *known
	}

	return nil
}

// processBatches executes the core's batches, and takes a snapshot if one is due, until
// the core has no more work.
func (r *Replica) processBatches() error {
	for {
		b := r.core.Take()
		if b.Empty() {
			if err := r.core.Err(); err != nil {
				return err
			}

			if !r.snapshotIfDue() {
				r.publishStatus()

				return nil
			}

			continue
		}

		if err := r.executeBatch(b); err != nil {
			return err
		}
	}
}

// executeBatch executes one batch. quorum.Batch defines the order of the steps.
func (r *Replica) executeBatch(b quorum.Batch) error {
	r.sendMessages(b.SendNow)

	if err := r.journal.Write(b.Persist); err != nil {
		return eris.Wrap(err, "write journal")
	}

	r.core.Synced()
	r.sendMessages(b.Send)

	if b.Restore != nil {
		if err := r.Restore(b.Restore.Data); err != nil {
			return eris.Wrapf(err, "restore the snapshot at index %d", b.Restore.Index)
		}

		r.appliedIndex = b.Restore.Index
		r.snapshotIndex = b.Restore.Index
	}

	for _, c := range b.Apply {
		r.apply(c)
	}

	for _, a := range b.Answers {
		r.complete(a.ID, outcome{verdict: a.Verdict, reason: a.Reason})
	}

	for _, d := range b.Reads {
		r.complete(d.ID, outcome{succeeded: !d.Failed, index: d.Index})
	}

	return r.core.Err()
}

func (r *Replica) apply(c quorum.Committed) {
	out := outcome{succeeded: true, index: c.Entry.Index}

	if c.Entry.Kind == quorum.EntryCommand {
		out.result = r.Apply(c.Entry.Index, c.Entry.Command)
		r.appliedCommands++
		r.bytesSinceSnapshot += len(c.Entry.Command)
	}

	r.appliedIndex = c.Entry.Index
	r.complete(c.ProposalID, out)
}

func (r *Replica) complete(id uint64, out outcome) {
	result, ok := r.pending[id]
	if !ok {
		return
	}

	delete(r.pending, id)
	result <- out
}

// snapshotIfDue takes a snapshot if enough entries or bytes were applied since the last
// one, and reports whether it did.
func (r *Replica) snapshotIfDue() bool {
	if r.appliedIndex-r.snapshotIndex < r.SnapshotThreshold && r.bytesSinceSnapshot < snapshotThresholdBytes {
		return false
	}

	r.snapshotIndex = r.appliedIndex
	r.bytesSinceSnapshot = 0
	r.core.Step(time.Now(), quorum.SnapshotTaken{Index: r.appliedIndex, Data: r.Snapshot()})

	return true
}

// failPending fails all pending requests when the replica stops. Their verdict is
// MayHaveRun, because the other replicas may still commit a pending proposal.
func (r *Replica) failPending() {
	for id := range r.pending {
		r.complete(id, outcome{reason: reasonStopped})
	}
}
