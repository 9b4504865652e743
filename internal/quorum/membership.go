package quorum

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// pendingChange is a membership change that waits until enough members have confirmed,
// after the request, that the group keeps a quorum after the change.
type pendingChange struct {
	request  ChangeRequested
	next     Members
	round    uint64
	deadline time.Time
}

// handleChangeRequested starts a membership change. Changes go through the log one at a
// time, so that the majorities before and after each change share a voter.
func (c *Core) handleChangeRequested(ev ChangeRequested) {
	next, reason := c.membersAfter(ev)
	if reason != ReasonNone {
		c.answerNotRun(ev.ID, reason)

		return
	}

	if ev.Kind == AddLearner {
		c.proposeMembers(ev.ID, next)

		return
	}

	c.beginRound()
	c.leaderState.pendingChange = &pendingChange{
		request: ev, next: next, round: c.leaderState.currentRound(), deadline: c.now.Add(c.cfg.ElectionTimeout / 2),
	}
	c.checkPendingChange()
}

func (c *Core) proposeMembers(id uint64, next Members) {
	c.addEntry(Entry{Kind: EntryMembers, Members: next})
	c.leaderState.pendingProposals = append(c.leaderState.pendingProposals, proposal{index: c.log.last(), id: id})
}

// checkPendingChange carries out the pending change once a majority of the new voters has
// answered a round that began after the request. Without this check, a voter that has just
// failed would still count, and removing another voter could leave the group without a
// quorum permanently. A learner to be promoted must have caught up with the entries
// committed when the round began. A voter without them would count towards a majority
// without holding the committed entries.
func (c *Core) checkPendingChange() {
	if c.leaderState == nil || c.leaderState.pendingChange == nil {
		return
	}

	pending := c.leaderState.pendingChange
	ready := c.countCaughtUp(pending) >= pending.next.Quorum()
	reason := ReasonTooFewCurrentVoters

	if pending.request.Kind == Promote && !c.hasCaughtUp(c.leaderState.peers[pending.request.Member.ID], pending.round) {
		ready, reason = false, ReasonMemberBehind
	}

	switch {
	case ready && pending.request.Kind == CheckStop:
		c.leaderState.pendingChange = nil
		c.out.Answers = append(c.out.Answers, Answer{ID: pending.request.ID, Verdict: verdict.Ran})
	case ready:
		c.leaderState.pendingChange = nil
		c.proposeMembers(pending.request.ID, c.withCreationID(pending))
	case !c.now.Before(pending.deadline):
		c.rejectPendingChange(reason)
	}
}

func (c *Core) rejectPendingChange(reason Reason) {
	if pending := c.leaderState.pendingChange; pending != nil {
		c.leaderState.pendingChange = nil
		c.answerNotRun(pending.request.ID, reason)
	}
}

// countCaughtUp counts the voters that have confirmed, after the change was requested,
// that they hold all committed entries.
func (c *Core) countCaughtUp(pending *pendingChange) int {
	n := 0

	for _, m := range pending.next {
		stopping := pending.request.Kind == CheckStop && m.ID == pending.request.Member.ID
		if m.Role == Voter && !stopping && (m.ID == c.cfg.ID || c.hasCaughtUp(c.leaderState.peers[m.ID], pending.round)) {
			n++
		}
	}

	return n
}

// withCreationID returns the members after the change. A promoted learner is recorded with
// the creation ID of the data folder that holds the log.
func (c *Core) withCreationID(pending *pendingChange) Members {
	if pending.request.Kind != Promote {
		return pending.next
	}

	m, _ := pending.next.Find(pending.request.Member.ID)
	m.Birth = c.leaderState.peers[m.ID].creationID

	return pending.next.With(m)
}

// hasCaughtUp reports whether p has answered the given round, or a later one, and holds
// all entries that were committed when that round began.
func (c *Core) hasCaughtUp(p *progress, roundNumber uint64) bool {
	return p.round >= roundNumber && p.match >= c.leaderState.roundCommit(roundNumber)
}

