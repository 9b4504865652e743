// Package quorum is the consensus core of the replicated log: elections,
// replication, snapshots, membership and reads. It has no goroutine, reads no
// clock, file or socket: events and the time go in, a Batch of actions comes out.
package quorum

import (
	"errors"
	"time"
)

// state is what the core is doing.
type state uint8

const (
	follower state = iota
	preCandidate
	candidate
	leader
)

// String returns the name of s, as dumps show it.
func (s state) String() string {
	return [...]string{"Follower", "PreCandidate", "Candidate", "Leader"}[s]
}

// Core is one replica's part in the agreement.
type Core struct {
	cfg Config
	now time.Time

	hardState HardState
	log       entryLog
	members   []membersAt // oldest first; the last one rules, committed or not
	snap      Snapshot
	commit    uint64
	stable    uint64 // entries up to here are synced

	state            state
	leaderID         string
	leaderLeaseUntil time.Time // before this, a leader was heard from too lately to vote for another
	electionDeadline time.Time
	votes            map[string]bool

	bootstrap        *bootstrap
	leaderState      *leaderState
	incomingSnapshot *incomingSnapshot
	localReads       localReads

	hardDirty bool
	snapDirty bool
	fault     error
	out       Batch
}

// New returns a core that continues from stored.
func New(cfg Config, stored StoredState, now time.Time) (*Core, error) {
	setDefaults(&cfg)

	if cfg.ID == "" || cfg.CreationID == 0 || cfg.Rand == nil {
		return nil, errors.New("quorum: ID, Birth and Rand must be set")
	}

	c := &Core{cfg: cfg, now: now, hardState: stored.State, snap: stored.Snapshot}
	if err := c.load(stored); err != nil {
		return nil, err
	}

	c.localReads.lastSeq = uint64(cfg.Rand(1 << 62))
	c.resetInitialElectionDeadline()

	switch {
	case c.currentMembers().isVoter(cfg.ID, cfg.CreationID) && c.currentMembers().Voters() == 1:
		c.electionDeadline = now
	case len(c.currentMembers()) == 0 && len(cfg.Founders) > 0:
		c.startBootstrap()
	}

	return c, nil
}

func (c *Core) load(stored StoredState) error {
	c.members = []membersAt{{Index: c.snap.MembersIndex, Members: c.snap.Members}}
	c.commit = c.snap.Index
	c.log.reset(c.snap.Index, c.snap.Term)

	entries := stored.Entries
	if len(entries) > 0 && entries[0].Index <= c.snap.Index {
		c.log.reset(entries[0].Index, entries[0].Term)
		entries = entries[1:]
	}

	for _, e := range entries {
		if e.Index != c.log.last()+1 {
			return &GapError{After: c.log.last(), Index: e.Index}
		}

		c.log.add(e)

		if e.Kind == EntryMembers && e.Index > c.snap.Index {
			c.members = append(c.members, membersAt{Index: e.Index, Members: e.Members})
		}
	}

	if c.log.last() < c.snap.Index {
		return &GapError{After: c.log.last(), Index: c.snap.Index}
	}

	c.stable = c.log.last()

	if c.snap.Index > 0 {
		c.out.Restore = &c.snap
	}

	return nil
}

// Step takes in one event. What it leads to is fetched with Take.
func (c *Core) Step(now time.Time, ev Event) {
	if now.After(c.now) {
		c.now = now
	}

	if c.fault != nil {
		c.rejectEvent(ev)

		return
	}

	switch ev := ev.(type) {
	case Tick:
		c.tick()
	case Received:
		c.receive(ev.Message)
	case Proposed:
		c.handleProposed(ev)
	case ChangeRequested:
		c.handleChangeRequested(ev)
	case TransferRequested:
		c.handleTransferRequested(ev)
	case ReadRequested:
		c.handleReadRequested(ev)
	case SnapshotTaken:
		c.handleSnapshotTaken(ev)
	}
}

