package quorum

import (
	"net/netip"
	"slices"
	"strings"
)

// Role says whether a member counts in elections and commits.
type Role uint8

const (
	// Voter counts in elections and commits.
	Voter Role = iota
	// Learner receives the log and counts in neither.
	Learner
)

// String returns the name of r.
func (r Role) String() string {
	if r == Learner {
		return "Learner"
	}

	return "Voter"
}

// Member is one replica of the group.
type Member struct {
	// ID is chosen by the operators.
	ID string
	// Birth is a random number made with the replica's data folder. It tells a
	// replica that lost its disk from the one that voted under the same ID. It
	// is 0 for a learner until it is promoted.
	Birth uint64
	// Addr is where its Peer service listens.
	Addr netip.AddrPort
	// Role is Voter or Learner.
	Role Role
}

// Members is the set of members, sorted by ID. It is never changed in place.
type Members []Member

// Find returns the member named id.
func (ms Members) Find(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(ms, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}

	return ms[i], true
}

// Voters counts the voters.
func (ms Members) Voters() int {
	n := 0

	for _, m := range ms {
		if m.Role == Voter {
			n++
		}
	}

	return n
}

// Quorum returns how many voters are a majority.
func (ms Members) Quorum() int {
	return ms.Voters()/2 + 1
}

// With returns a copy of ms in which m stands under its ID.
func (ms Members) With(m Member) Members {
	out := append(ms.Without(m.ID), m)
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })

	return out
}

// Without returns a copy of ms that has no member named id.
func (ms Members) Without(id string) Members {
	out := make(Members, 0, len(ms)+1)

	for _, m := range ms {
		if m.ID != id {
			out = append(out, m)
		}
	}

	return out
}

// isVoter reports whether the replica with this data folder is a voter. The ID
// alone is not enough: a replica that lost its disk would find itself in the
// older parts of the log and count its vote a second time.
func (ms Members) isVoter(id string, creationID uint64) bool {
	m, ok := ms.Find(id)

	return ok && m.Role == Voter && m.Birth == creationID
}

// membersAt is the member set that rules from Index on.
type membersAt struct {
	Index   uint64
	Members Members
}
