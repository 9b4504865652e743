package quorum

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// leadership is what a leader knows, for one term only.
type leadership struct {
	first       uint64 // the entry that opened the term
	heartbeatAt time.Time
	peers       map[string]*progress
	rounds      []round // the last one is the present one; numbers follow each other
	pending     []proposal
	waiting     []leaderRead // asked, in no round yet
	inRound     []leaderRead
	confirming  uint64 // the round of inRound
	handover    *handover
	checking    *checking
	unsent      bool // entries were added since the last Take
}

// progress is what a leader knows of another member.
type progress struct {
	member  Member
	birth   uint64 // as last heard
	match   uint64
	next    uint64
	round   uint64
	probing bool // one Append at a time until one is accepted
	waiting bool
	// activeUntil and currentUntil are counted from when the round was sent that
	// the member answered, so that answers that were under way for long do not count.
	activeUntil  time.Time
	currentUntil time.Time
	outgoing     *outgoing
}

// proposal is an entry that someone here waits for.
type proposal struct {
	index uint64
	id    uint64
}

// handover is a leadership transfer under way.
type handover struct {
	id    uint64
	to    string
	until time.Time
}

func newLeadership(c *Core) *leadership {
	l := &leadership{first: c.log.last() + 1, heartbeatAt: c.now, peers: map[string]*progress{}}
	l.rounds = []round{{number: 1, sent: c.now, commit: c.commit}}

	return l
}

// setPeers follows a change of the members.
func (c *Core) setPeers() {
	old := c.lead.peers
	c.lead.peers = map[string]*progress{}

	for _, m := range c.ruling() {
		if m.ID == c.cfg.ID {
			continue
		}

		p := old[m.ID]
		if p == nil {
			p = &progress{next: c.log.last() + 1, probing: true, activeUntil: c.now.Add(c.cfg.ElectionTimeout)}
		}

		p.member = m
		c.lead.peers[m.ID] = p
	}
}

// sortedPeers returns the peers in the order of their IDs, so that runs repeat.
func (c *Core) sortedPeers() []*progress {
	var out []*progress

	for _, m := range c.ruling() {
		if p := c.lead.peers[m.ID]; p != nil {
			out = append(out, p)
		}
	}

	return out
}

func (c *Core) tickLeader() {
	if h := c.lead.handover; h != nil && !c.now.Before(h.until) {
		c.lead.handover = nil
		c.notRun(h.id, ReasonTimeout)
	}

	c.check()

	if c.now.Before(c.lead.heartbeatAt) {
		return
	}

	// A leader that no majority answers gives up: it cannot commit anything, and
	// while it stands, its followers on the near side of a partition, or behind a
	// link that carries only its own heartbeats, would not look for another.
	if c.countVoters(func(p *progress) bool { return c.now.Before(p.activeUntil) }) < c.ruling().Quorum() {
		c.becomeFollower(c.hard.Term)

		return
	}

	c.beginRound()
	c.sendTimeoutNow()
}

// countVoters counts this replica and the other voters for which ok holds.
func (c *Core) countVoters(ok func(*progress) bool) int {
	n := 0

	for _, m := range c.ruling() {
		if m.Role == Voter && (m.ID == c.cfg.ID || ok(c.lead.peers[m.ID])) {
			n++
		}
	}

	return n
}

// peerOf returns the progress of the sender of m. A learner that lost its disk
// before it was promoted answers with another birth: what the former one held
// must not count for it.
func (c *Core) peerOf(m Message) *progress {
	p := c.lead.peers[m.From]
	if p == nil {
		return nil
	}

	if p.birth != 0 && p.birth != m.FromCreationID {
		*p = progress{member: p.member, next: c.log.last() + 1, probing: true}
	}

	p.birth = m.FromCreationID

	return p
}

// propose takes in a command.
func (c *Core) propose(ev Proposed) {
	switch {
	case c.state != leader:
		c.notRun(ev.ID, ReasonNotLeader)
	case c.lead.handover != nil:
		c.notRun(ev.ID, ReasonTransferring)
	case len(c.lead.pending) >= maxPending:
		c.notRun(ev.ID, ReasonTooManyInFlight)
	case len(ev.Command) > MaxCommandBytes:
		c.notRun(ev.ID, ReasonTooLarge)
	default:
		c.addEntry(Entry{Kind: EntryCommand, Command: ev.Command})
		c.lead.pending = append(c.lead.pending, proposal{index: c.log.last(), id: ev.ID})
	}
}

// addEntry adds e to the leader's log. Take sends it.
func (c *Core) addEntry(e Entry) {
	e.Index = c.log.last() + 1
	e.Term = c.hard.Term
	c.log.add(e)

	if e.Kind == EntryMembers {
		c.members = append(c.members, membersAt{Index: e.Index, Members: e.Members})
		c.setPeers()
	}

	c.lead.unsent = true
}

// advanceCommit commits what a majority has synced. Entries of earlier terms
// are committed only through one of this term: a majority may hold such an
// entry and a later leader still replace it.
func (c *Core) advanceCommit() {
	var matches []uint64

	for _, m := range c.ruling() {
		switch {
		case m.Role != Voter:
		case m.ID == c.cfg.ID:
			matches = append(matches, c.stable)
		default:
			matches = append(matches, c.lead.peers[m.ID].match)
		}
	}

	slices.Sort(matches)
	n := matches[len(matches)-c.ruling().Quorum()]

	if t, ok := c.log.term(n); !ok || t != c.hard.Term || n <= c.commit {
		return
	}

	c.commitTo(n)

	for _, p := range c.sortedPeers() {
		if p.outgoing == nil && c.now.Before(p.activeUntil) {
			c.sendAppend(p, true)
		}
	}
}

// commitTo hands out the entries up to n to be applied.
func (c *Core) commitTo(n uint64) {
	for _, e := range c.log.from(c.commit+1, int(n-c.commit), 1<<62) {
		if e.Index > n {
			break
		}

		done := Committed{Entry: e}

		if c.lead != nil && len(c.lead.pending) > 0 && c.lead.pending[0].index == e.Index {
			done.ProposalID = c.lead.pending[0].id
			c.lead.pending = c.lead.pending[1:]
		}

		c.out.Apply = append(c.out.Apply, done)
	}

	c.commit = max(c.commit, n)
}

// loseLeadership answers all who wait for this leader. Their entries may still
// be committed by the next one, so nobody may say that they did not run.
func (c *Core) loseLeadership() {
	for _, p := range c.lead.pending {
		c.out.Answers = append(c.out.Answers, Answer{ID: p.id, Verdict: verdict.MayHaveRun, Reason: ReasonLeadershipLost})
	}

	if k := c.lead.checking; k != nil {
		c.notRun(k.ev.ID, ReasonNotLeader)
	}

	if h := c.lead.handover; h != nil {
		c.out.Answers = append(c.out.Answers, Answer{ID: h.id, Verdict: verdict.Ran})
	}

	c.lead = nil
}

func (c *Core) notRun(id uint64, reason Reason) {
	c.out.Answers = append(c.out.Answers, Answer{ID: id, Verdict: verdict.NotRun, Reason: reason})
}
