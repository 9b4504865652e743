package quorum

// receive processes one message.
func (c *Core) receive(m Message) {
	if !c.accepts(m) {
		return
	}

	switch body := m.Body.(type) {
	case Hello:
		c.handleHello(m)
	case HelloAnswer:
		c.handleHelloAnswer(m, body)
	case ReadIndex:
		c.handleReadIndex(m, body)
	case ReadIndexAnswer:
		c.handleReadIndexAnswer(body)
	default:
		if c.bootstrap == nil || isFromLeader(m) {
			c.receiveInTerm(m)
		}
	}
}

// accepts rejects answers of replicas that lost their disk and with it their votes. Such a
// replica answers under the same ID with another creation ID. Counting it as the previous
// voter could elect a leader that lacks committed entries. The creation IDs of candidates
// and leaders are not compared: a member that lags behind may only know the ID of such a
// replica, whose own log made it a voter with its current creation ID.
func (c *Core) accepts(m Message) bool {
	// A member that was removed while it was disconnected may know no other address of the group than that of a
	// replica that has lost its disk and joined again.
	if m.To != c.cfg.ID {
		if body, ok := m.Body.(Vote); ok && body.Pre {
			c.notifyRemoved(m)
		}

		return false
	}

	if m.ToCreationID != 0 && m.ToCreationID != c.cfg.CreationID {
		c.handleMisaddressed()

		return false
	}

	switch m.Body.(type) {
	case VoteAnswer, AppendAnswer, ChunkAnswer:
		known, ok := c.currentMembers().Find(m.From)

		return ok && (known.Birth == 0 || known.Birth == m.FromCreationID)
	default:
		return true
	}
}

func isFromLeader(m Message) bool {
	switch m.Body.(type) {
	case Append, Chunk:
		return true
	default:
		return false
	}
}

// receiveInTerm processes a message that carries a term.
func (c *Core) receiveInTerm(m Message) {
	switch {
	case m.Term > c.hardState.Term:
		if !c.enterTerm(m) {
			return
		}
	case m.Term < c.hardState.Term:
		c.replyToStaleMessage(m)

		return
	}

	switch body := m.Body.(type) {
	case Vote:
		c.handleVote(m, body)
	case VoteAnswer:
		c.handleVoteAnswer(m, body)
	case Append:
		c.followLeader(m)
		c.handleAppend(m, body)
	case AppendAnswer:
		c.handleAppendAnswer(m, body)
	case Chunk:
		c.followLeader(m)
		c.handleChunk(m, body)
	case ChunkAnswer:
		c.handleChunkAnswer(m, body)
	case TimeoutNow:
		if c.currentMembers().isVoter(c.cfg.ID, c.cfg.CreationID) && m.From == c.leaderID {
			c.campaign(false, true)
		}
	}
}

// enterTerm adopts the higher term of m. It reports whether m is to be processed.
func (c *Core) enterTerm(m Message) bool {
	switch body := m.Body.(type) {
	case Vote:
		if body.Pre {
			return true
		}

		// A voter that can't receive from the leader must not depose it while this replica
		// still receives its messages.
		if !body.Transfer && c.hasLeaderLease() {
			return false
		}
	case VoteAnswer:
		if body.Pre && body.Granted {
			return true
		}
	}

	c.becomeFollower(m.Term)

	return true
}

// replyToStaleMessage answers a message of an earlier term, so that its sender receives
// the current term. Otherwise a leader that was replaced while it received no messages
// would continue indefinitely.
func (c *Core) replyToStaleMessage(m Message) {
	switch body := m.Body.(type) {
	case Vote:
		if body.Pre {
			c.notifyRemoved(m)
		}

		c.reply(m, c.hardState.Term, VoteAnswer{Pre: body.Pre})
	case Append, Chunk:
		c.reply(m, c.hardState.Term, AppendAnswer{Rejected: true, Index: c.commit})
	}
}

// followLeader records that the leader of this term sent a message.
func (c *Core) followLeader(m Message) {
	if c.state != follower {
		c.becomeFollower(m.Term)
	}

	c.bootstrap = nil
	c.leaderID = m.From
	c.silentLeaderID = ""
	c.leaderLeaseUntil = c.now.Add(c.cfg.ElectionTimeout)
	c.resetElectionDeadline()
}

// becomeFollower ends a candidacy or leadership and enters the given term.
func (c *Core) becomeFollower(term uint64) {
	if c.leaderState != nil {
		c.endLeadership()
	}

	c.state = follower
	c.leaderID = ""
	c.votes = nil

	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
		c.hardDirty = true
	}

	c.resetElectionDeadline()
}

// hasLeaderLease reports whether this replica is the leader or recently received a message
// from the leader.
func (c *Core) hasLeaderLease() bool {
	return c.state == leader || (c.leaderID != "" && c.now.Before(c.leaderLeaseUntil))
}
