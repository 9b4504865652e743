package quorum

// campaign stands for election. With pre it only asks whether it would be
// elected: a replica that was cut off for long would else come back with a
// higher term and unseat a leader that serves everybody else.
func (c *Core) campaign(pre, transfer bool) {
	if !pre {
		c.hard = HardState{Term: c.hard.Term + 1, Vote: c.cfg.ID, VoteCreationID: c.cfg.CreationID}
		c.hardDirty = true
	}

	c.state = candidate
	if pre {
		c.state = preCandidate
	}

	c.leader = ""
	c.votes = map[string]bool{c.cfg.ID: true}
	c.resetElection()

	if pre && c.wins() {
		c.campaign(false, transfer)

		return
	}

	term := c.hard.Term
	if pre {
		term++
	}

	ask := Vote{Pre: pre, Transfer: transfer, LastIndex: c.log.last(), LastTerm: c.log.lastTerm()}

	for _, m := range c.ruling() {
		if m.ID != c.cfg.ID && m.Role == Voter {
			c.out.Send = append(c.out.Send, c.send(m.ID, m.Birth, term, ask))
		}
	}
}

// vote answers a candidate.
func (c *Core) vote(m Message, body Vote) {
	granted := c.isCurrent(body) && (body.Transfer || !c.hearsLeader())

	if body.Pre {
		if c.tellRemoved(m) {
			return
		}

		granted = granted && m.Term > c.hard.Term
		term := c.hard.Term

		if granted {
			term = m.Term
		}

		c.reply(m, term, VoteAnswer{Pre: true, Granted: granted})

		return
	}

	vote := HardState{Term: c.hard.Term, Vote: m.From, VoteCreationID: m.FromCreationID}
	granted = granted && (c.hard.Vote == "" || c.hard == vote)

	if granted {
		c.hard = vote
		c.hardDirty = true
		c.resetElection()
	}

	c.reply(m, c.hard.Term, VoteAnswer{Granted: granted})
}

// isCurrent reports whether a candidate's log holds all that this one may have
// acknowledged.
func (c *Core) isCurrent(body Vote) bool {
	if body.LastTerm != c.log.lastTerm() {
		return body.LastTerm > c.log.lastTerm()
	}

	return body.LastIndex >= c.log.last()
}

func (c *Core) voteAnswer(m Message, body VoteAnswer) {
	switch {
	case !body.Granted:
		return
	case body.Pre && (c.state != preCandidate || m.Term != c.hard.Term+1):
		return
	case !body.Pre && c.state != candidate:
		return
	}

	c.votes[m.From] = true

	switch {
	case !c.wins():
	case body.Pre:
		c.campaign(false, false)
	default:
		c.becomeLeader()
	}
}

// wins reports whether a majority of the voters has granted its vote.
func (c *Core) wins() bool {
	n := 0

	for _, m := range c.ruling() {
		if m.Role == Voter && c.votes[m.ID] {
			n++
		}
	}

	return n >= c.ruling().Quorum()
}

// becomeLeader opens the term with an entry that repeats the members. Only once
// it is committed are older entries, reads and changes of the members.
func (c *Core) becomeLeader() {
	c.state = leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.lead = newLeadership(c)
	c.setPeers()
	c.addEntry(Entry{Kind: EntryMembers, Members: c.ruling()})
	c.beginRound()
}
