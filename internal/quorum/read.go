package quorum

import "time"

// localReads holds the reads requested on this replica.
type localReads struct {
	lastSeq uint64 // starts at a random number, so that answers to requests of a previous run don't match
	pending []localRead
	retryAt time.Time // zero if there are no reads
}

// localRead is a read of one caller. An answer with a sequence number of at least seq was
// confirmed after the caller's request, however late the answer arrives.
type localRead struct {
	id       uint64
	deadline time.Time
	seq      uint64 // 0 if not sent to the leader yet
	answered bool
	index    uint64
}

// leaderRead is a read index request that the leader has to answer.
type leaderRead struct {
	seq       uint64
	requester Message // From is empty if the request comes from this replica
	index     uint64
}

func (c *Core) handleReadRequested(ev ReadRequested) {
	if len(c.localReads.pending) >= maxPendingReads {
		c.out.Reads = append(c.out.Reads, ReadDone{ID: ev.ID, Failed: true})

		return
	}

	c.localReads.pending = append(c.localReads.pending, localRead{id: ev.ID, deadline: ev.Deadline})
}

// requestPendingReads sends a request for the reads that arrived since the previous one,
// unless that one is still unanswered. At most one request is in flight.
func (c *Core) requestPendingReads() {
	inFlight, unsent := false, false

	for _, r := range c.localReads.pending {
		inFlight = inFlight || (r.seq != 0 && !r.answered)
		unsent = unsent || r.seq == 0
	}

	if unsent && !inFlight {
		c.requestReadIndex()
	}
}

// requestReadIndex asks the leader, which may be this replica, for a read index for all
// unsent reads.
func (c *Core) requestReadIndex() {
	c.localReads.retryAt = c.now.Add(2 * c.cfg.HeartbeatInterval)

	if c.leaderID == "" {
		return
	}

	c.localReads.lastSeq++

	for i := range c.localReads.pending {
		if r := &c.localReads.pending[i]; r.seq == 0 {
			r.seq = c.localReads.lastSeq
		}
	}

	if c.state == leader {
		c.leaderState.waitingReads = append(c.leaderState.waitingReads, leaderRead{seq: c.localReads.lastSeq})

		return
	}

	m, _ := c.currentMembers().Find(c.leaderID)
	c.out.SendNow = append(c.out.SendNow, c.newMessage(c.leaderID, m.Birth, c.hardState.Term, ReadIndex{Seq: c.localReads.lastSeq}))
}

// tickReads fails the reads whose deadline has passed and repeats the request for the
// others.
func (c *Core) tickReads() {
	kept := c.localReads.pending[:0]

	for _, r := range c.localReads.pending {
		if !r.deadline.IsZero() && c.now.After(r.deadline) {
			c.out.Reads = append(c.out.Reads, ReadDone{ID: r.id, Failed: true})

			continue
		}

		kept = append(kept, r)
	}

	c.localReads.pending = kept

	switch {
	case len(kept) == 0:
		c.localReads.retryAt = time.Time{}
	case !c.now.Before(c.localReads.retryAt):
		c.requestReadIndex()
	}
}

// handleReadIndex queues the read index request of another replica.
func (c *Core) handleReadIndex(m Message, body ReadIndex) {
	if c.state != leader {
		return
	}

	for i := range c.leaderState.waitingReads {
		if w := &c.leaderState.waitingReads[i]; w.requester.From == m.From {
			w.seq = max(w.seq, body.Seq)

			return
		}
	}

	c.leaderState.waitingReads = append(c.leaderState.waitingReads, leaderRead{seq: body.Seq, requester: Message{From: m.From, FromCreationID: m.FromCreationID}})
}

// startReadRound begins a round for waiting reads, unless one is in progress. A leader
// that was replaced without noticing can't get a majority of answers to a round that began
// after the request, so it never returns stale state.
func (c *Core) startReadRound() {
	if c.leaderState != nil && len(c.leaderState.waitingReads) > 0 && len(c.leaderState.readsInRound) == 0 && c.commit >= c.leaderState.firstIndex {
		c.beginRound()
	}
}

// addReadsToRound assigns the waiting reads to the round that begins.
func (c *Core) addReadsToRound() {
	l := c.leaderState
	if c.commit < l.firstIndex || len(l.readsInRound) > 0 {
		return
	}

	for _, r := range l.waitingReads {
		r.index = c.commit
		l.readsInRound = append(l.readsInRound, r)
	}

	l.waitingReads = nil
	l.readRound = l.currentRound()
}

// confirmReads answers the reads of the round once a majority has answered the round.
func (c *Core) confirmReads() {
	l := c.leaderState
	if l == nil || len(l.readsInRound) == 0 {
		return
	}

	if c.countVoters(func(p *progress) bool { return p.round >= l.readRound }) < c.currentMembers().Quorum() {
		return
	}

	confirmed := l.readsInRound
	l.readsInRound = nil

	for _, r := range confirmed {
		answer := ReadIndexAnswer{Seq: r.seq, Index: r.index}
		if r.requester.From == "" {
			c.handleReadIndexAnswer(answer)

			continue
		}

		c.out.SendNow = append(c.out.SendNow, c.newMessage(r.requester.From, r.requester.FromCreationID, c.hardState.Term, answer))
	}
}

func (c *Core) handleReadIndexAnswer(body ReadIndexAnswer) {
	if body.Seq > c.localReads.lastSeq {
		return
	}

	for i := range c.localReads.pending {
		r := &c.localReads.pending[i]
		if r.seq != 0 && r.seq <= body.Seq && !r.answered {
			r.answered = true
			r.index = body.Index
		}
	}
}

// completeReads returns the reads whose read index is committed on this replica.
func (c *Core) completeReads() {
	kept := c.localReads.pending[:0]

	for _, r := range c.localReads.pending {
		if r.answered && r.index <= c.commit {
			c.out.Reads = append(c.out.Reads, ReadDone{ID: r.id, Index: r.index})

			continue
		}

		kept = append(kept, r)
	}

	c.localReads.pending = kept

	if len(kept) == 0 {
		c.localReads.retryAt = time.Time{}
	}
}
