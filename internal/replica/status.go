package replica

import (
	"net/netip"

	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/quorum"
)

// Status is a replica's state as shown in dumps.
type Status struct {
	quorum.Status
	LeaderAddr netip.AddrPort
	Applied    uint64
	// Commands is the number of commands applied since Run began.
	Commands uint64
	Disk     journal.Stats
}

// Status returns the last published state. It never waits for the disk.
func (r *Replica) Status() Status {
	if s := r.status.Load(); s != nil {
		return *s
	}

	return Status{Status: quorum.Status{ID: r.ID, Reason: "not running yet"}}
}

// publishStatus stores the current state for Status, and logs changes of state, term or
// leader.
func (r *Replica) publishStatus() {
	s := Status{Status: r.core.Status(), Applied: r.appliedIndex, Commands: r.appliedCommands, Disk: r.journal.Stats()}
	if m, ok := r.findMember(s.Leader); ok {
		s.LeaderAddr = m.Addr
	} else {
		s.LeaderAddr = r.learnedAddrs[s.Leader]
	}

	if s.State != r.loggedStatus.State || s.Term != r.loggedStatus.Term || s.Leader != r.loggedStatus.Leader {
		r.Logger.Info("Role changed.", "state", s.State, "term", s.Term, "leader", s.Leader)
		r.loggedStatus = s
	}

	r.status.Store(&s)
}

// findMember returns a member by ID, or a founder while the group is being formed.
func (r *Replica) findMember(id string) (quorum.Member, bool) {
	if m, ok := r.core.Members().Find(id); ok {
		return m, true
	}

	for _, m := range r.Founders {
		if m.ID == id {
			return m, true
		}
	}

	return quorum.Member{}, false
}
