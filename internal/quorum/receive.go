package quorum

// receive takes in one message.
func (c *Core) receive(m Message) {
	if !c.accepts(m) {
		return
	}

	switch body := m.Body.(type) {
	case Hello:
		c.hello(m)
	case HelloAnswer:
		c.helloAnswer(m, body)
	case ReadIndex:
		c.read(m, body)
	case ReadIndexAnswer:
		c.readAnswer(body)
	default:
		if c.forming == nil || isFromLeader(m) {
			c.receiveTermed(m)
		}
	}
}

// accepts guards against replicas that lost their disk and, with it, their
// votes: they answer under the same ID with another birth. Counting such a
// replica as the voter it was could elect a leader without committed entries.
// Who asks or leads is not compared: a member that lags behind may know it by
// the name only, and its own log made it a voter with the birth that it has.
func (c *Core) accepts(m Message) bool {
	if m.ToCreationID != 0 && m.ToCreationID != c.cfg.CreationID {
		c.misaddressed()

		return false
	}

	switch m.Body.(type) {
	case VoteAnswer, AppendAnswer, ChunkAnswer:
		known, ok := c.ruling().Find(m.From)

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

// receiveTermed takes in a message that belongs to a term.
func (c *Core) receiveTermed(m Message) {
	switch {
	case m.Term > c.hard.Term:
		if !c.enterTerm(m) {
			return
		}
	case m.Term < c.hard.Term:
		c.outdated(m)

		return
	}

	switch body := m.Body.(type) {
	case Vote:
		c.vote(m, body)
	case VoteAnswer:
		c.voteAnswer(m, body)
	case Append:
		c.followLeader(m)
		c.append(m, body)
	case AppendAnswer:
		c.appendAnswer(m, body)
	case Chunk:
		c.followLeader(m)
		c.chunk(m, body)
	case ChunkAnswer:
		c.chunkAnswer(m, body)
	case TimeoutNow:
		if c.ruling().isVoter(c.cfg.ID, c.cfg.CreationID) && m.From == c.leader {
			c.campaign(false, true)
		}
	}
}

// enterTerm takes over the higher term of m, and reports whether m still counts.
func (c *Core) enterTerm(m Message) bool {
	switch body := m.Body.(type) {
	case Vote:
		if body.Pre {
			return true
		}

		// A voter that cannot hear the leader must not unseat it while this
		// replica hears it well.
		if !body.Transfer && c.hearsLeader() {
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

// outdated answers a message of an earlier term, so that its sender learns the
// present one. Otherwise a leader that was replaced while it could not hear
// would go on for ever.
func (c *Core) outdated(m Message) {
	switch body := m.Body.(type) {
	case Vote:
		c.reply(m, c.hard.Term, VoteAnswer{Pre: body.Pre})
	case Append, Chunk:
		c.reply(m, c.hard.Term, AppendAnswer{Rejected: true, Index: c.commit})
	}
}

// followLeader notes that the leader of this term was heard from.
func (c *Core) followLeader(m Message) {
	if c.state != follower {
		c.becomeFollower(m.Term)
	}

	c.forming = nil
	c.leader = m.From
	c.leaderUntil = c.now.Add(c.cfg.ElectionTimeout)
	c.resetElection()
}

// becomeFollower gives up any office and enters term.
func (c *Core) becomeFollower(term uint64) {
	if c.lead != nil {
		c.loseLeadership()
	}

	c.state = follower
	c.leader = ""
	c.votes = nil

	if term > c.hard.Term {
		c.hard = HardState{Term: term}
		c.hardDirty = true
	}

	c.resetElection()
}

// hearsLeader reports whether a leader was heard from lately, or is this replica.
func (c *Core) hearsLeader() bool {
	return c.state == leader || (c.leader != "" && c.now.Before(c.leaderUntil))
}
