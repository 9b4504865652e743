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

// Operators replace a control VM. The new one's word counts at once, and that of
// the removed one for as long as a process may hold a lease from it: a zone
// would else be said to be out while that process still sends into it. Then it
// is forgotten, or each later decision would wait for a VM that is gone.
func TestRemovedPeerIsKeptForALease(t *testing.T) {
	t.Parallel()

	start := time.Unix(1000, 0)
	a, b, c, d := quorum.Member{ID: "a"}, quorum.Member{ID: "b"}, quorum.Member{ID: "c"}, quorum.Member{ID: "d"}
	settings := []quorum.Member{b, c}
	l := &peerTracker{started: start}

	require.ElementsMatch(t, []string{"b", "c"}, idsOf(l.update(start, "a", nil, settings)), "by the settings at first")

	later := start.Add(time.Minute)
	require.ElementsMatch(t, []string{"b", "c"}, idsOf(l.update(later, "a", []quorum.Member{a, b, c}, settings)))
	require.ElementsMatch(t, []string{"b", "c", "d"}, idsOf(l.update(later.Add(time.Second), "a", []quorum.Member{a, b, d}, settings)))
	require.ElementsMatch(t, []string{"b", "d"}, idsOf(l.update(later.Add(formerPeerRetention+time.Second), "a", []quorum.Member{a, b, d}, settings)))
}
