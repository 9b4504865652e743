package quorum

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// leaderState is what a leader knows, for one term only.
type leaderState struct {
	firstIndex       uint64 // the entry that opened the term
	heartbeatAt      time.Time
	peers            map[string]*progress
	rounds           []round // the last one is the present one; numbers follow each other
	pendingProposals []proposal
	waitingReads     []leaderRead // asked, in no round yet
	readsInRound     []leaderRead
	readRound        uint64 // the round of inRound
	transfer         *leaderTransfer
	pendingChange    *pendingChange
	hasUnsentEntries bool // entries were added since the last Take
}

// progress is what a leader knows of another member.
type progress struct {
	member        Member
	creationID    uint64 // as last heard
	match         uint64
	next          uint64
	round         uint64
	probing       bool // one Append at a time until one is accepted
	probeInFlight bool
	// activeUntil and currentUntil are counted from when the round was sent that
	// the member answered, so that answers that were under way for long do not count.
	activeUntil      time.Time
	upToDateUntil    time.Time
	outgoingSnapshot *outgoingSnapshot
}

// proposal is an entry that someone here waits for.
type proposal struct {
	index uint64
	id    uint64
}

// leaderTransfer is a leadership transfer under way.
type leaderTransfer struct {
	id       uint64
	to       string
	deadline time.Time
}

func newLeaderState(c *Core) *leaderState {
	l := &leaderState{firstIndex: c.log.last() + 1, heartbeatAt: c.now, peers: map[string]*progress{}}
	l.rounds = []round{{number: 1, sent: c.now, commit: c.commit}}

	return l
}

// setPeers follows a change of the members.
func (c *Core) setPeers() {
	old := c.leaderState.peers
	c.leaderState.peers = map[string]*progress{}

	for _, m := range c.currentMembers() {
		if m.ID == c.cfg.ID {
			continue
		}

		p := old[m.ID]
		if p == nil {
			p = &progress{next: c.log.last() + 1, probing: true, activeUntil: c.now.Add(c.cfg.ElectionTimeout)}
		}

		p.member = m
		c.leaderState.peers[m.ID] = p
	}
}

// sortedPeers returns the peers in the order of their IDs, so that runs repeat.
func (c *Core) sortedPeers() []*progress {
	var out []*progress

	for _, m := range c.currentMembers() {
		if p := c.leaderState.peers[m.ID]; p != nil {
			out = append(out, p)
		}
	}

	return out
}

func (c *Core) tickLeader() {
	if transfer := c.leaderState.transfer; transfer != nil && !c.now.Before(transfer.deadline) {
		c.leaderState.transfer = nil
		c.answerNotRun(transfer.id, ReasonTimeout)
	}

	c.checkPendingChange()

	if c.now.Before(c.leaderState.heartbeatAt) {
		return
	}

	// A leader that no majority answers gives up: it cannot commit anything, and
	// while it stands, its followers on the near side of a partition, or behind a
	// link that carries only its own heartbeats, would not look for another.
	if c.countVoters(func(p *progress) bool { return c.now.Before(p.activeUntil) }) < c.currentMembers().Quorum() {
		c.becomeFollower(c.hardState.Term)

		return
	}

	c.beginRound()
	c.sendTimeoutNow()
}

// countVoters counts this replica and the other voters for which ok holds.
func (c *Core) countVoters(ok func(*progress) bool) int {
	n := 0

	for _, m := range c.currentMembers() {
		if m.Role == Voter && (m.ID == c.cfg.ID || ok(c.leaderState.peers[m.ID])) {
			n++
		}
	}

	return n
}

// progressOf returns the progress of the sender of m. A learner that lost its disk
// before it was promoted answers with another birth: what the former one held
// must not count for it.
func (c *Core) progressOf(m Message) *progress {
	p := c.leaderState.peers[m.From]
	if p == nil {
		return nil
	}

	if p.creationID != 0 && p.creationID != m.FromCreationID {
		*p = progress{member: p.member, next: c.log.last() + 1, probing: true}
	}

	p.creationID = m.FromCreationID

	return p
}

