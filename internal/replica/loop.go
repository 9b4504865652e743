package replica

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

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

		// A VM that lost its disk takes part under a new ID at its old address, where
		// messages to the one that it was still arrive.
		if m.To != r.ID {
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
		r.unsaved += len(c.Entry.Command)
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
	if r.applied-r.snapshot < r.SnapshotThreshold && r.unsaved < snapshotBytes {
		return false
	}

	r.snapshot = r.applied
	r.unsaved = 0
	r.core.Step(time.Now(), quorum.SnapshotTaken{Index: r.applied, Data: r.Snapshot()})

	return true
}

// failWaiting answers all who wait when the replica stops. What they proposed
// may still be committed by the others.
func (r *Replica) failWaiting() {
	for id := range r.waiting {
		r.answer(id, outcome{reason: reasonStopped})
	}
}
