package quorum

// flush sends what was added since the last Take, as one Append to each member.
func (c *Core) flush() {
	if c.lead == nil || !c.lead.unsent {
		return
	}

	c.lead.unsent = false

	for _, p := range c.sortedPeers() {
		c.sendAppend(p, false)
	}
}

// sendAppend sends p what it lacks, within limits. Without anything to send it
// sends nothing, unless it is a heartbeat.
func (c *Core) sendAppend(p *progress, heartbeat bool) {
	if p.outgoing != nil || p.next <= c.log.base {
		c.sendSnapshot(p, heartbeat)

		return
	}

	var entries []Entry
	if !p.waiting && (p.probing || p.next-p.match <= maxInFlight) && c.now.Before(p.activeUntil) {
		entries = c.log.from(p.next, maxAppendEntries, c.cfg.AppendBytes)
	}

	if len(entries) == 0 && !heartbeat {
		return
	}

	prev := p.next - 1
	prevTerm, _ := c.log.term(prev)
	if p.probing {
		p.waiting = len(entries) > 0
	} else {
		p.next += uint64(len(entries))
	}

	c.sendNow(p, Append{
		PrevIndex: prev, PrevTerm: prevTerm, Commit: c.commit, Round: c.lead.present(), Entries: entries,
	})
}

func (c *Core) sendNow(p *progress, body Body) {
	c.out.SendNow = append(c.out.SendNow, c.send(p.member.ID, p.member.Birth, c.hard.Term, body))
}

// append takes in entries of the leader. It stops this replica where the leader
// contradicts a committed entry: then some replica has forgotten what it had
// acknowledged, and going on could only spread the damage.
func (c *Core) append(m Message, body Append) {
	for i, e := range body.Entries {
		if e.Index != body.PrevIndex+1+uint64(i) {
			return
		}
	}

	if body.PrevIndex < c.commit {
		// A late or doubled message: all that it holds up to commit is here.
		c.acknowledge(m, c.commit, body.Round)

		return
	}

	if t, ok := c.log.term(body.PrevIndex); !ok || t != body.PrevTerm {
		if body.PrevIndex == c.commit {
			c.fault = &ConflictError{Index: c.commit}

			return
		}

		c.reply(m, c.hard.Term, AppendAnswer{
			Rejected: true, Index: c.hint(body), PrevIndex: body.PrevIndex, Round: body.Round,
		})

		return
	}

	for i, e := range body.Entries {
		t, ok := c.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}

		if ok {
			c.truncate(e.Index)
		}

		c.adopt(body.Entries[i:])

		break
	}

	last := body.PrevIndex + uint64(len(body.Entries))
	if n := min(body.Commit, last); n > c.commit {
		c.commitTo(n)
	}

	c.acknowledge(m, last, body.Round)
}

func (c *Core) acknowledge(m Message, index, n uint64) {
	c.incoming = nil
	c.reply(m, c.hard.Term, AppendAnswer{Index: index, Round: n})
}

// adopt adds entries of the leader to this log.
func (c *Core) adopt(entries []Entry) {
	c.log.add(entries...)

	for _, e := range entries {
		if e.Kind == EntryMembers {
			c.members = append(c.members, membersAt{Index: e.Index, Members: e.Members})
		}
	}
}

// truncate drops the entries from index on, with the members that they set.
func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	c.stable = min(c.stable, index-1)

	for len(c.members) > 1 && c.members[len(c.members)-1].Index >= index {
		c.members = c.members[:len(c.members)-1]
	}
}

// hint returns where the logs may still agree: the last entry before PrevIndex
// of no later term than the leader's.
func (c *Core) hint(body Append) uint64 {
	i := min(body.PrevIndex-1, c.log.last())

	for i > c.commit {
		if t, _ := c.log.term(i); t <= body.PrevTerm {
			break
		}
		i--
	}

	return max(i, c.commit)
}

func (c *Core) appendAnswer(m Message, body AppendAnswer) {
	if c.state != leader {
		return
	}

	p := c.peerOf(m)
	if p == nil || body.Index > c.log.last() {
		return
	}

	if body.Rejected {
		c.answered(p, body.Round)
		c.retry(p, body)
		c.confirmReads()

		return
	}

	p.match = max(p.match, body.Index)
	p.next = max(p.next, p.match+1)
	p.probing = false
	p.waiting = false

	if p.outgoing != nil && p.match >= p.outgoing.snap.Index {
		p.outgoing = nil
	}

	c.answered(p, body.Round)
	c.advanceCommit()
	c.confirmReads()
	c.check()
	c.sendAppend(p, false)
	c.sendTimeoutNow()
}

// retry goes back to the entry after which p says that the logs may agree.
// Several Appends may have been under way, and answers may be late or doubled:
// only the one that answers the latest probe leads to another one.
func (c *Core) retry(p *progress, body AppendAnswer) {
	if body.PrevIndex <= p.match || (p.probing && body.PrevIndex != p.next-1) {
		return
	}

	p.next = min(max(p.match, body.Index)+1, p.next)
	p.probing = true
	p.waiting = false
	c.sendAppend(p, false)
}