// handleProposed takes in a command.
func (c *Core) handleProposed(ev Proposed) {
	switch {
	case c.state != leader:
		c.answerNotRun(ev.ID, ReasonNotLeader)
	case c.leaderState.transfer != nil:
		c.answerNotRun(ev.ID, ReasonTransferring)
	case len(c.leaderState.pendingProposals) >= maxPendingProposals:
		c.answerNotRun(ev.ID, ReasonTooManyInFlight)
	case len(ev.Command) > MaxCommandBytes:
		c.answerNotRun(ev.ID, ReasonTooLarge)
	default:
		c.addEntry(Entry{Kind: EntryCommand, Command: ev.Command})
		c.leaderState.pendingProposals = append(c.leaderState.pendingProposals, proposal{index: c.log.last(), id: ev.ID})
	}
}

// addEntry adds e to the leader's log. Take sends it.
func (c *Core) addEntry(e Entry) {
	e.Index = c.log.last() + 1
	e.Term = c.hardState.Term
	c.log.add(e)

	if e.Kind == EntryMembers {
		c.members = append(c.members, membersAt{Index: e.Index, Members: e.Members})
		c.setPeers()
	}

	c.leaderState.hasUnsentEntries = true
}

// advanceCommit commits what a majority has synced. Entries of earlier terms
// are committed only through one of this term: a majority may hold such an
// entry and a later leader still replace it.
func (c *Core) advanceCommit() {
	var matches []uint64

	for _, m := range c.currentMembers() {
		switch {
		case m.Role != Voter:
		case m.ID == c.cfg.ID:
			matches = append(matches, c.stable)
		default:
			matches = append(matches, c.leaderState.peers[m.ID].match)
		}
	}

	slices.Sort(matches)
	n := matches[len(matches)-c.currentMembers().Quorum()]

	if t, ok := c.log.term(n); !ok || t != c.hardState.Term || n <= c.commit {
		return
	}

	c.commitTo(n)

	for _, p := range c.sortedPeers() {
		if p.outgoingSnapshot == nil && c.now.Before(p.activeUntil) {
			c.sendAppend(p, true)
		}
	}
}

// commitTo hands out the entries up to n to be applied.
func (c *Core) commitTo(n uint64) {
	for _, e := range c.log.entriesFrom(c.commit+1, int(n-c.commit), 1<<62) {
		if e.Index > n {
			break
		}

		committed := Committed{Entry: e}

		if c.leaderState != nil && len(c.leaderState.pendingProposals) > 0 && c.leaderState.pendingProposals[0].index == e.Index {
			committed.ProposalID = c.leaderState.pendingProposals[0].id
			c.leaderState.pendingProposals = c.leaderState.pendingProposals[1:]
		}

		c.out.Apply = append(c.out.Apply, committed)
	}

	c.commit = max(c.commit, n)
}

// endLeadership answers all who wait for this leader. Their entries may still
// be committed by the next one, so nobody may say that they did not run.
func (c *Core) endLeadership() {
	for _, p := range c.leaderState.pendingProposals {
		c.out.Answers = append(c.out.Answers, Answer{ID: p.id, Verdict: verdict.MayHaveRun, Reason: ReasonLeadershipLost})
	}

	if pending := c.leaderState.pendingChange; pending != nil {
		c.answerNotRun(pending.request.ID, ReasonNotLeader)
	}

	if transfer := c.leaderState.transfer; transfer != nil {
		c.out.Answers = append(c.out.Answers, Answer{ID: transfer.id, Verdict: verdict.Ran})
	}

	c.leaderState = nil
}

func (c *Core) answerNotRun(id uint64, reason Reason) {
	c.out.Answers = append(c.out.Answers, Answer{ID: id, Verdict: verdict.NotRun, Reason: reason})
}
