package control

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against entries that compare their demand with that of entries which are gone, leave or do
// not report any, and against a zone with one entry that hides its excess.
func TestMeanDemandOfEntries(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)
	perSecond := func(v float64) *float64 { return &v }
	targets := newTargetTracker(time.Second)

	mean := func(zone string) *float64 {
		targets.rosterExpires = time.Time{}
		targets.currentRoster(now)

		return targets.demands.mean(zone)
	}

	require.Nil(t, mean("a"), "no entry")

	targets.recordFollower("a1", follower{lastRequest: now, zone: "a", demand: perSecond(700)})
	require.Nil(t, mean("a"), "only the asking entry")

	targets.recordFollower("b1", follower{lastRequest: now, zone: "b", demand: perSecond(50)})
	targets.recordFollower("b2", follower{lastRequest: now, zone: "b", demand: perSecond(150)})
	targets.recordFollower("old", follower{lastRequest: now, zone: "b"})
	targets.recordFollower("agent", follower{lastRequest: now, zone: "b", leaving: true, demand: perSecond(9000)})
	targets.recordFollower("lost", follower{lastRequest: now.Add(-time.Minute), zone: "b", demand: perSecond(9000)})
	targets.recordFollower("odd", follower{lastRequest: now, zone: "b", demand: perSecond(math.NaN())})

	require.InDelta(t, 300, *mean("a"), 0.001, "a zone with one entry")
	require.InDelta(t, 300, *mean("b"), 0.001, "a zone below the mean")

	targets.recordFollower("a2", follower{lastRequest: now, zone: "a", demand: perSecond(300)})
	require.InDelta(t, 500, *mean("a"), 0.001, "a zone above the mean")
}
