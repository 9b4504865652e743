package fairness_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/fairness"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newQueue(seed uint64) *fairness.Queue {
	return &fairness.Queue{Rand: rand.New(rand.NewPCG(seed, seed))}
}

// checker tracks the state expected of a queue and checks each action against it.
type checker struct {
	q          *fairness.Queue
	capacity   int
	waiting    map[uint64]time.Time
	running    map[uint64]time.Time
	maxRunning int
}

func (c *checker) apply(t require.TestingT, now time.Time, actions []fairness.Action) {
	for _, a := range actions {
		_, waits := c.waiting[a.ID]
		require.True(t, waits, "action for an item that is not waiting")

		if a.Kind == fairness.Start {
			deadline := c.waiting[a.ID]
			require.True(t, deadline.IsZero() || now.Before(deadline), "started after its deadline")
			c.running[a.ID] = deadline
		} else {
			require.Equal(t, fairness.Refuse, a.Kind)
			require.True(t, a.RetryAt.After(now))
		}

		delete(c.waiting, a.ID)
	}

	require.LessOrEqual(t, len(c.running), max(c.capacity, c.maxRunning))
}

// With any order of calls, each item ends once, no more items start than the capacity
// allows, none starts after its deadline, and no slot leaks.
func TestQueueInvariants(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		c := &checker{q: newQueue(rapid.Uint64().Draw(t, "seed")), waiting: map[uint64]time.Time{}, running: map[uint64]time.Time{}}
		c.q.Settings.MaxWaiting = 20
		c.q.Settings.MaxWaitingPerWorkspace = 8
		now := epoch
		n := rapid.IntRange(20, 300).Draw(t, "n")

		for id := uint64(1); id <= uint64(n); id++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)

			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0:
				c.capacity = rapid.IntRange(0, 6).Draw(t, "cap")
				c.maxRunning = len(c.running)
				c.apply(t, now, c.q.SetCapacity(now, c.capacity))
			case 1:
				c.apply(t, now, c.q.Tick(now))
			case 2:
				c.endOne(t, now, c.q.Finish)
			case 3:
				c.endOne(t, now, c.q.Cancel)
			case 4:
				c.requeue(t, now)
			default:
				c.offer(t, now, id)
			}

			s := c.q.State()
			require.Equal(t, len(c.running), s.Running)
			require.Equal(t, len(c.waiting), s.Waiting)
			require.LessOrEqual(t, s.Waiting, 20)
		}

		for len(c.running)+len(c.waiting) > 0 {
			c.endOne(t, now, c.q.Cancel)

			for id := range c.waiting {
				delete(c.waiting, id)
				c.apply(t, now, c.q.Cancel(now, id))

				break
			}
		}

		require.Zero(t, c.q.State().Running+c.q.State().Waiting)
	})
}

func (c *checker) endOne(t require.TestingT, now time.Time, end func(time.Time, uint64) []fairness.Action) {
	for id := range c.running {
		delete(c.running, id)
		c.maxRunning = max(c.capacity, len(c.running))
		c.apply(t, now, end(now, id))

		return
	}
}

func (c *checker) offer(t *rapid.T, now time.Time, id uint64) {
	it := fairness.Item{
		ID: id, Workspace: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "ws"),
		Weight: rapid.IntRange(0, 3).Draw(t, "weight"), Priority: rapid.IntRange(-2, 3).Draw(t, "prio"),
	}

	if ms := rapid.IntRange(0, 5000).Draw(t, "deadline"); ms > 0 {
		it.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	}

	itemAction, otherActions := c.q.Submit(now, it)
	require.Equal(t, id, itemAction.ID)

	switch itemAction.Kind {
	case fairness.Start:
		c.running[id] = it.Deadline
	case fairness.Wait:
		c.waiting[id] = it.Deadline
	default:
		require.True(t, itemAction.RetryAt.After(now))
	}

	c.apply(t, now, otherActions)
}

func (c *checker) requeue(t require.TestingT, now time.Time) {
	for id, deadline := range c.running {
		delete(c.running, id)
		c.waiting[id] = deadline
		c.maxRunning = max(c.capacity, len(c.running))
		c.apply(t, now, c.q.Requeue(now, id))

		return
	}
}

// An entry serves 13,000 workspaces, most of them rarely. If the queue kept a flow for
// each of them indefinitely, the entry's memory would grow for days until the process
// is killed.
func TestIdleWorkspacesAreDropped(t *testing.T) {
	t.Parallel()

	for _, capacity := range []int{100, 2} {
		q := newQueue(1)
		q.SetCapacity(epoch, capacity)

		now := epoch
		for id := uint64(1); id <= 20_000; id++ {
			now = now.Add(10 * time.Millisecond)
			q.Submit(now, fairness.Item{ID: id, Workspace: fmt.Sprintf("w%d", id)})

			if id > 10 {
				q.Finish(now, id-10)
			}
		}

		// 1,000 workspaces arrive in ten seconds, and their number may double before
		// the idle ones are dropped.
		require.LessOrEqual(t, q.State().Workspaces, 2200, "capacity %d", capacity)
	}
}
