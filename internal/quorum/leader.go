package quorum

import (
	"math"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// leaderState is the state of a leader. It is discarded at the end of the leader's term.
type leaderState struct {
	firstIndex  uint64 // index of the entry that started the term
	heartbeatAt time.Time
	// checkAt is when timeouts and the quorum are checked next. Rounds for reads put heartbeatAt off, not this.
	checkAt          time.Time
	peers            map[string]*progress
	rounds           []round // consecutive numbers; the last one is the current round
	pendingProposals []proposal
	waitingReads     []leaderRead // not assigned to a round yet
	readsInRound     []leaderRead
	readRound        uint64 // number of the round that confirms readsInRound
	transfer         *leaderTransfer
	pendingChange    *pendingChange
	hasUnsentEntries bool // entries were added since the previous Take
}

// progress is the replication state of another member, as known to the leader.
type progress struct {
	member        Member
	creationID    uint64 // of the member's data folder, from its latest answer
	match         uint64
	next          uint64
	round         uint64
	probing       bool // at most one Append with entries is in flight until one is accepted
	probeInFlight bool
	// activeUntil and upToDateUntil count from the start of the round that the member
	// answered. Answers that were delayed for long therefore don't extend them.
	activeUntil      time.Time
	upToDateUntil    time.Time
	outgoingSnapshot *outgoingSnapshot
	// answeredAt is the start of the last round that the member answered, silent whether the member led before this
	// replica and has answered none. Both are for Status only.
	answeredAt time.Time
	silent     bool
}

// proposal is an entry whose outcome a caller on this replica waits for.
type proposal struct {
	index uint64
	id    uint64
}

// leaderTransfer is a leadership transfer in progress.
type leaderTransfer struct {
	id       uint64
	to       string
	deadline time.Time
}

func newLeaderState(c *Core) *leaderState {
	l := &leaderState{firstIndex: c.log.last() + 1, heartbeatAt: c.now, checkAt: c.now, peers: map[string]*progress{}}
	l.rounds = []round{{number: 1, sent: c.now, commit: c.commit}}

	return l
}

// setPeers updates the peers to the current members.
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
			p.answeredAt = c.now

			if m.ID == c.silentLeaderID {
				p.silent = true
				p.answeredAt = c.leaderLeaseUntil.Add(-c.cfg.ElectionTimeout)
			}
		}

		p.member = m
		c.leaderState.peers[m.ID] = p
	}
}

// sortedPeers returns the peers sorted by ID. The fixed order makes simulations
// repeatable.
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

	l := c.leaderState
	if c.now.Before(l.heartbeatAt) && c.now.Before(l.checkAt) {
		return
	}

	l.checkAt = c.now.Add(c.cfg.HeartbeatInterval)

	// A leader that receives no answers from a majority steps down because it can't commit
	// anything. If it remained leader, its heartbeats would keep reachable followers from
	// starting an election. This also holds for a link that only works in the direction
	// from the leader.
	if c.countVoters(func(p *progress) bool { return c.now.Before(p.activeUntil) }) < c.currentMembers().Quorum() {
		c.becomeFollower(c.hardState.Term)

		return
	}

	if !c.now.Before(l.heartbeatAt) {
		c.beginRound()
	}

	c.sendTimeoutNow()
}

// countVoters counts this replica and the other voters for which ok returns true.
func (c *Core) countVoters(ok func(*progress) bool) int {
	n := 0

	for _, m := range c.currentMembers() {
		if m.Role == Voter && (m.ID == c.cfg.ID || ok(c.leaderState.peers[m.ID])) {
			n++
		}
	}

	return n
}

// progressOf returns the progress of the sender of m. A learner that lost its disk before
// its promotion answers with another creation ID. Its progress starts again, because the
// entries on the lost disk must not count.
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

// handleProposed appends a proposed command to the leader's log.
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
	case ev.AsOf != 0 && c.isSuperseded(ev):
		c.answerNotRun(ev.ID, ReasonSuperseded)
	default:
		c.addEntry(Entry{Kind: EntryCommand, Command: ev.Command})
		c.leaderState.pendingProposals = append(c.leaderState.pendingProposals, proposal{index: c.log.last(), id: ev.ID})
	}
}

// isSuperseded reports whether the log may hold a command after ev.AsOf that conflicts with the
// proposed one. Entries that are not committed yet count as well: a later leader may commit them.
func (c *Core) isSuperseded(ev Proposed) bool {
	if ev.AsOf < c.log.base || ev.AsOf > c.log.last() {
		return true
	}

	for _, e := range c.log.entriesFrom(ev.AsOf+1, int(c.log.last()-ev.AsOf), math.MaxInt) {
		if e.Kind == EntryCommand && c.cfg.Conflicts(e.Command, ev.Command) {
			return true
		}
	}

	return false
}

// addEntry appends e to the leader's log. The next Take sends it.
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

// advanceCommit commits the entries that a majority has synced. Entries of earlier terms
// are only committed together with an entry of the current term: a later leader may still
// replace an entry of an earlier term that a majority holds.
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

// commitTo commits the entries up to n and passes them on to be applied.
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

// endLeadership answers the requests that are pending on this leader. The next leader may
// still commit their entries, so pending proposals get the verdict MayHaveRun and not
// NotRun.
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
