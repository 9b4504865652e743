package quorum

import "time"

// asking holds the reads of this replica's own callers.
type asking struct {
	last    uint64 // number of the latest ask; starts at random, so that answers to a former run match none
	reads   []localRead
	againAt time.Time // zero if there are no reads
}

// localRead is one caller's read. The answer to an ask numbered ask or higher
// was confirmed after the caller asked, however late it comes.
type localRead struct {
	id       uint64
	until    time.Time
	ask      uint64 // 0 if not asked yet
	answered bool
	index    uint64
}

// leaderRead is an ask that a leader has to answer.
type leaderRead struct {
	ask   uint64
	asker Message // whom to answer; From is empty for this replica itself
	index uint64
}

func (c *Core) readAsked(ev ReadRequested) {
	if len(c.asking.reads) >= maxWaitingReads {
		c.out.Reads = append(c.out.Reads, ReadDone{ID: ev.ID, Failed: true})

		return
	}

	c.asking.reads = append(c.asking.reads, localRead{id: ev.ID, until: ev.Deadline})
}

// flushReads asks for the reads that came since the last ask was answered, and
// hands out those that are ready. One ask is under way at a time.
func (c *Core) flushReads() {
	pending, unasked := false, false

	for _, r := range c.asking.reads {
		pending = pending || (r.ask != 0 && !r.answered)
		unasked = unasked || r.ask == 0
	}

	if unasked && !pending {
		c.askLeader()
	}
}

// askLeader asks the leader, which may be this replica, for all reads that wait.
func (c *Core) askLeader() {
	c.asking.againAt = c.now.Add(2 * c.cfg.HeartbeatInterval)

	if c.leader == "" {
		return
	}

	c.asking.last++

	for i := range c.asking.reads {
		if r := &c.asking.reads[i]; r.ask == 0 {
			r.ask = c.asking.last
		}
	}

	if c.state == leader {
		c.lead.waiting = append(c.lead.waiting, leaderRead{ask: c.asking.last})

		return
	}

	m, _ := c.ruling().Find(c.leader)
	c.out.SendNow = append(c.out.SendNow, c.send(c.leader, m.Birth, c.hard.Term, ReadIndex{Seq: c.asking.last}))
}

// tickReads gives up reads whose callers have, and asks again for the others.
func (c *Core) tickReads() {
	kept := c.asking.reads[:0]

	for _, r := range c.asking.reads {
		if !r.until.IsZero() && c.now.After(r.until) {
			c.out.Reads = append(c.out.Reads, ReadDone{ID: r.id, Failed: true})

			continue
		}

		kept = append(kept, r)
	}

	c.asking.reads = kept

	switch {
	case len(kept) == 0:
		c.asking.againAt = time.Time{}
	case !c.now.Before(c.asking.againAt):
		c.askLeader()
	}
}

// read takes in the ask of another replica.
func (c *Core) read(m Message, body ReadIndex) {
	if c.state != leader {
		return
	}

	for i := range c.lead.waiting {
		if w := &c.lead.waiting[i]; w.asker.From == m.From {
			w.ask = max(w.ask, body.Seq)

			return
		}
	}

	c.lead.waiting = append(c.lead.waiting, leaderRead{ask: body.Seq, asker: Message{From: m.From, FromCreationID: m.FromCreationID}})
}

// startRound begins a quorum round for waiting reads, unless one is under way.
// A leader that was replaced without noticing gets no majority for a round that
// began after the ask, so it can never pass off old state as current.
func (c *Core) startRound() {
	if c.lead != nil && len(c.lead.waiting) > 0 && len(c.lead.inRound) == 0 && c.commit >= c.lead.first {
		c.beginRound()
	}
}

// roundReads puts the waiting reads into the round that begins.
func (c *Core) roundReads() {
	l := c.lead
	if c.commit < l.first || len(l.inRound) > 0 {
		return
	}

	for _, r := range l.waiting {
		r.index = c.commit
		l.inRound = append(l.inRound, r)
	}

	l.waiting = nil
	l.confirming = l.present()
}

// confirmReads answers the reads in the round once a majority has answered it.
func (c *Core) confirmReads() {
	l := c.lead
	if l == nil || len(l.inRound) == 0 {
		return
	}

	if c.countVoters(func(p *progress) bool { return p.round >= l.confirming }) < c.ruling().Quorum() {
		return
	}

	done := l.inRound
	l.inRound = nil

	for _, r := range done {
		answer := ReadIndexAnswer{Seq: r.ask, Index: r.index}
		if r.asker.From == "" {
			c.readAnswer(answer)

			continue
		}

		c.out.SendNow = append(c.out.SendNow, c.send(r.asker.From, r.asker.FromCreationID, c.hard.Term, answer))
	}
}

func (c *Core) readAnswer(body ReadIndexAnswer) {
	if body.Seq > c.asking.last {
		return
	}

	for i := range c.asking.reads {
		r := &c.asking.reads[i]
		if r.ask != 0 && r.ask <= body.Seq && !r.answered {
			r.answered = true
			r.index = body.Index
		}
	}
}

// releaseReads hands out the reads whose index is committed here.
func (c *Core) releaseReads() {
	kept := c.asking.reads[:0]

	for _, r := range c.asking.reads {
		if r.answered && r.index <= c.commit {
			c.out.Reads = append(c.out.Reads, ReadDone{ID: r.id, Index: r.index})

			continue
		}

		kept = append(kept, r)
	}

	c.asking.reads = kept

	if len(kept) == 0 {
		c.asking.againAt = time.Time{}
	}
}
