package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/shares"
)

// entryCounts are the numbers of entries at which limits that they hold together are tested.
var entryCounts = []int{1, 3, 39, 77, 410}

const (
	// minUsedFraction is the part of a limit that entries must be able to use together.
	minUsedFraction = 0.8
	// coldOvershoot and coldSlack bound what a cold target may get in a second beyond what it declares.
	coldOvershoot = 1.5
	coldSlack     = 5
)

// entrySet is a number of entries that use the same targets.
type entrySet struct {
	service dispatch.Service
	targets []dispatch.Target
	nodes   []shares.Node
	entries []*testEntry
	lastID  uint64
	sent    map[string][]time.Time
}

type testEntry struct {
	*dispatch.Dispatcher

	node   shares.Node
	placed []dispatch.Action
}

func newEntrySet(entries, targets int, s dispatch.Service, edit func(*dispatch.Target)) *entrySet {
	c := &entrySet{service: s, sent: map[string][]time.Time{}}

	for i := range targets {
		t := dispatch.Target{ID: fmt.Sprintf("t%03d", i), Service: s.Name, Zone: fmt.Sprint(i % 5), Slots: 6}
		if edit != nil {
			edit(&t)
		}

		c.targets = append(c.targets, t)
		c.nodes = append(c.nodes, shares.Node{ID: t.ID, Zone: t.Zone})
	}

	for range entries {
		c.join()
	}

	all := c.match(c.roster())
	for _, e := range c.entries {
		c.updateTargets(startTime, e, all)
	}

	return c
}

// match matches the entries of a roster with the targets.
func (c *entrySet) match(roster []shares.Node) *shares.Matching {
	return shares.Subsetter{Size: shares.SubsetSize(len(roster), len(c.targets))}.Match(roster, c.nodes)
}

// join adds an entry.
func (c *entrySet) join() *testEntry {
	c.lastID++
	e := &testEntry{
		Dispatcher: &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(c.lastID, 2))},
		node:       shares.Node{ID: fmt.Sprintf("e%04d", c.lastID), Zone: fmt.Sprint(c.lastID % 5)},
	}
	c.entries = append(c.entries, e)

	return e
}

func (c *entrySet) roster() []shares.Node {
	out := make([]shares.Node, 0, len(c.entries))
	for _, e := range c.entries {
		out = append(out, e.node)
	}

	return out
}

// updateTargets lets an entry know its targets by a matching, which may be of a wrong roster.
func (c *entrySet) updateTargets(now time.Time, e *testEntry, matching *shares.Matching) {
	subset := matching.Targets(e.node.ID)

	var targets []dispatch.Target

	for _, t := range c.targets {
		if s, ok := subset[t.ID]; ok {
			t.Share = s
			targets = append(targets, t)
		}
	}

	c.apply(now, e, e.Update(now, []dispatch.Service{c.service}, targets))
}

func (c *entrySet) apply(now time.Time, e *testEntry, actions []dispatch.Action) bool {
	placed := false

	for _, a := range actions {
		if a.Placed {
			placed = true
			e.placed = append(e.placed, a)
			c.sent[a.Target.ID] = append(c.sent[a.Target.ID], now)
		}
	}

	return placed
}

// fill lets an entry place as many requests as it may.
func (c *entrySet) fill(now time.Time, e *testEntry) {
	for {
		c.lastID++
		r := dispatch.Request{ID: c.lastID, Service: c.service.Name, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)}

		if !c.apply(now, e, e.Submit(now, r)) {
			e.Cancel(c.service.Name, c.lastID)

			return
		}
	}
}

// finishAll ends all requests of an entry.
func (c *entrySet) finishAll(now time.Time, e *testEntry) {
	for _, a := range e.placed {
		c.apply(now, e, e.Finish(now, a, 1, dispatch.Completed))
	}

	e.placed = nil
}

// maxPerSecond is how many requests some target got in some second.
func (c *entrySet) maxPerSecond() int {
	maximum := 0

	for _, times := range c.sent {
		first := 0

		for i := range times {
			for times[i].Sub(times[first]) >= time.Second {
				first++
			}

			maximum = max(maximum, i-first+1)
		}
	}

	return maximum
}

// total is how many requests were sent at from or later.
func (c *entrySet) total(from time.Time) int {
	n := 0

	for _, times := range c.sent {
		for _, at := range times {
			if !at.Before(from) {
				n++
			}
		}
	}

	return n
}

// All targets come back cold and every entry has more callers than they bear. Guards
// against a limit that is divided by the number of entries with one as the least: 39
// entries sent 32 requests in a second to a target that bears 30.
func TestColdLimitHoldsAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	const perSecond, seconds = 17, 4

	for _, targets := range []int{12, 129} {
		for _, entries := range entryCounts {
			t.Run(fmt.Sprintf("%d targets, %d entries", targets, entries), func(t *testing.T) {
				t.Parallel()

				c := newEntrySet(entries, targets, dispatch.Service{Name: "drafts", ColdPerSecond: perSecond}, func(t *dispatch.Target) {
					t.ColdUntil = startTime.Add(time.Hour)
				})

				for tick := range seconds * 5 {
					now := startTime.Add(time.Duration(tick) * 200 * time.Millisecond)

					for _, e := range c.entries {
						c.fill(now, e)
						c.finishAll(now, e)
					}
				}

				require.LessOrEqual(t, float64(c.maxPerSecond()), perSecond*coldOvershoot+coldSlack, "at one target in one second")

				// In their first second entries may know few of each other, and take less.
				used := float64(c.total(startTime.Add(time.Second))) / float64(targets*perSecond*(seconds-1))
				require.GreaterOrEqual(t, used, minUsedFraction, "of what the targets bear")
			})
		}
	}
}

