// Package membership decides how the set of control VMs changes automatically: which
// learner becomes a voter, and which failed member is removed. It starts no goroutine
// and reads no clock.
//
// A control VM that lost its disk, or that replaces another VM, joins under a new ID as
// a learner. It becomes a voter once it holds the log, and only then is the failed
// voter removed. The number of voters that store acknowledged entries thus never drops
// below what a majority requires.
package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/quorum"
)

// VolatileIDMarker is part of the ID of a member whose disk does not outlive its
// process. Such a member never becomes a voter, because each restart would lose the
// entries that it acknowledged.
const VolatileIDMarker = "-volatile-"

// Settings holds the parameters of a Manager.
type Settings struct {
	// Voters is the desired number of voters: twice the number of tolerated failures,
	// plus one.
	Voters int
	// VoterTimeout is how long a voter must not have answered before another VM replaces
	// it. It must be longer than a restart after a crash takes.
	VoterTimeout time.Duration
	// LearnerTimeout is how long a learner must be inactive before it is removed.
	LearnerTimeout time.Duration
}

// DefaultSettings returns the settings for a set that tolerates the given number of failed
// voters.
func DefaultSettings(toleratedFailures int) Settings {
	return Settings{Voters: 2*toleratedFailures + 1, VoterTimeout: 3 * time.Second, LearnerTimeout: 30 * time.Second}
}

// ChangeKind is the kind of a membership change.
type ChangeKind uint8

const (
	// NoChange means that there is nothing to do.
	NoChange ChangeKind = iota
	// Promote makes a learner a voter.
	Promote
	// Remove removes a member.
	Remove
)

// Change is one membership change. Changes are made one at a time.
type Change struct {
	Kind ChangeKind
	ID   string
}

// Manager decides the membership changes of a leader. It records when each member was
// last active.
type Manager struct {
	Settings Settings
	// LeavingSince returns when a member announced that it stops, the zero time if it did not. It may be nil.
	LeavingSince func(id string) time.Time

	lastActive map[string]time.Time
}

// Reset drops the recorded activity. A VM that does not lead calls it, because activity
// observed in an earlier term is out of date.
func (r *Manager) Reset() { r.lastActive = nil }

// Decide returns the next change. It is called on the leader, whose ID is self, with
// the leader's view of the members.
func (r *Manager) Decide(now time.Time, self string, members []quorum.MemberStatus) Change {
	r.observe(now, members)

	voters := countVoters(members)
	lost := r.voterToRemove(now, self, members)
	next := r.learnerToPromote(members)

	switch {
	case next != "" && (voters < r.Settings.Voters || lost != "" && voters <= r.Settings.Voters):
		return Change{Kind: Promote, ID: next}
	case lost != "" && voters > r.Settings.Voters:
		return Change{Kind: Remove, ID: lost}
	}

	for _, m := range members {
		if m.Member.Role == quorum.Learner && r.inactiveFor(now, m.Member.ID) > r.Settings.LearnerTimeout {
			return Change{Kind: Remove, ID: m.Member.ID}
		}
	}

	return Change{}
}

func (r *Manager) observe(now time.Time, members []quorum.MemberStatus) {
	if r.lastActive == nil {
		r.lastActive = make(map[string]time.Time)
	}

	for _, m := range members {
		_, known := r.lastActive[m.Member.ID]

		switch {
		case !m.AnsweredAt.IsZero():
			r.lastActive[m.Member.ID] = m.AnsweredAt
		case m.Active || !known:
			r.lastActive[m.Member.ID] = now
		}
	}
}

func (r *Manager) leavingSince(id string) time.Time {
	if r.LeavingSince == nil {
		return time.Time{}
	}

	return r.LeavingSince(id)
}

func (r *Manager) isLeaving(id string) bool { return !r.leavingSince(id).IsZero() }

func (r *Manager) inactiveFor(now time.Time, id string) time.Duration {
	return now.Sub(r.lastActive[id])
}

// voterToRemove returns the voter to remove, or "". A voter whose address is
// used by another active member since comes first, because its disk is certainly lost;
// then the one that first announced that it stops, or was first inactive for VoterTimeout. A
// learner that a voter awaits before it stops thus does not replace one that falls silent meanwhile.
func (r *Manager) voterToRemove(now time.Time, self string, members []quorum.MemberStatus) string {
	var (
		next  string
		since time.Time
	)

	for i := range members {
		m := &members[i]
		if m.Member.Role != quorum.Voter || m.Member.ID == self {
			continue
		}

		if hasReplacement(m, members) {
			return m.Member.ID
		}

		if at := r.replaceableSince(now, m); !at.IsZero() && (next == "" || at.Before(since)) {
			next, since = m.Member.ID, at
		}
	}

	return next
}

// replaceableSince returns since when a voter may be replaced by any learner, the zero time if it may not be.
func (r *Manager) replaceableSince(now time.Time, voter *quorum.MemberStatus) time.Time {
	since := r.leavingSince(voter.Member.ID)

	if !voter.Active && r.inactiveFor(now, voter.Member.ID) > r.Settings.VoterTimeout {
		if at := r.lastActive[voter.Member.ID].Add(r.Settings.VoterTimeout); since.IsZero() || at.Before(since) {
			since = at
		}
	}

	return since
}

// hasReplacement reports whether another active member uses the address of a voter that is inactive, or has not
// answered since. It may count as active for a while after its end.
func hasReplacement(voter *quorum.MemberStatus, members []quorum.MemberStatus) bool {
	return slices.ContainsFunc(members, func(m quorum.MemberStatus) bool {
		return m.Member.ID != voter.Member.ID && m.Member.Addr == voter.Member.Addr && m.Active &&
			(!voter.Active || m.AnsweredAt.After(voter.AnsweredAt))
	})
}

// learnerToPromote returns the learner to promote, or "": the up-to-date learner with
// the lowest ID, so that a new leader continues with the same one.
func (r *Manager) learnerToPromote(members []quorum.MemberStatus) string {
	next := ""

	for _, m := range members {
		if r.maySucceed(&m) && m.UpToDate && (next == "" || strings.Compare(m.Member.ID, next) < 0) {
			next = m.Member.ID
		}
	}

	return next
}

// CanReplace reports whether a voter that leaves can be removed without a loss of tolerance: a learner may take its
// place, now or once it is up to date, or there are more voters than desired. In the latter case the replacement of
// another voter may be half done, and the majority that it needs until its end may include the one that leaves.
func (r *Manager) CanReplace(members []quorum.MemberStatus) bool {
	return countVoters(members) > r.Settings.Voters ||
		slices.ContainsFunc(members, func(m quorum.MemberStatus) bool { return r.maySucceed(&m) })
}

// MajorityNeeds reports whether the voters that have answered recently are a majority only with the given member. It is
// false if all others have answered or have announced that they stop.
func (r *Manager) MajorityNeeds(id string, members []quorum.MemberStatus) bool {
	answering, silent := 0, false

	for _, m := range members {
		switch {
		case m.Member.Role != quorum.Voter || m.Member.ID == id:
		case m.Active && m.Answered:
			answering++
		case !r.isLeaving(m.Member.ID):
			silent = true
		}
	}

	return silent && answering <= countVoters(members)/2
}

func countVoters(members []quorum.MemberStatus) int {
	n := 0

	for _, m := range members {
		if m.Member.Role == quorum.Voter {
			n++
		}
	}

	return n
}

func (r *Manager) maySucceed(m *quorum.MemberStatus) bool {
	return m.Member.Role == quorum.Learner && m.Active && !strings.Contains(m.Member.ID, VolatileIDMarker) && !r.isLeaving(m.Member.ID)
}
