// Package quorum is the consensus core of the replicated log, an implementation of Raft:
// elections, replication, snapshots, membership changes and linearizable reads. It starts
// no goroutine and reads no clock, file or socket. The caller passes in events and the
// current time, and receives a Batch of actions.
package quorum

import (
	"errors"
	"time"
)

// state is the role of a replica in the current term.
type state uint8

const (
	follower state = iota
	preCandidate
	candidate
	leader
)

// String returns the name of s as status dumps show it.
func (s state) String() string {
	return [...]string{"Follower", "PreCandidate", "Candidate", "Leader"}[s]
}

// Core is the consensus state machine of one replica.
type Core struct {
	cfg Config
	now time.Time

	hardState HardState
	log       entryLog
	members   []membersAt // oldest first; the last one is in effect, committed or not
	snap      Snapshot
	commit    uint64
	stable    uint64 // entries up to this index are synced

	state            state
	leaderID         string
	leaderLeaseUntil time.Time // until then, votes for other candidates are refused
	silentLeaderID   string    // the leader that this replica last heard of, if an election timeout has passed since
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

// New returns a core that continues from the stored state.
func New(cfg Config, stored StoredState, now time.Time) (*Core, error) {
	setDefaults(&cfg)

	if cfg.ID == "" || cfg.CreationID == 0 || cfg.Rand == nil {
		return nil, errors.New("quorum: ID, CreationID and Rand must be set")
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

// Step processes one event. Take returns the resulting actions.
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

// rejectEvent rejects the requests of callers after a fault has stopped this replica.
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

// Take returns the actions that result from the events since the previous Take.
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

// Synced reports that Persist of the previous batch is synced. It may produce further
// actions, which Take returns.
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

// Err returns the fault that stopped this replica, or nil.
func (c *Core) Err() error {
	return c.fault
}

// Deadline returns the time at which the next Tick is due.
func (c *Core) Deadline() time.Time {
	at := c.electionDeadline

	switch {
	case c.bootstrap != nil:
		at = c.bootstrap.helloAt
	case c.state == leader:
		at = c.leaderState.heartbeatAt
		if c.leaderState.checkAt.Before(at) {
			at = c.leaderState.checkAt
		}
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

		if c.leaderID != "" {
			c.silentLeaderID = c.leaderID
		}

		if c.currentMembers().isVoter(c.cfg.ID, c.cfg.CreationID) {
			c.campaign(true, false)
		} else if !c.now.Before(c.leaderLeaseUntil) {
			c.leaderID = ""
		}
	}
}

// currentMembers returns the members in effect: the latest in the log, committed or not.
func (c *Core) currentMembers() Members {
	return c.members[len(c.members)-1].Members
}

// newMessage returns a message to the replica with the ID to, which need not be a member.
func (c *Core) newMessage(to string, creationID, term uint64, body Body) Message {
	return Message{From: c.cfg.ID, FromCreationID: c.cfg.CreationID, To: to, ToCreationID: creationID, Term: term, Body: body}
}

// reply answers m after Persist is synced.
func (c *Core) reply(m Message, term uint64, body Body) {
	c.out.Send = append(c.out.Send, c.newMessage(m.From, m.FromCreationID, term, body))
}

// resetInitialElectionDeadline sets a shorter election timeout for a replica that has just
// started. If all replicas have restarted there is no leader, and waiting for one only
// prolongs the outage. If there is a leader, its heartbeat arrives first and the other
// replicas refuse their votes.
func (c *Core) resetInitialElectionDeadline() {
	minTimeout := c.cfg.ElectionTimeout / initialElectionDivisor
	c.electionDeadline = c.now.Add(minTimeout + time.Duration(c.cfg.Rand(int64(2*minTimeout))))
}

// initialElectionDivisor divides ElectionTimeout for the initial election. With the
// default settings the shortest initial timeout is 300 ms, which is more than a heartbeat
// interval and the network latency.
const initialElectionDivisor = 5

func (c *Core) resetElectionDeadline() {
	c.electionDeadline = c.now.Add(c.cfg.ElectionTimeout + time.Duration(c.cfg.Rand(int64(c.cfg.ElectionTimeout))))
}
