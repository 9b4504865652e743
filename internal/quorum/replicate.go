package quorum

// sendNewEntries sends the entries that were added since the previous Take, in one Append
// to each member.
func (c *Core) sendNewEntries() {
	if c.leaderState == nil || !c.leaderState.hasUnsentEntries {
		return
	}

	c.leaderState.hasUnsentEntries = false

	for _, p := range c.sortedPeers() {
		c.sendAppend(p, false)
	}
}

// sendAppend sends p the entries that it lacks, up to the limits. If there are none, it
// sends nothing, or an Append without entries if heartbeat is set.
func (c *Core) sendAppend(p *progress, heartbeat bool) {
	if p.outgoingSnapshot != nil || p.next <= c.log.base {
		c.sendSnapshot(p, heartbeat)

		return
	}

	var entries []Entry
	if !p.probeInFlight && (p.probing || p.next-p.match <= maxInFlightEntries) && c.now.Before(p.activeUntil) {
		entries = c.log.entriesFrom(p.next, maxAppendEntries, c.cfg.AppendBytes)
	}

	if len(entries) == 0 && !heartbeat {
		return
	}

	prev := p.next - 1
	prevTerm, _ := c.log.term(prev)
	if p.probing {
		p.probeInFlight = len(entries) > 0
	} else {
		p.next += uint64(len(entries))
	}

	c.sendNow(p, Append{
		PrevIndex: prev, PrevTerm: prevTerm, Commit: c.commit, Round: c.leaderState.currentRound(), Entries: entries,
	})
}

func (c *Core) sendNow(p *progress, body Body) {
	c.out.SendNow = append(c.out.SendNow, c.newMessage(p.member.ID, p.member.Birth, c.hardState.Term, body))
}

// handleAppend applies entries of the leader. If the leader's log conflicts with a
// committed entry, some replica has lost entries that it had acknowledged. This replica
// stops then, because continuing could only spread the damage.
func (c *Core) handleAppend(m Message, body Append) {
	for i, e := range body.Entries {
		if e.Index != body.PrevIndex+1+uint64(i) {
			return
		}
	}

	if body.PrevIndex < c.commit {
		// The message was delayed or duplicated. All its entries up to commit are already
		// in the log.
		c.acknowledge(m, c.commit, body.Round)

		return
	}

	if t, ok := c.log.term(body.PrevIndex); !ok || t != body.PrevTerm {
		if body.PrevIndex == c.commit {
			c.fault = &ConflictError{Index: c.commit}

			return
		}

		c.reply(m, c.hardState.Term, AppendAnswer{
			Rejected: true, Index: c.conflictHint(body), PrevIndex: body.PrevIndex, Round: body.Round,
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

		c.appendFromLeader(body.Entries[i:])

		break
	}

	last := body.PrevIndex + uint64(len(body.Entries))
	if n := min(body.Commit, last); n > c.commit {
		c.commitTo(n)
	}

	c.acknowledge(m, last, body.Round)
}

func (c *Core) acknowledge(m Message, index, roundNumber uint64) {
	c.incomingSnapshot = nil
	c.reply(m, c.hardState.Term, AppendAnswer{Index: index, Round: roundNumber})
}

// appendFromLeader appends entries of the leader to the log.
func (c *Core) appendFromLeader(entries []Entry) {
	c.log.add(entries...)

	for _, e := range entries {
		if e.Kind == EntryMembers {
			c.members = append(c.members, membersAt{Index: e.Index, Members: e.Members})
		}
	}
}

// truncate drops the entries from index on and the members that they set.
func (c *Core) truncate(index uint64) {
	c.log.truncate(index)
	c.stable = min(c.stable, index-1)

	for len(c.members) > 1 && c.members[len(c.members)-1].Index >= index {
		c.members = c.members[:len(c.members)-1]
	}
}

// conflictHint returns the index after which the leader should retry: the last entry
// before PrevIndex whose term is not later than PrevTerm.
func (c *Core) conflictHint(body Append) uint64 {
	i := min(body.PrevIndex-1, c.log.last())

	for i > c.commit {
		if t, _ := c.log.term(i); t <= body.PrevTerm {
			break
		}
		i--
	}

	return max(i, c.commit)
}

func (c *Core) handleAppendAnswer(m Message, body AppendAnswer) {
	if c.state != leader {
		return
	}

	p := c.progressOf(m)
	if p == nil || body.Index > c.log.last() {
		return
	}

	if body.Rejected {
		c.recordRoundAnswer(p, body.Round)
		c.retryAppend(p, body)
		c.confirmReads()

		return
	}

	p.match = max(p.match, body.Index)
	p.next = max(p.next, p.match+1)
	p.probing = false
	p.probeInFlight = false

	if p.outgoingSnapshot != nil && p.match >= p.outgoingSnapshot.snap.Index {
		p.outgoingSnapshot = nil
	}

	c.recordRoundAnswer(p, body.Round)
	c.advanceCommit()
	c.confirmReads()
	c.checkPendingChange()
	c.sendAppend(p, false)
	c.sendTimeoutNow()
}

// retryAppend goes back to the entry after which the logs may agree according to p.
// Several Appends may be in flight, and answers may be late or duplicated, so only the
// answer to the latest probe causes another probe.
func (c *Core) retryAppend(p *progress, body AppendAnswer) {
	if body.PrevIndex <= p.match || (p.probing && body.PrevIndex != p.next-1) {
		return
	}

	p.next = min(max(p.match, body.Index)+1, p.next)
	p.probing = true
	p.probeInFlight = false
	c.sendAppend(p, false)
}
