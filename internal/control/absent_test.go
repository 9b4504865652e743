package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Guards against entries that were lost for good and hold their parts of limits forever, and against
// a list of them that grows without bound.
func TestAbsentEntriesAreBounded(t *testing.T) {
	t.Parallel()

	const lost = maxAbsent + 100

	now := time.Unix(1000, 0)
	targets := newTargetTracker(time.Second)

	for i := range lost {
		targets.recordFollower(fmt.Sprintf("e%04d", i), follower{lastRequest: now})
		targets.rosterExpires = time.Time{}
		now = now.Add(time.Second)
		targets.currentRoster(now)
	}

	targets.recordFollower("agent", follower{lastRequest: now, leaving: true, isAgent: true})

	now = now.Add(2 * followerTimeout)
	absent := targets.currentRoster(now).absent
	require.Len(t, absent, maxAbsent)
	last := fmt.Sprintf("e%04d", lost-1)
	require.True(t, slices.ContainsFunc(absent, func(e *wire.RosterEntry) bool { return e.GetID() == last }))

	targets.recordFollower(last, follower{lastRequest: now})
	require.Len(t, targets.currentRoster(now).absent, maxAbsent-1)

	now = now.Add(absentRetention)
	require.Len(t, targets.currentRoster(now).absent, 1)

	now = now.Add(absentRetention)
	require.Empty(t, targets.currentRoster(now).absent)
}
