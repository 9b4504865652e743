package priority_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/priority"
)

// backlog is the requests that wait in a test. Each time one is placed, another one like it arrives.
type backlog struct {
	priority.Order

	now   time.Time
	items []priority.Item
}

// place places n requests and returns how many of each workspace and level.
func (b *backlog) place(n int) (byWorkspace map[string]int, byLevel map[priority.Level]int) {
	byWorkspace, byLevel = map[string]int{}, map[priority.Level]int{}

	for range n {
		b.now = b.now.Add(time.Millisecond)
		i := &b.items[b.Arrange(b.now, b.items)[0]]
		byWorkspace[i.Workspace]++
		byLevel[i.Level]++
		b.Place(b.now, i)
		i.Since = b.now
	}

	return byWorkspace, byLevel
}

func newBacklog(items ...priority.Item) *backlog {
	for i := range items {
		items[i].Since = startTime.Add(-time.Duration(i) * time.Millisecond)
		if items[i].Work == 0 {
			items[i].Work = 1
		}
	}

	return &backlog{now: startTime, items: items}
}

// All levels have waiting requests all the time. Guards against a level that is starved, and
// against floors that take more than they must.
func TestLowerLevelsGetTheirFloor(t *testing.T) {
	t.Parallel()

	_, byLevel := newBacklog(priority.Item{Level: 0}, priority.Item{Level: 2}).place(1000)
	require.InDelta(t, 50, byLevel[2], 3)

	var all []priority.Item
	for l := range priority.Level(priority.NumLevels) {
		all = append(all, priority.Item{Level: l})
	}

	b := newBacklog(all...)
	b.place(100)

	last := map[priority.Level]int{}

	for n := range 1000 {
		_, byLevel := b.place(1)
		for l := range byLevel {
			require.LessOrEqual(t, n-last[l], 20, "level %d", l)
			last[l] = n
		}
	}

	require.Len(t, last, priority.NumLevels)
}

// The requests of a level are refused before they can wait for 20 placements. Guards against a
// level that is starved because nothing of it waits.
func TestLevelWhoseRequestsAreRefusedGetsItsFloor(t *testing.T) {
	t.Parallel()

	b := newBacklog(priority.Item{Level: 0}, priority.Item{Level: 2})
	urgent := b.items[:1]

	for range 19 {
		require.Equal(t, 0, b.Arrange(b.now, b.items)[0])
		b.Arrange(b.now, urgent)
		b.Place(b.now, &urgent[0])
	}

	require.Equal(t, 1, b.Arrange(b.now, b.items)[0])
}

// One workspace has ten waiting requests, the others one, and one of them needs four times the
// work. Guards against shares by the number of requests.
func TestWorkspacesShareByWork(t *testing.T) {
	t.Parallel()

	items := []priority.Item{{Workspace: "a"}, {Workspace: "large", Work: 4}}
	for range 10 {
		items = append(items, priority.Item{Workspace: "many"})
	}

	byWorkspace, _ := newBacklog(items...).place(900)
	require.InDelta(t, 400, byWorkspace["a"], 4)
	require.InDelta(t, 400, byWorkspace["many"], 4)
	require.InDelta(t, 100, byWorkspace["large"], 4)
}

// A workspace used the idle places for a while, then another one has requests too. Guards against
// the first having to wait for what it used while nobody else wanted it, and against the second
// losing requests that arrive together.
func TestUseOfIdlePlacesIsNotHeldAgainstAWorkspace(t *testing.T) {
	t.Parallel()

	b := newBacklog(priority.Item{Workspace: "a"})
	b.place(1000)
	b.items = newBacklog(priority.Item{Workspace: "a"}, priority.Item{Workspace: "b"}).items

	byWorkspace, _ := b.place(10)
	require.InDelta(t, 7, byWorkspace["b"], 1, "it goes first for four requests")

	byWorkspace, _ = b.place(100)
	require.InDelta(t, 50, byWorkspace["a"], 1)
}

// Guards against late requests before those in time, the oldest before the newest of them, and
// repeated ones before any other.
func TestOrderWithinAWorkspace(t *testing.T) {
	t.Parallel()

	at := func(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }
	items := []priority.Item{
		{Attempt: priority.RepeatedAtOnce, Since: at(9)},
		{Late: true, Deadline: at(200)},
		{Late: true, Deadline: at(100)},
		{Since: at(1)},
		{Since: at(3)},
		{Since: at(2), Attempt: priority.ReturnedAsTold},
	}

	var o priority.Order
	require.Equal(t, []int{4, 5, 3, 2, 1, 0}, o.Arrange(startTime, items))
}

// All callers of a workspace but one claim that they returned as told, for as long as it waits.
// Guards against claims that take more than one placement in four from new requests.
func TestReturnedRequestsPrecedeInOneOfFour(t *testing.T) {
	t.Parallel()

	var o priority.Order

	returned := 0

	for n := range 400 {
		now := startTime.Add(time.Duration(n) * time.Millisecond)
		items := []priority.Item{
			{Work: 1, Since: now},
			{Work: 1, Since: now.Add(-200 * time.Millisecond), Attempt: priority.ReturnedAsTold},
			{Work: 1, Since: now.Add(-300 * time.Millisecond), Attempt: priority.ReturnedAsTold},
		}

		first := o.Arrange(now, items)[0]
		if items[first].Attempt == priority.ReturnedAsTold {
			returned++
		}

		o.Place(now, &items[first])
	}

	require.Equal(t, 100, returned)
}

// 13,000 workspaces have requests in several levels. Guards against memory that grows with the
// workspaces that have ever been seen, and against requests that are lost from the order.
func TestUsageOfManyWorkspacesIsBounded(t *testing.T) {
	t.Parallel()

	var (
		o     priority.Order
		items []priority.Item
	)

	for i := range 26_000 {
		items = append(items, priority.Item{Workspace: fmt.Sprint("w", i/2), Level: priority.Level(i % 2), Work: 1, Since: startTime})
	}

	seen := make([]bool, len(items))
	for _, i := range o.Arrange(startTime, items) {
		require.False(t, seen[i])
		seen[i] = true
		o.Place(startTime, &items[i])
	}

	require.NotContains(t, seen, false)
	require.Equal(t, 13_000, o.Workspaces())

	now := startTime.Add(11 * time.Second)
	o.Place(now, &items[0])
	require.Equal(t, 1, o.Workspaces())
}
