package quorum

import "fmt"

// MemberStatus is what a leader knows of a member. On a follower only Member is set.
type MemberStatus struct {
	Member Member
	// Match is the last entry that it is known to have synced, Lag how many
	// committed ones it lacks.
	Match uint64
	Lag   uint64
	// Active says that it answered lately, UpToDate that it then lacked nothing.
	Active   bool
	UpToDate bool
}

// Status is a core's state for dumps.
type Status struct {
	ID       string
	Birth    uint64
	State    string
	Term     uint64
	Leader   string
	Commit   uint64
	Last     uint64
	Snapshot uint64
	Members  []MemberStatus
	// SafeToStop says that any one more voter may be stopped; Reason says why not.
	SafeToStop bool
	Reason     string
}

// Status returns the state for dumps. Only a leader can say that a stop is safe.
func (c *Core) Status() Status {
	s := Status{
		ID: c.cfg.ID, Birth: c.cfg.CreationID, State: c.state.String(), Term: c.hardState.Term, Leader: c.leaderID,
		Commit: c.commit, Last: c.log.last(), Snapshot: c.snap.Index,
	}

	for _, m := range c.currentMembers() {
		s.Members = append(s.Members, c.memberStatus(m))
	}

	s.Reason = c.stopUnsafeReason()
	s.SafeToStop = s.Reason == ""

	return s
}

func (c *Core) memberStatus(m Member) MemberStatus {
	s := MemberStatus{Member: m}

	switch {
	case m.ID == c.cfg.ID:
		s.Match, s.Active, s.UpToDate = c.stable, true, true
	case c.leaderState != nil:
		p := c.leaderState.peers[m.ID]
		s.Match, s.Active, s.UpToDate = p.match, c.now.Before(p.activeUntil), c.isUpToDate(p)
	}

	if s.Match < c.commit {
		s.Lag = c.commit - s.Match
	}

	return s
}

// stopUnsafeReason says why another voter must not be stopped now, or nothing.
func (c *Core) stopUnsafeReason() string {
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

// Members returns the members that rule now. They must not be changed.
func (c *Core) Members() Members {
	return c.currentMembers()
}

// Leading reports whether this replica leads, and in which term.
func (c *Core) Leading() (term uint64, ok bool) {
	return c.hardState.Term, c.state == leader
}
