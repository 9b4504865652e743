// Package roster decides how the set of control VMs changes by itself: which
// learner gets a vote, and which member that is lost leaves the set. It has no
// goroutine and reads no clock.
//
// A control VM that lost its disk, or that stands in for another, comes under a
// new ID as a learner. It gets a vote once it holds the log, and only then the
// lost one loses its own: at no time does a majority hold what was acknowledged
// in fewer places than the votes say.
package roster

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/parsleygate/parsleygate/internal/quorum"
)

// VolatileMark stands in the ID of a member whose disk does not outlive its process.
// It never gets a vote: what it acknowledged would be gone with each restart.
const VolatileMark = "-volatile-"

// Settings are the tunable numbers of a Roster.
type Settings struct {
	// Voters is how many votes there are to be: one more than twice the losses that
	// must be borne.
	Voters int
	// LostAfter is how long a voter must be silent before another VM takes its place.
	// It is longer than a planned restart.
	LostAfter time.Duration
	// ForgetAfter is how long a learner may be silent before it is taken out.
	ForgetAfter time.Duration
}

// DefaultSettings returns the numbers for a set that bears lost losses.
func DefaultSettings(lost int) Settings {
	return Settings{Voters: 2*lost + 1, LostAfter: 4 * time.Second, ForgetAfter: 30 * time.Second}
}

// ChangeKind is what is done with a member.
type ChangeKind uint8

const (
	// Keep changes nothing.
	Keep ChangeKind = iota
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

// Roster is a leader's memory of who has been silent since when.
type Roster struct {
	Settings Settings

	seen map[string]time.Time
}

// Forget drops what was seen. A VM that does not lead calls it: what it saw in an
// earlier term says nothing of now.
func (r *Roster) Forget() { r.seen = nil }

// Decide returns the next change, by what the leader named self knows of the members.
func (r *Roster) Decide(now time.Time, self string, members []quorum.MemberStatus) Change {
	r.see(now, members)

	voters := 0
	for _, m := range members {
		if m.Member.Role == quorum.Voter {
			voters++
		}
	}

	lost := r.lostVoter(now, self, members)
	next := r.nextVoter(members)

	switch {
	case next != "" && (voters < r.Settings.Voters || lost != "" && voters <= r.Settings.Voters):
		return Change{Kind: Promote, ID: next}
	case lost != "" && voters > r.Settings.Voters:
		return Change{Kind: Remove, ID: lost}
	}

	for _, m := range members {
		if m.Member.Role == quorum.Learner && r.silence(now, m.Member.ID) > r.Settings.ForgetAfter {
			return Change{Kind: Remove, ID: m.Member.ID}
		}
	}

	return Change{}
}

func (r *Roster) see(now time.Time, members []quorum.MemberStatus) {
	if r.seen == nil {
		r.seen = make(map[string]time.Time)
	}

	for _, m := range members {
		if _, known := r.seen[m.Member.ID]; m.Active || !known {
			r.seen[m.Member.ID] = now
		}
	}
}

func (r *Roster) silence(now time.Time, id string) time.Duration { return now.Sub(r.seen[id]) }

// lostVoter returns the voter to take out: one whose address has a new member,
// which is proof that its disk is gone, before one that is only silent.
func (r *Roster) lostVoter(now time.Time, self string, members []quorum.MemberStatus) string {
	silent := ""

	for _, m := range members {
		if m.Member.Role != quorum.Voter || m.Member.ID == self || m.Active {
			continue
		}

		if replacedAt(m.Member.ID, m.Member.Addr, members) {
			return m.Member.ID
		}

		if silent == "" && r.silence(now, m.Member.ID) > r.Settings.LostAfter {
			silent = m.Member.ID
		}
	}

	return silent
}

func replacedAt(id string, at netip.AddrPort, members []quorum.MemberStatus) bool {
	return slices.ContainsFunc(members, func(m quorum.MemberStatus) bool {
		return m.Member.ID != id && m.Member.Addr == at && m.Active
	})
}

// nextVoter returns the learner to promote: up to date, the first by ID, so that a
// new leader goes on with the same one.
func (r *Roster) nextVoter(members []quorum.MemberStatus) string {
	next := ""

	for _, m := range members {
		if m.Member.Role == quorum.Learner && m.Active && m.UpToDate && !strings.Contains(m.Member.ID, VolatileMark) &&
			(next == "" || strings.Compare(m.Member.ID, next) < 0) {
			next = m.Member.ID
		}
	}

	return next
}
