package relay

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/routes"
)

// Guards against memory that grows with the number of workspaces, and against busy workspaces that
// are not found among 13,000, or are shown after they have become quiet.
func TestBusyWorkspacesAreFoundAmongMany(t *testing.T) {
	t.Parallel()

	const (
		workspaces = 13_000
		// busyShare is the number of requests of which a busy workspace sends one.
		busyShare = 100
	)

	var c levelCounts

	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(1, 1))

	// play sends fifty requests per second for a while, with ten busy workspaces. One in three
	// of theirs is refused, the others are placed.
	play := func(d time.Duration, busy string) {
		for range int(d / (20 * time.Millisecond)) {
			now = now.Add(20 * time.Millisecond)

			name := fmt.Sprint("w", r.IntN(workspaces))
			if n := r.IntN(busyShare); n < shownWorkspaces {
				name = fmt.Sprint(busy, n)
			}

			c.arrive(now, name)
			c.wait("svc", name, 3, 1)
			c.wait("svc", name, 3, -1)

			if r.IntN(3) == 0 {
				c.refuse("svc", name, 3)
			} else {
				c.place(groupID{"svc", "g"}, name, 3)
			}
		}
	}

	for _, busy := range []string{"first", "second"} {
		play(5*time.Minute, busy)

		top := c.workspaceState(now)
		require.Len(t, top, shownWorkspaces)

		for _, w := range top {
			require.Contains(t, w.Workspace, busy)
			require.Zero(t, w.Waiting)
			require.InDelta(t, 0.5, float64(w.Refused)/float64(w.Placed), 0.25)
			// About 150 requests in five minutes. With 30 a minute, 30 to 60 are recent: the fewest
			// just after they were halved. Four standard deviations are 25 and 50.
			require.InDelta(t, 45, w.Recent, 15+25)
			require.InDelta(t, 150, float64(w.Placed+w.Refused), 50)
		}
	}

	require.LessOrEqual(t, len(c.workspaces.counted), maxCountedWorkspaces)
	require.Equal(t, len(c.workspaces.counted), len(c.workspaces.index))
	require.LessOrEqual(t, cap(c.workspaces.counted), 2*maxCountedWorkspaces)
	require.Empty(t, c.workspaces.waiting)
}

// Guards against a workspace with waiting requests whose number is lost or goes below zero when it is
// replaced by busier ones.
func TestWaitingRequestsOfReplacedWorkspacesStayCounted(t *testing.T) {
	t.Parallel()

	var c levelCounts

	now := time.Unix(1000, 0)

	c.arrive(now, "quiet")
	c.wait("svc", "quiet", 3, 1)

	for i := range 2 * maxCountedWorkspaces {
		c.arrive(now, fmt.Sprint("w", i))
		c.arrive(now, fmt.Sprint("w", i))
	}

	require.Nil(t, c.workspaces.get("quiet"))
	require.Equal(t, 1, c.state()[0].Levels[0].Waiting)

	for range 1000 {
		c.arrive(now, "quiet")
	}

	require.Equal(t, "quiet", c.workspaceState(now)[0].Workspace)
	require.Equal(t, 1, c.workspaceState(now)[0].Waiting)

	c.wait("svc", "quiet", 3, -1)
	require.Zero(t, c.workspaceState(now)[0].Waiting)
	require.Empty(t, c.workspaces.waiting)
}

// Guards against memory that grows with each group that ever existed, and against the loss of the
// counts of groups in use.
func TestGroupsUsedLastAreCounted(t *testing.T) {
	t.Parallel()

	var c levelCounts

	for i := range 3 * maxCountedGroups {
		c.place(groupID{"svc", "in use"}, "w", 0)
		c.place(groupID{"svc", fmt.Sprint("g", i)}, "w", 0)
	}

	groups := c.state()[0].Groups
	require.Len(t, groups, maxCountedGroups)
	require.Equal(t, "in use", groups[len(groups)-1].Group)
	require.Equal(t, int64(3*maxCountedGroups), groups[len(groups)-1].Levels[0].Placed)
}

// Guards against a service that is dropped while requests wait in it, which would then leave with a
// number below zero.
func TestServicesWithWaitingRequestsAreKept(t *testing.T) {
	t.Parallel()

	var c levelCounts

	none := func(string) bool { return false }
	anyGroup := func(groupID) bool { return true }

	c.wait("svc", "w", 2, 1)
	c.retain(none, anyGroup)
	require.Equal(t, []ServiceLevels{{Service: "svc", Levels: []LevelState{{Level: 2, Waiting: 1}}}}, c.state())

	c.wait("svc", "w", 2, -1)
	c.retain(none, anyGroup)
	require.Empty(t, c.state())
}

// Guards against counts, and so metrics, of a group that no target is in any more.
func TestGroupsWithoutTargetsAreDropped(t *testing.T) {
	t.Parallel()

	var c levelCounts

	c.place(groupID{"svc", "gone"}, "w", 0)
	c.place(groupID{"svc", "stays"}, "w", 0)
	c.retain(func(string) bool { return true }, func(id groupID) bool { return id.group == "stays" })
	require.Len(t, c.state()[0].Groups, 1)
	require.Equal(t, "stays", c.state()[0].Groups[0].Group)
}

// Guards against a stream that counts as in time although its caller waited long for another target to
// resume it, and against a stream that counts as late more than once.
func TestGapsOverARetryMakeAStreamLate(t *testing.T) {
	t.Parallel()

	now := time.Unix(1000, 0)
	r := &Relay{Now: func() time.Time { return now }}
	p := requestOf(r, &routes.Route{EventGapTarget: 100 * time.Millisecond}, RequestInfo{})
	p.service = "svc"

	late := func() int64 {
		r.levels.mu.Lock()
		defer r.levels.mu.Unlock()

		return r.levels.group(groupID{"svc", "g"}).late[0]
	}
	forward := func(gap time.Duration) {
		now = now.Add(gap)
		p.recordForwarded()
	}

	p.placed.Target.Group = "g"

	forward(time.Second) // before the first event
	forward(100 * time.Millisecond)
	require.Zero(t, late())

	p.eventAt = time.Time{} // as a retry sets it

	forward(101 * time.Millisecond)
	require.Equal(t, int64(1), late())

	forward(time.Second)
	require.Equal(t, int64(1), late())
}

func BenchmarkLevelCounts(b *testing.B) {
	var c levelCounts

	names := make([]string, 13_000)
	for i := range names {
		names[i] = fmt.Sprint("w", i)
	}

	now := time.Unix(1000, 0)
	r := rand.New(rand.NewPCG(1, 1))

	b.ReportAllocs()

	for b.Loop() {
		name := names[r.IntN(len(names))]
		c.arrive(now, name)
		c.wait("svc", name, 3, 1)
		c.wait("svc", name, 3, -1)
		c.place(groupID{"svc", "g"}, name, 3)
	}
}
