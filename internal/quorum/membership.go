package quorum

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// checking is a change that waits until enough members have shown, since it was
// asked for, that the group can go on after it.
type checking struct {
	ev    ChangeRequested
	next  Members
	round uint64
	until time.Time
}

// change takes in one change of the members. They change one at a time, through
// the log, so that any two majorities share a voter.
func (c *Core) change(ev ChangeRequested) {
	next, reason := c.changed(ev)
	if reason != ReasonNone {
		c.notRun(ev.ID, reason)

		return
	}

	if ev.Kind == AddLearner {
		c.changeTo(ev.ID, next)

		return
	}

	c.beginRound()
	c.lead.checking = &checking{
		ev: ev, next: next, round: c.lead.present(), until: c.now.Add(c.cfg.ElectionTimeout / 2),
	}
	c.check()
}

func (c *Core) changeTo(id uint64, next Members) {
	c.addEntry(Entry{Kind: EntryMembers, Members: next})
	c.lead.pending = append(c.lead.pending, proposal{index: c.log.last(), id: id})
}

// check carries out the change that waits once a majority of the voters after it
// has answered a round begun after it was asked for. Without this, a voter lost
// a second ago would count, and taking out another one would leave the group
// unable to decide anything, for good. A promoted learner has to hold the whole
// log by then: as a voter without it, it would count for majorities that hold
// committed entries in fewer places than it seems.
func (c *Core) check() {
	if c.lead == nil || c.lead.checking == nil {
		return
	}

	k := c.lead.checking
	ready := c.countAnswered(k) >= k.next.Quorum()
	reason := ReasonTooFewCurrentVoters

	if k.ev.Kind == Promote && !c.hasAnswered(c.lead.peers[k.ev.Member.ID], k.round) {
		ready, reason = false, ReasonMemberBehind
	}

	switch {
	case ready && k.ev.Kind == CheckStop:
		c.lead.checking = nil
		c.out.Answers = append(c.out.Answers, Answer{ID: k.ev.ID, Verdict: verdict.Ran})
	case ready:
		c.lead.checking = nil
		c.changeTo(k.ev.ID, c.withBirth(k))
	case !c.now.Before(k.until):
		c.lead.checking = nil
		c.notRun(k.ev.ID, reason)
	}
}

// countAnswered counts the voters that have shown, since k was asked for, that
// they hold what is committed.
func (c *Core) countAnswered(k *checking) int {
	n := 0

	for _, m := range k.next {
		stopping := k.ev.Kind == CheckStop && m.ID == k.ev.Member.ID
		if m.Role == Voter && !stopping && (m.ID == c.cfg.ID || c.hasAnswered(c.lead.peers[m.ID], k.round)) {
			n++
		}
	}

	return n
}

// withBirth returns the members after k. A promoted learner is from then on
// known by the data folder that holds the log.
func (c *Core) withBirth(k *checking) Members {
	if k.ev.Kind != Promote {
		return k.next
	}

	m, _ := k.next.Find(k.ev.Member.ID)
	m.Birth = c.lead.peers[m.ID].birth

	return k.next.With(m)
}

// hasAnswered reports whether p answered the round n, or a later one, and holds
// all that was committed when that began.
func (c *Core) hasAnswered(p *progress, n uint64) bool {
	return p.round >= n && p.match >= c.lead.commitAt(n)
}

func (c *Core) changed(ev ChangeRequested) (Members, Reason) {
	if c.state != leader {
		return nil, ReasonNotLeader
	}

	if c.lead.handover != nil {
		return nil, ReasonTransferring
	}

	// The entry that opened the term must be committed too: else two leaders
	// could each have changed the members by one, and so by two between them.
	if c.members[len(c.members)-1].Index > c.commit || c.commit < c.lead.first || c.lead.checking != nil {
		return nil, ReasonMembersChanging
	}

	m, ok := c.ruling().Find(ev.Member.ID)

	switch {
	case ev.Kind == AddLearner:
		return c.addLearner(ev.Member)
	case !ok:
		return nil, ReasonMemberUnknown
	case ev.Kind == CheckStop:
		return c.ruling(), ReasonNone
	case ev.Kind == Remove && m.ID == c.cfg.ID:
		return nil, ReasonLeaderMustTransferFirst
	case ev.Kind == Remove:
		return c.ruling().Without(m.ID), ReasonNone
	case m.Role == Voter:
		return nil, ReasonMemberExists
	}

	m.Role = Voter

	return c.ruling().With(m), ReasonNone
}

func (c *Core) addLearner(m Member) (Members, Reason) {
	if _, ok := c.ruling().Find(m.ID); ok || m.ID == "" {
		return nil, ReasonMemberExists
	}

	if !m.Addr.IsValid() {
		return nil, ReasonBadAddress
	}

	return c.ruling().With(Member{ID: m.ID, Addr: m.Addr, Role: Learner}), ReasonNone
}

// isUpToDate reports whether p lately held all that was committed when it was asked.
func (c *Core) isUpToDate(p *progress) bool {
	return c.now.Before(p.currentUntil)
}

// transfer starts to hand over leadership.
func (c *Core) transfer(ev TransferRequested) {
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
		c.notRun(ev.ID, ReasonMemberUnknown)
	case p.member.Role != Voter || !c.isUpToDate(p):
		c.notRun(ev.ID, ReasonMemberBehind)
	default:
		c.lead.handover = &handover{id: ev.ID, to: to, until: c.now.Add(c.cfg.ElectionTimeout)}
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
