package quorum

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// outgoing is a snapshot on its way to a member. It stays the same one when the
// leader takes a later snapshot meanwhile.
type outgoing struct {
	snap    Snapshot
	digest  uint64
	sent    uint64 // offset of the piece under way
	againAt time.Time
}

// incoming is a snapshot that is being received.
type incoming struct {
	index  uint64
	term   uint64
	digest uint64
	data   []byte
}

// sendSnapshot asks p how far it has come. Data follow only on its answer, so
// that no pieces are sent towards a member that is gone.
func (c *Core) sendSnapshot(p *progress, heartbeat bool) {
	if p.outgoing == nil {
		p.outgoing = &outgoing{snap: c.snap, digest: xxhash.Sum64(c.snap.Data)}
		heartbeat = true
	}

	if heartbeat {
		c.sendChunk(p, 0, nil)
	}
}

func (c *Core) sendChunk(p *progress, offset uint64, data []byte) {
	o := p.outgoing
	c.sendNow(p, Chunk{
		Index: o.snap.Index, Term: o.snap.Term, MembersIndex: o.snap.MembersIndex, Members: o.snap.Members,
		Size: uint64(len(o.snap.Data)), Digest: o.digest, Offset: offset, Data: data, Round: c.lead.present(),
	})
}

func (c *Core) chunkAnswer(m Message, body ChunkAnswer) {
	if c.state != leader {
		return
	}

	p := c.peerOf(m)
	if p == nil {
		return
	}

	c.answered(p, body.Round)
	c.confirmReads()

	o := p.outgoing
	if o == nil || o.snap.Index != body.Index || body.Offset >= uint64(len(o.snap.Data)) {
		return
	}

	// Heartbeats ask too. Their answers must not send the same piece twice.
	if o.sent == body.Offset && c.now.Before(o.againAt) {
		return
	}

	o.sent = body.Offset
	o.againAt = c.now.Add(c.cfg.ElectionTimeout)
	end := min(body.Offset+uint64(c.cfg.ChunkBytes), uint64(len(o.snap.Data)))
	c.sendChunk(p, body.Offset, o.snap.Data[body.Offset:end])
}

// chunk takes in a piece of a snapshot.
func (c *Core) chunk(m Message, body Chunk) {
	if body.Index <= c.commit {
		c.acknowledge(m, c.commit, body.Round)

		return
	}

	in := c.incoming
	if in == nil || in.index != body.Index || in.term != body.Term || in.digest != body.Digest {
		in = &incoming{index: body.Index, term: body.Term, digest: body.Digest}
		c.incoming = in
	}

	if body.Offset == uint64(len(in.data)) {
		in.data = append(in.data, body.Data...)
	}

	if uint64(len(in.data)) < body.Size {
		c.reply(m, c.hard.Term, ChunkAnswer{Index: body.Index, Offset: uint64(len(in.data)), Round: body.Round})

		return
	}

	c.incoming = nil

	if xxhash.Sum64(in.data) != body.Digest {
		c.reply(m, c.hard.Term, ChunkAnswer{Index: body.Index, Round: body.Round})

		return
	}

	c.install(Snapshot{
		Index: body.Index, Term: body.Term, MembersIndex: body.MembersIndex, Members: body.Members, Data: in.data,
	})
	c.acknowledge(m, body.Index, body.Round)
}

// install replaces the state by the leader's.
func (c *Core) install(snap Snapshot) {
	rest := []membersAt{{Index: snap.MembersIndex, Members: snap.Members}}

	if t, ok := c.log.term(snap.Index); ok && t == snap.Term {
		c.log.compact(snap.Index)

		for _, m := range c.members {
			if m.Index > snap.Index {
				rest = append(rest, m)
			}
		}
	} else {
		c.log.reset(snap.Index, snap.Term)
	}

	c.members = rest
	c.snap = snap
	c.snapDirty = true
	c.stable = c.log.base
	c.commit = snap.Index

	for _, done := range c.out.Apply {
		if done.ProposalID != 0 {
			c.out.Answers = append(c.out.Answers, Answer{ID: done.ProposalID, Verdict: verdict.MayHaveRun, Reason: ReasonLeadershipLost})
		}
	}

	c.out.Apply = nil
	c.out.Restore = &snap
}

// compacted takes over the state machine's state and forgets old entries.
func (c *Core) compacted(ev SnapshotTaken) {
	t, ok := c.log.term(ev.Index)
	if !ok || ev.Index <= c.snap.Index || ev.Index > c.commit {
		return
	}

	ruling := c.members[0]
	rest := c.members[1:]

	for len(rest) > 0 && rest[0].Index <= ev.Index {
		ruling, rest = rest[0], rest[1:]
	}

	c.members = append([]membersAt{ruling}, rest...)
	c.snap = Snapshot{Index: ev.Index, Term: t, MembersIndex: ruling.Index, Members: ruling.Members, Data: ev.Data}
	c.snapDirty = true

	if ev.Index > c.cfg.CatchUpEntries {
		c.log.compact(ev.Index - c.cfg.CatchUpEntries)
	}

	c.log.compact(c.log.tail(ev.Index, keepBytes))
}
