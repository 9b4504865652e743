package quorum

import (
	"net/netip"
	"slices"
	"strings"
)

// Role determines whether a member counts in elections and commits.
type Role uint8

const (
	// Voter counts in elections and commits.
	Voter Role = iota
	// Learner receives the log and does not count in elections or commits.
	Learner
)

// String returns the name of r.
func (r Role) String() string {
	if r == Learner {
		return "Learner"
	}

	return "Voter"
}

// Member is one replica of a replica group.
type Member struct {
	// ID is chosen by the operators.
	ID string
	// Birth is the creation ID of the replica: a random number generated when its data
	// folder was created. It distinguishes a replica that lost its disk from the one that
	// voted under the same ID. It is 0 for a learner until its promotion.
	Birth uint64
	// Addr is the address of the replica's Peer service.
	Addr netip.AddrPort
	Role Role
}

// Members is a set of members, sorted by ID. It is never modified in place.
type Members []Member

// Find returns the member with the given ID.
func (ms Members) Find(id string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(ms, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
	if !ok {
		return Member{}, false
	}

	return ms[i], true
}

// Voters returns the number of voters.
func (ms Members) Voters() int {
	n := 0

	for _, m := range ms {
		if m.Role == Voter {
			n++
		}
	}

	return n
}

// Quorum returns the number of voters that form a majority.
func (ms Members) Quorum() int {
	return ms.Voters()/2 + 1
}

// With returns a copy of ms in which m is added or replaces the member with the same ID.
func (ms Members) With(m Member) Members {
	out := append(ms.Without(m.ID), m)
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })

	return out
}

// Without returns a copy of ms without the member with the given ID.
func (ms Members) Without(id string) Members {
	out := make(Members, 0, len(ms)+1)

	for _, m := range ms {
		if m.ID != id {
			out = append(out, m)
		}
	}

	return out
}

// isVoter reports whether the replica with this ID and creation ID is a voter. Comparing
// the ID alone is not enough: a replica that lost its disk would find its ID in older
// parts of the log and vote a second time.
func (ms Members) isVoter(id string, creationID uint64) bool {
	m, ok := ms.Find(id)

	return ok && m.Role == Voter && m.Birth == creationID
}

// membersAt holds the members that are in effect from the entry Index on.
type membersAt struct {
	Index   uint64
	Members Members
}
