package quorum

// campaign starts an election. With preVote it only asks whether the other voters would
// grant their votes. Otherwise a replica that was disconnected for a long time would
// return with a higher term and depose a leader that the other replicas can reach.
func (c *Core) campaign(preVote, transfer bool) {
	if !preVote {
		c.hardState = HardState{Term: c.hardState.Term + 1, Vote: c.cfg.ID, VoteCreationID: c.cfg.CreationID}
		c.hardDirty = true
	}

	c.state = candidate
	if preVote {
		c.state = preCandidate
	}

	c.leaderID = ""
	c.votes = map[string]bool{c.cfg.ID: true}
	c.resetElectionDeadline()

	if preVote && c.hasVoteMajority() {
		c.campaign(false, transfer)

		return
	}

	term := c.hardState.Term
	if preVote {
		term++
	}

	request := Vote{Pre: preVote, Transfer: transfer, LastIndex: c.log.last(), LastTerm: c.log.lastTerm()}

	for _, m := range c.currentMembers() {
		if m.ID != c.cfg.ID && m.Role == Voter {
			c.out.Send = append(c.out.Send, c.newMessage(m.ID, m.Birth, term, request))
		}
	}
}

// handleVote answers the vote request of a candidate. The answer depends only on the terms and the
// logs: a candidate that this replica does not know may be a member that was added after the last
// entry that this replica has.
func (c *Core) handleVote(m Message, body Vote) {
	granted := c.isCandidateUpToDate(body) && (body.Transfer || !c.hasLeaderLease())

	if body.Pre {
		c.notifyRemoved(m)

		granted = granted && m.Term > c.hardState.Term
		term := c.hardState.Term

		if granted {
			term = m.Term
		}

		c.reply(m, term, VoteAnswer{Pre: true, Granted: granted})

		return
	}

	vote := HardState{Term: c.hardState.Term, Vote: m.From, VoteCreationID: m.FromCreationID}
	granted = granted && (c.hardState.Vote == "" || c.hardState == vote)

	if granted {
		c.hardState = vote
		c.hardDirty = true
		c.resetElectionDeadline()
	}

	c.reply(m, c.hardState.Term, VoteAnswer{Granted: granted})
}

// isCandidateUpToDate reports whether the candidate's log holds all entries that this
// replica may have acknowledged.
func (c *Core) isCandidateUpToDate(body Vote) bool {
	if body.LastTerm != c.log.lastTerm() {
		return body.LastTerm > c.log.lastTerm()
	}

	return body.LastIndex >= c.log.last()
}

func (c *Core) handleVoteAnswer(m Message, body VoteAnswer) {
	switch {
	case !body.Granted:
		return
	case body.Pre && (c.state != preCandidate || m.Term != c.hardState.Term+1):
		return
	case !body.Pre && c.state != candidate:
		return
	}

	c.votes[m.From] = true

	switch {
	case !c.hasVoteMajority():
	case body.Pre:
		c.campaign(false, false)
	default:
		c.becomeLeader()
	}
}

// hasVoteMajority reports whether a majority of the voters has granted its vote.
func (c *Core) hasVoteMajority() bool {
	n := 0

	for _, m := range c.currentMembers() {
		if m.Role == Voter && c.votes[m.ID] {
			n++
		}
	}

	return n >= c.currentMembers().Quorum()
}

// becomeLeader starts the term with an entry that repeats the current members. Older
// entries, reads and membership changes have to wait until this entry is committed.
func (c *Core) becomeLeader() {
	c.state = leader
	c.leaderID = c.cfg.ID
	c.votes = nil
	c.leaderState = newLeaderState(c)
	c.setPeers()
	c.addEntry(Entry{Kind: EntryMembers, Members: c.currentMembers()})
	c.beginRound()
}
