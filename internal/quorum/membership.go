package quorum

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// pendingChange is a change that waits until enough members have shown, since it was
// asked for, that the group can go on after it.
type pendingChange struct {
	request  ChangeRequested
	next     Members
	round    uint64
	deadline time.Time
}

// handleChangeRequested takes in one change of the members. They change one at a time, through
// the log, so that any two majorities share a voter.
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

// checkPendingChange carries out the change that waits once a majority of the voters after it
// has answered a round begun after it was asked for. Without this, a voter lost
// a second ago would count, and taking out another one would leave the group
// unable to decide anything, for good. A promoted learner has to hold the whole
// log by then: as a voter without it, it would count for majorities that hold
// committed entries in fewer places than it seems.
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
		c.leaderState.pendingChange = nil
		c.answerNotRun(pending.request.ID, reason)
	}
}

// countCaughtUp counts the voters that have shown, since k was asked for, that
// they hold what is committed.
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

// withCreationID returns the members after k. A promoted learner is from then on
// known by the data folder that holds the log.
func (c *Core) withCreationID(pending *pendingChange) Members {
	if pending.request.Kind != Promote {
		return pending.next
	}

	m, _ := pending.next.Find(pending.request.Member.ID)
	m.Birth = c.leaderState.peers[m.ID].creationID

	return pending.next.With(m)
}

// hasCaughtUp reports whether p answered the round n, or a later one, and holds
// all that was committed when that began.
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

	// The entry that opened the term must be committed too: else two leaders
	// could each have changed the members by one, and so by two between them.
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

// isUpToDate reports whether p lately held all that was committed when it was asked.
func (c *Core) isUpToDate(p *progress) bool {
	return c.now.Before(p.upToDateUntil)
}

// handleTransferRequested starts to hand over leadership.
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
		c.leaderState.transfer = &leaderTransfer{id: ev.ID, to: to, deadline: c.now.Add(c.cfg.ElectionTimeout)}
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
	if c.leaderState == nil || c.leaderState.transfer == nil {
		return
	}

	if p := c.leaderState.peers[c.leaderState.transfer.to]; p != nil && p.match == c.log.last() {
		c.sendNow(p, TimeoutNow{})
	}
}
