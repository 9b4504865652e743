package replica

import (
	"net/netip"

	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/quorum"
)

// Status is a replica's state for dumps.
type Status struct {
	quorum.Status
	LeaderAddr netip.AddrPort
	Applied    uint64
	// Commands is how many commands were applied since the start.
	Commands uint64
	Disk     journal.Stats
}

// Status returns the latest state. It does not wait for the disk.
func (r *Replica) Status() Status {
	if s := r.status.Load(); s != nil {
		return *s
	}

	return Status{Status: quorum.Status{ID: r.ID, Reason: "not running yet"}}
}

// publish makes the core's state visible to Status, and logs what changed.
func (r *Replica) publish() {
	s := Status{Status: r.core.Status(), Applied: r.applied, Commands: r.commits, Disk: r.journal.Stats()}
	if m, ok := r.member(s.Leader); ok {
		s.LeaderAddr = m.Addr
	} else {
		s.LeaderAddr = r.learned[s.Leader]
	}

	if s.State != r.logged.State || s.Term != r.logged.Term || s.Leader != r.logged.Leader {
		r.Logger.Info("Role changed.", "state", s.State, "term", s.Term, "leader", s.Leader)
		r.logged = s
	}

	r.status.Store(&s)
}

// member finds a member, or a founder of a group that is being formed.
func (r *Replica) member(id string) (quorum.Member, bool) {
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