// Entries come and know only half of the others, and entries go while some still count
// them. Guards against targets that break down since all of them together send too much
// until their lists agree.
func TestColdLimitHoldsWhileEntriesAreReplaced(t *testing.T) {
	t.Parallel()

	const perSecond = 17

	for _, entries := range entryCounts {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()

			r := rand.New(rand.NewPCG(uint64(entries), 1))
			c := newEntrySet(entries, 129, dispatch.Service{Name: "drafts", ColdPerSecond: perSecond}, func(t *dispatch.Target) {
				t.ColdUntil = startTime.Add(time.Hour)
			})
			updateAt := map[*testEntry]time.Time{}
			all := c.match(c.roster())

			for tick := range 30 {
				now := startTime.Add(time.Duration(tick) * 200 * time.Millisecond)

				if tick%10 == 9 {
					c.replaceEntries(r, now, updateAt)
					all = c.match(c.roster())
				}

				for _, e := range c.entries {
					if at, ok := updateAt[e]; ok && !now.Before(at) {
						delete(updateAt, e)
						c.updateTargets(now, e, all)
					}

					c.fill(now, e)
					c.finishAll(now, e)
				}
			}

			require.LessOrEqual(t, float64(c.maxPerSecond()), perSecond*coldOvershoot+coldSlack)
		})
	}
}

// replaceEntries lets a tenth of the entries go and as many come. Who comes knows a half of the
// others for 0.6 s, and each of the others hears of the change within a second.
func (c *entrySet) replaceEntries(r *rand.Rand, now time.Time, updateAt map[*testEntry]time.Time) {
	n := (len(c.entries) + 9) / 10
	c.entries = slices.Delete(c.entries, 0, n)

	for _, e := range c.entries {
		updateAt[e] = now.Add(time.Duration(r.IntN(1000)) * time.Millisecond)
	}

	for range n {
		e := c.join()
		half := slices.DeleteFunc(c.roster(), func(p shares.Node) bool { return p.ID != e.node.ID && r.IntN(2) == 0 })
		c.updateTargets(now, e, c.match(half))

		updateAt[e] = now.Add(600 * time.Millisecond)
	}
}

// Every entry has more callers than there are connections. Guards against more connections
// to a target than it takes, which resets those beyond, and against entries that get none.
func TestConnectionsAreSharedAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	const targets = 6

	for _, connections := range []int{52, 480} {
		for _, entries := range entryCounts {
			t.Run(fmt.Sprintf("%d connections, %d entries", connections, entries), func(t *testing.T) {
				t.Parallel()

				c := newEntrySet(entries, targets, dispatch.Service{Name: "desk", MaxConnections: connections}, func(t *dispatch.Target) { t.Slots = 0 })
				for _, e := range c.entries {
					c.fill(startTime, e)
				}

				for target, times := range c.sent {
					require.LessOrEqual(t, len(times), connections, target)
				}

				require.GreaterOrEqual(t, float64(c.total(startTime)), minUsedFraction*float64(targets*connections))
			})
		}
	}
}

// A group opens with callers waiting at every entry. Guards against a share with one as
// the least, by which 39 entries gave each target 39 drafts for its 6 slots.
func TestRecoveredGroupIsSharedAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	for _, shape := range []struct{ targets, slots int }{{12, 12}, {63, 10}, {129, 6}} {
		for _, entries := range entryCounts {
			t.Run(fmt.Sprintf("%d targets, %d entries", shape.targets, entries), func(t *testing.T) {
				t.Parallel()

				c := newEntrySet(entries, shape.targets, dispatch.Service{Name: "drafts", Streams: true}, func(t *dispatch.Target) { t.Slots = shape.slots })
				for _, e := range c.entries {
					c.fill(startTime, e)
				}

				for target, times := range c.sent {
					require.LessOrEqual(t, len(times), shape.slots, target)
				}

				require.GreaterOrEqual(t, c.total(startTime), shape.targets*shape.slots/2)
			})
		}
	}
}

// Callers come to one entry alone while a service's targets are cold. Guards against an
// entry that has no part of a limit for good: it gets its turn.
func TestEveryEntryGetsATurnAtColdTargets(t *testing.T) {
	t.Parallel()

	for _, entries := range entryCounts {
		c := newEntrySet(entries, 12, dispatch.Service{Name: "drafts", ColdPerSecond: 17}, func(t *dispatch.Target) { t.ColdUntil = startTime.Add(time.Hour) })

		for _, e := range c.entries[:min(entries, 5)] {
			before := c.total(startTime)

			for tick := range 600 {
				now := startTime.Add(time.Duration(tick) * 200 * time.Millisecond)
				c.fill(now, e)
				c.finishAll(now, e)
			}

			require.Greater(t, c.total(startTime), before, "%d entries", entries)
		}
	}
}
