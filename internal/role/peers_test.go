package role

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/quorum"
)

func idsOf(members []quorum.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.ID)
	}

	return out
}

// Operators replace a control VM. The new member counts immediately. The removed one
// still counts while a process may hold a lease from it: otherwise a zone would be
// reported as out while that process still sends requests to it. After that it is
// dropped, else each later decision would wait for a VM that no longer exists.
func TestRemovedPeerIsKeptForALease(t *testing.T) {
	t.Parallel()

	start := time.Unix(1000, 0)
	a, b, c, d := quorum.Member{ID: "a"}, quorum.Member{ID: "b"}, quorum.Member{ID: "c"}, quorum.Member{ID: "d"}
	settings := []quorum.Member{b, c}
	l := &peerTracker{started: start}

	require.ElementsMatch(t, []string{"b", "c"}, idsOf(l.update(start, "a", nil, settings)), "members of the settings at the start")

	later := start.Add(time.Minute)
	require.ElementsMatch(t, []string{"b", "c"}, idsOf(l.update(later, "a", []quorum.Member{a, b, c}, settings)))
	require.ElementsMatch(t, []string{"b", "c", "d"}, idsOf(l.update(later.Add(time.Second), "a", []quorum.Member{a, b, d}, settings)))
	require.ElementsMatch(t, []string{"b", "d"}, idsOf(l.update(later.Add(removedPeerRetention+time.Second), "a", []quorum.Member{a, b, d}, settings)))
}