// rejectEvent answers the events of callers once this replica has stopped taking part.
func (c *Core) rejectEvent(ev Event) {
	switch ev := ev.(type) {
	case Proposed:
		c.answerNotRun(ev.ID, ReasonFaulty)
	case ChangeRequested:
		c.answerNotRun(ev.ID, ReasonFaulty)
	case TransferRequested:
		c.answerNotRun(ev.ID, ReasonFaulty)
	case ReadRequested:
		c.out.Reads = append(c.out.Reads, ReadDone{ID: ev.ID, Failed: true})
	}
}

// Take returns what the events since the last Take led to.
func (c *Core) Take() Batch {
	c.sendNewEntries()
	c.requestPendingReads()
	c.startReadRound()
	c.completeReads()

	b := c.out
	c.out = Batch{}

	if c.hardDirty || c.snapDirty {
		hard := c.hardState
		b.Persist.State = &hard
	}

	if c.snapDirty {
		snap := c.snap
		b.Persist.Snapshot = &snap
		c.stable = c.log.base
	}

	if c.stable < c.log.last() {
		b.Persist.Entries = c.log.entriesFrom(c.stable+1, int(c.log.last()), 1<<62)
	}

	return b
}

// Synced says that Persist of the last batch is synced. It may lead to a next batch.
func (c *Core) Synced() {
	c.hardDirty = false
	c.snapDirty = false
	c.stable = c.log.last()

	switch {
	case c.state == leader:
		c.advanceCommit()
	case c.state == candidate && c.hasVoteMajority():
		c.becomeLeader()
	}
}

// Err returns why this replica has stopped taking part, or nil.
func (c *Core) Err() error {
	return c.fault
}

// Deadline returns when a Tick is due.
func (c *Core) Deadline() time.Time {
	at := c.electionDeadline

	switch {
	case c.bootstrap != nil:
		at = c.bootstrap.helloAt
	case c.state == leader:
		at = c.leaderState.heartbeatAt
	}

	if !c.localReads.retryAt.IsZero() && c.localReads.retryAt.Before(at) {
		return c.localReads.retryAt
	}

	return at
}

func (c *Core) tick() {
	c.tickReads()

	switch {
	case c.bootstrap != nil:
		c.tickBootstrap()
	case c.state == leader:
		c.tickLeader()
	case !c.now.Before(c.electionDeadline):
		c.resetElectionDeadline()

		if c.currentMembers().isVoter(c.cfg.ID, c.cfg.CreationID) {
			c.campaign(true, false)
		} else if !c.now.Before(c.leaderLeaseUntil) {
			c.leaderID = ""
		}
	}
}

// currentMembers returns the members that rule now: the latest in the log, committed or not.
func (c *Core) currentMembers() Members {
	return c.members[len(c.members)-1].Members
}

// newMessage addresses body to the member or stranger named to.
func (c *Core) newMessage(to string, creationID, term uint64, body Body) Message {
	return Message{From: c.cfg.ID, FromCreationID: c.cfg.CreationID, To: to, ToCreationID: creationID, Term: term, Body: body}
}

// reply answers m, after what it depends on is synced.
func (c *Core) reply(m Message, term uint64, body Body) {
	c.out.Send = append(c.out.Send, c.newMessage(m.From, m.FromCreationID, term, body))
}

// resetInitialElectionDeadline lets a replica that has just started stand sooner than one that
// lost its leader: where all started anew, nobody leads, and waiting for a leader
// in vain would only lengthen the outage. Where somebody leads, its heartbeat comes
// first, and the others refuse the vote.
func (c *Core) resetInitialElectionDeadline() {
	minTimeout := c.cfg.ElectionTimeout / initialElectionDivisor
	c.electionDeadline = c.now.Add(minTimeout + time.Duration(c.cfg.Rand(int64(2*minTimeout))))
}

// initialElectionDivisor divides Election for the first one. The least of it is still
// above a heartbeat and its way.
const initialElectionDivisor = 5

func (c *Core) resetElectionDeadline() {
	c.electionDeadline = c.now.Add(c.cfg.ElectionTimeout + time.Duration(c.cfg.Rand(int64(c.cfg.ElectionTimeout))))
}
