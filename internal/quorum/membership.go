package quorum

import "slices"

// change takes in one change of the members. They change one at a time, through
// the log, so that any two majorities share a voter.
func (c *Core) change(ev Changed) {
	next, reason := c.changed(ev)
	if reason != ReasonNone {
		c.notRun(ev.ID, reason)

		return
	}

	c.addEntry(Entry{Kind: EntryMembers, Members: next})
	c.lead.pending = append(c.lead.pending, proposal{index: c.log.last(), id: ev.ID})
}

func (c *Core) changed(ev Changed) (Members, Reason) {
	if c.state != leader {
		return nil, ReasonNotLeader
	}

	if c.lead.handover != nil {
		return nil, ReasonTransferring
	}

	// The entry that opened the term must be committed too: else two leaders
	// could each have changed the members by one, and so by two between them.
	if c.members[len(c.members)-1].Index > c.commit || c.commit < c.lead.first {
		return nil, ReasonBusy
	}

	switch ev.Kind {
	case AddLearner:
		return c.addLearner(ev.Member)
	case Promote:
		return c.promote(ev.Member.ID)
	default:
		return c.remove(ev.Member.ID)
	}
}

func (c *Core) addLearner(m Member) (Members, Reason) {
	if _, ok := c.ruling().Find(m.ID); ok || m.ID == "" {
		return nil, ReasonExists
	}

	if !m.Addr.IsValid() {
		return nil, ReasonBadAddr
	}

	return c.ruling().With(Member{ID: m.ID, Addr: m.Addr, Role: Learner}), ReasonNone
}

// promote makes a learner a voter, but only once it holds the whole log: a voter
// without it would count for a majority that then holds committed entries in
// fewer places than it seems, and the next loss would lose them.
func (c *Core) promote(id string) (Members, Reason) {
	m, ok := c.ruling().Find(id)
	if !ok {
		return nil, ReasonUnknown
	}

	if m.Role == Voter {
		return nil, ReasonExists
	}

	p := c.lead.peers[id]
	if p.birth == 0 || !c.now.Before(p.currentUntil) {
		return nil, ReasonBehind
	}

	m.Role = Voter
	m.Birth = p.birth

	return c.ruling().With(m), ReasonNone
}

// remove takes a member out, unless the voters that remain and are up to date
// would not be a majority.
func (c *Core) remove(id string) (Members, Reason) {
	if _, ok := c.ruling().Find(id); !ok {
		return nil, ReasonUnknown
	}

	if id == c.cfg.ID {
		return nil, ReasonSelf
	}

	next := c.ruling().Without(id)
	current := c.countVoters(func(p *progress) bool { return p.member.ID != id && c.isUpToDate(p) })

	if current < next.Quorum() {
		return nil, ReasonUnsafe
	}

	return next, ReasonNone
}

// isUpToDate reports whether p lately held all that was committed when it was asked.
func (c *Core) isUpToDate(p *progress) bool {
	return c.now.Before(p.currentUntil)
}

// transfer starts to hand over leadership.
func (c *Core) transfer(ev TransferAsked) {
	switch {
	case c.state != leader:
		c.notRun(ev.ID, ReasonNotLeader)

		return
	case c.lead.handover != nil:
		c.notRun(ev.ID, ReasonTransferring)

		return
	}

	to := ev.To
	if to == "" {
		to = c.successor()
	}

	p := c.lead.peers[to]

	switch {
	case p == nil:
		c.notRun(ev.ID, ReasonUnknown)
	case p.member.Role != Voter || !c.isUpToDate(p):
		c.notRun(ev.ID, ReasonBehind)
	default:
		c.lead.handover = &handover{id: ev.ID, to: to, until: c.now.Add(c.cfg.Election)}
		c.sendTimeoutNow()
	}
}

// successor returns the most up to date voter besides this one.
func (c *Core) successor() string {
	peers := slices.DeleteFunc(c.sortedPeers(), func(p *progress) bool {
		return p.member.Role != Voter || !c.isUpToDate(p)
	})
	if len(peers) == 0 {
		return ""
	}

	return slices.MaxFunc(peers, func(a, b *progress) int { return int(a.match) - int(b.match) }).member.ID
}

// sendTimeoutNow tells the successor to stand for election, once it holds the
// whole log. New proposals are refused meanwhile.
func (c *Core) sendTimeoutNow() {
	if c.lead == nil || c.lead.handover == nil {
		return
	}

	if p := c.lead.peers[c.lead.handover.to]; p != nil && p.match == c.log.last() {
		c.sendNow(p, TimeoutNow{})
	}
}
