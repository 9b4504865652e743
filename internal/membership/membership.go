// Package membership decides how the set of control VMs changes by itself: which
// learner gets a vote, and which member that is lost leaves the set. It has no
// goroutine and reads no clock.
//
// A control VM that lost its disk, or that stands in for another, comes under a
// new ID as a learner. It gets a vote once it holds the log, and only then the
// lost one loses its own: at no time does a majority hold what was acknowledged
// in fewer places than the votes say.
package membership

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/quorum"
)

// VolatileIDMarker stands in the ID of a member whose disk does not outlive its process.
// It never gets a vote: what it acknowledged would be gone with each restart.
const VolatileIDMarker = "-volatile-"

// Settings are the tunable numbers of a Roster.
type Settings struct {
	// Voters is how many votes there are to be: one more than twice the losses that
	// must be borne.
	Voters int
	// VoterTimeout is how long a voter must be silent before another VM takes its place.
	// It is longer than a planned restart.
	VoterTimeout time.Duration
	// LearnerTimeout is how long a learner may be silent before it is taken out.
	LearnerTimeout time.Duration
}

// DefaultSettings returns the numbers for a set that bears lost losses.
func DefaultSettings(lost int) Settings {
	return Settings{Voters: 2*lost + 1, VoterTimeout: 4 * time.Second, LearnerTimeout: 30 * time.Second}
}

// ChangeKind is what is done with a member.
type ChangeKind uint8

const (
	// NoChange changes nothing.
	NoChange ChangeKind = iota
	// Promote gives a learner a vote.
	Promote
	// Remove takes a member out.
	Remove
)

// Change is one change of the set. They are made one at a time.
type Change struct {
	Kind ChangeKind
	ID   string
}

// Manager is a leader's memory of who has been silent since when.
type Manager struct {
	Settings Settings

	lastActive map[string]time.Time
}

// Reset drops what was seen. A VM that does not lead calls it: what it saw in an
// earlier term says nothing of now.
func (r *Manager) Reset() { r.lastActive = nil }

// Decide returns the next change, by what the leader named self knows of the members.
func (r *Manager) Decide(now time.Time, self string, members []quorum.MemberStatus) Change {
	r.observe(now, members)

	voters := 0
	for _, m := range members {
		if m.Member.Role == quorum.Voter {
			voters++
		}
	}

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
		if _, known := r.lastActive[m.Member.ID]; m.Active || !known {
			r.lastActive[m.Member.ID] = now
		}
	}
}

func (r *Manager) inactiveFor(now time.Time, id string) time.Duration {
	return now.Sub(r.lastActive[id])
}

// voterToRemove returns the voter to take out: one whose address has a new member,
// which is proof that its disk is gone, before one that is only silent.
func (r *Manager) voterToRemove(now time.Time, self string, members []quorum.MemberStatus) string {
	inactive := ""

	for _, m := range members {
		if m.Member.Role != quorum.Voter || m.Member.ID == self || m.Active {
			continue
		}

		if hasReplacement(m.Member.ID, m.Member.Addr, members) {
			return m.Member.ID
		}

		if inactive == "" && r.inactiveFor(now, m.Member.ID) > r.Settings.VoterTimeout {
			inactive = m.Member.ID
		}
	}

	return inactive
}

func hasReplacement(id string, addr netip.AddrPort, members []quorum.MemberStatus) bool {
	return slices.ContainsFunc(members, func(m quorum.MemberStatus) bool {
		return m.Member.ID != id && m.Member.Addr == addr && m.Active
	})
}

// learnerToPromote returns the learner to promote: up to date, the first by ID, so that a
// new leader goes on with the same one.
func (r *Manager) learnerToPromote(members []quorum.MemberStatus) string {
	next := ""

	for _, m := range members {
		if m.Member.Role == quorum.Learner && m.Active && m.UpToDate && !strings.Contains(m.Member.ID, VolatileIDMarker) &&
			(next == "" || strings.Compare(m.Member.ID, next) < 0) {
			next = m.Member.ID
		}
	}

	return next
}
