package quorum

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// outgoingSnapshot is a snapshot that is being sent to a member. A newer snapshot of the
// leader does not replace it.
type outgoingSnapshot struct {
	snap       Snapshot
	digest     uint64
	sentOffset uint64 // offset of the chunk in flight
	resendAt   time.Time
}

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	index  uint64
	term   uint64
	digest uint64
	data   []byte
}

// sendSnapshot asks p for its offset. Data are only sent after its answer, so that no
// chunks are sent to an unreachable member.
func (c *Core) sendSnapshot(p *progress, heartbeat bool) {
	if p.outgoingSnapshot == nil {
		p.outgoingSnapshot = &outgoingSnapshot{snap: c.snap, digest: xxhash.Sum64(c.snap.Data)}
		heartbeat = true
	}

	if heartbeat {
		c.sendChunk(p, 0, nil)
	}
}

func (c *Core) sendChunk(p *progress, offset uint64, data []byte) {
	o := p.outgoingSnapshot
	c.sendNow(p, Chunk{
		Index: o.snap.Index, Term: o.snap.Term, MembersIndex: o.snap.MembersIndex, Members: o.snap.Members,
		Size: uint64(len(o.snap.Data)), Digest: o.digest, Offset: offset, Data: data, Round: c.leaderState.currentRound(),
	})
}

func (c *Core) handleChunkAnswer(m Message, body ChunkAnswer) {
	if c.state != leader {
		return
	}

	p := c.progressOf(m)
	if p == nil {
		return
	}

	c.recordRoundAnswer(p, body.Round)
	c.confirmReads()

	o := p.outgoingSnapshot
	if o == nil || o.snap.Index != body.Index || body.Offset >= uint64(len(o.snap.Data)) {
		return
	}

	// Heartbeats ask for the offset too. Their answers must not send the same chunk twice.
	if o.sentOffset == body.Offset && c.now.Before(o.resendAt) {
		return
	}

	o.sentOffset = body.Offset
	o.resendAt = c.now.Add(c.cfg.ElectionTimeout)
	end := min(body.Offset+uint64(c.cfg.ChunkBytes), uint64(len(o.snap.Data)))
	c.sendChunk(p, body.Offset, o.snap.Data[body.Offset:end])
}

// handleChunk stores a chunk of a snapshot.
func (c *Core) handleChunk(m Message, body Chunk) {
	if body.Index <= c.commit {
		c.acknowledge(m, c.commit, body.Round)

		return
	}

	in := c.incomingSnapshot
	if in == nil || in.index != body.Index || in.term != body.Term || in.digest != body.Digest {
		in = &incomingSnapshot{index: body.Index, term: body.Term, digest: body.Digest}
		c.incomingSnapshot = in
	}

	if body.Offset == uint64(len(in.data)) {
		in.data = append(in.data, body.Data...)
	}

	if uint64(len(in.data)) < body.Size {
		c.reply(m, c.hardState.Term, ChunkAnswer{Index: body.Index, Offset: uint64(len(in.data)), Round: body.Round})

		return
	}

	c.incomingSnapshot = nil

	if xxhash.Sum64(in.data) != body.Digest {
		c.reply(m, c.hardState.Term, ChunkAnswer{Index: body.Index, Round: body.Round})

		return
	}

	c.install(Snapshot{
		Index: body.Index, Term: body.Term, MembersIndex: body.MembersIndex, Members: body.Members, Data: in.data,
	})
	c.acknowledge(m, body.Index, body.Round)
}

// install replaces the state by the leader's snapshot.
func (c *Core) install(snap Snapshot) {
	members := []membersAt{{Index: snap.MembersIndex, Members: snap.Members}}

	if t, ok := c.log.term(snap.Index); ok && t == snap.Term {
		c.log.compact(snap.Index)

		for _, m := range c.members {
			if m.Index > snap.Index {
				members = append(members, m)
			}
		}
	} else {
		c.log.reset(snap.Index, snap.Term)
	}

	c.members = members
	c.snap = snap
	c.snapDirty = true
	c.stable = c.log.base
	c.commit = snap.Index

	for _, committed := range c.out.Apply {
		if committed.ProposalID != 0 {
			c.out.Answers = append(c.out.Answers, Answer{ID: committed.ProposalID, Verdict: verdict.MayHaveRun, Reason: ReasonLeadershipLost})
		}
	}

	c.out.Apply = nil
	c.out.Restore = &snap
}

// handleSnapshotTaken stores a new snapshot of the state machine and compacts the log.
func (c *Core) handleSnapshotTaken(ev SnapshotTaken) {
	t, ok := c.log.term(ev.Index)
	if !ok || ev.Index <= c.snap.Index || ev.Index > c.commit {
		return
	}

	current := c.members[0]
	rest := c.members[1:]

	for len(rest) > 0 && rest[0].Index <= ev.Index {
		current, rest = rest[0], rest[1:]
	}

	c.members = append([]membersAt{current}, rest...)
	c.snap = Snapshot{Index: ev.Index, Term: t, MembersIndex: current.Index, Members: current.Members, Data: ev.Data}
	c.snapDirty = true

	if ev.Index > c.cfg.CatchUpEntries {
		c.log.compact(ev.Index - c.cfg.CatchUpEntries)
	}

	c.log.compact(c.log.tailStart(ev.Index, maxCatchUpBytes))
}