func (c *Core) membersAfter(ev ChangeRequested) (Members, Reason) {
	if c.state != leader {
		return nil, ReasonNotLeader
	}

	if c.leaderState.transfer != nil {
		return nil, ReasonTransferring
	}

	// The entry that started the term must be committed too. Otherwise two leaders could
	// each change one member, and the two resulting memberships could have majorities
	// without a common voter.
	if c.members[len(c.members)-1].Index > c.commit || c.commit < c.leaderState.firstIndex || c.leaderState.pendingChange != nil {
		return nil, ReasonMembersChanging
	}

	m, ok := c.currentMembers().Find(ev.Member.ID)

	switch {
	case ev.Kind == AddLearner:
		return c.addLearner(ev.Member)
	case !ok:
		return nil, ReasonMemberUnknown
	case ev.Kind == CheckStop:
		return c.currentMembers(), ReasonNone
	case ev.Kind == Remove && m.ID == c.cfg.ID:
		return nil, ReasonLeaderMustTransferFirst
	case ev.Kind == Remove:
		return c.currentMembers().Without(m.ID), ReasonNone
	case m.Role == Voter:
		return nil, ReasonMemberExists
	}

	m.Role = Voter

	return c.currentMembers().With(m), ReasonNone
}

func (c *Core) addLearner(m Member) (Members, Reason) {
	if _, ok := c.currentMembers().Find(m.ID); ok || m.ID == "" {
		return nil, ReasonMemberExists
	}

	if !m.Addr.IsValid() {
		return nil, ReasonBadAddress
	}

	return c.currentMembers().With(Member{ID: m.ID, Addr: m.Addr, Role: Learner}), ReasonNone
}

// isUpToDate reports whether p recently answered a round and held all entries that were
// committed when that round began.
func (c *Core) isUpToDate(p *progress) bool {
	return c.now.Before(p.upToDateUntil)
}

// handleTransferRequested starts a leadership transfer.
func (c *Core) handleTransferRequested(ev TransferRequested) {
	switch {
	case c.state != leader:
		c.answerNotRun(ev.ID, ReasonNotLeader)

		return
	case c.leaderState.transfer != nil:
		c.answerNotRun(ev.ID, ReasonTransferring)

		return
	}

	to := ev.To
	if to == "" {
		to = c.successor()
	}

	p := c.leaderState.peers[to]

	switch {
	case p == nil:
		c.answerNotRun(ev.ID, ReasonMemberUnknown)
	case p.member.Role != Voter || !c.isUpToDate(p):
		c.answerNotRun(ev.ID, ReasonMemberBehind)
	default:
		// The successor would lack the entry of a change that is carried out during the transfer, and not be elected.
		c.rejectPendingChange(ReasonTransferring)
		c.leaderState.transfer = &leaderTransfer{id: ev.ID, to: to, deadline: c.now.Add(c.cfg.ElectionTimeout)}
		c.sendTimeoutNow()
	}
}

// successor returns the ID of the most up-to-date voter besides this replica, or an empty
// string.
func (c *Core) successor() string {
	peers := slices.DeleteFunc(c.sortedPeers(), func(p *progress) bool {
		return p.member.Role != Voter || !c.isUpToDate(p)
	})
	if len(peers) == 0 {
		return ""
	}

	return slices.MaxFunc(peers, func(a, b *progress) int { return int(a.match) - int(b.match) }).member.ID
}

// sendTimeoutNow asks the successor to start an election once it holds the complete log.
// New proposals are rejected during the transfer.
func (c *Core) sendTimeoutNow() {
	if c.leaderState == nil || c.leaderState.transfer == nil {
		return
	}

	if p := c.leaderState.peers[c.leaderState.transfer.to]; p != nil && p.match == c.log.last() {
		c.sendNow(p, TimeoutNow{})
	}
}
