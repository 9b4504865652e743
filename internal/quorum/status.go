package quorum

import (
	"fmt"
	"time"
)

// MemberStatus is the state of a member as known to the leader. On a follower only Member
// is set.
type MemberStatus struct {
	Member Member
	// Match is the last entry that the member is known to have synced. Lag is the number
	// of committed entries that it lacks.
	Match uint64
	Lag   uint64
	// Active is set if the member answered recently, UpToDate if it also held all
	// committed entries at that time.
	Active   bool
	UpToDate bool
	// Answered is set once the member has answered this leader. Until then it counts as active for a while.
	Answered bool
	// AnsweredAt is the start of the last round that the member answered. If it has answered none, it is when
	// this replica became leader, or when it last heard of the member as the leader before it.
	AnsweredAt time.Time
}

// Status is the state of a core for status dumps.
type Status struct {
	ID       string
	Birth    uint64 // creation ID, see Member.Birth
	State    string
	Term     uint64
	Leader   string
	Commit   uint64
	Last     uint64
	Snapshot uint64
	Members  []MemberStatus
	// MembersCommitted is set if Members are committed.
	MembersCommitted bool
	// Founding is set while this replica waits for the other founders, DiskLost if it was a member before
	// and lost its disk.
	Founding bool
	DiskLost bool
	// SafeToStop is set if any one more voter may be stopped. Otherwise Reason gives the
	// cause.
	SafeToStop bool
	Reason     string
}

// Status returns the state for status dumps. Only a leader can report that a stop is safe.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Birth: c.cfg.CreationID, State: c.state.String(), Term: c.hardState.Term, Leader: c.leaderID,
		Commit: c.commit, Last: c.log.last(), Snapshot: c.snap.Index, Founding: c.bootstrap != nil, DiskLost: c.bootstrap != nil && c.bootstrap.diskLost,
		MembersCommitted: c.members[len(c.members)-1].Index <= c.commit,
	}

	for _, m := range c.currentMembers() {
		s.Members = append(s.Members, c.memberStatus(m))
	}

	s.Reason = c.stopBlocker()
	s.SafeToStop = s.Reason == ""

	return s
}

func (c *Core) memberStatus(m Member) MemberStatus {
	s := MemberStatus{Member: m}

	switch {
	case m.ID == c.cfg.ID:
		s.Match, s.Active, s.UpToDate, s.Answered = c.stable, true, true, true
	case c.leaderState != nil:
		p := c.leaderState.peers[m.ID]
		s.Match, s.Active, s.UpToDate = p.match, c.now.Before(p.activeUntil) && !p.silent, c.isUpToDate(p)
		s.Answered, s.AnsweredAt = p.round > 0, p.answeredAt
	}

	if s.Match < c.commit {
		s.Lag = c.commit - s.Match
	}

	return s
}

// stopBlocker returns why no further voter may be stopped now, or an empty string.
func (c *Core) stopBlocker() string {
	switch {
	case c.fault != nil:
		return c.fault.Error()
	case c.bootstrap != nil && c.bootstrap.diskLost:
		return "this replica lost its disk: remove it and add it again"
	case c.bootstrap != nil:
		return "waiting for all founders"
	case c.state != leader:
		return "only the leader can tell"
	case c.commit < c.leaderState.firstIndex:
		return "the term has committed nothing yet"
	}

	current := c.countVoters(c.isUpToDate)
	if need := c.currentMembers().Quorum(); current-1 < need {
		return fmt.Sprintf("%d of %d voters are up to date, and %d must remain", current, c.currentMembers().Voters(), need)
	}

	return ""
}

// Members returns the members in effect. The caller must not modify them.
func (c *Core) Members() Members {
	return c.currentMembers()
}

// Leading reports whether this replica is the leader, and the current term.
func (c *Core) Leading() (term uint64, ok bool) {
	return c.hardState.Term, c.state == leader
}
