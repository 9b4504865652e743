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

// sizes are the numbers of entries at which limits that they hold together are tested.
var sizes = []int{1, 3, 39, 77, 410}

const (
	// least is the part of a limit that entries must be able to use together.
	least = 0.8
	// coldOvershoot and coldSlack bound what a cold target may get in a second beyond what it declares.
	coldOvershoot = 1.5
	coldSlack     = 5
)

// crowd is a number of entries that use the same targets.
type crowd struct {
	service dispatch.Service
	targets []dispatch.Target
	places  []shares.Node
	entries []*crowdEntry
	id      uint64
	sent    map[string][]time.Time
}

type crowdEntry struct {
	*dispatch.Dispatcher

	place  shares.Node
	placed []dispatch.Action
}

func newCrowd(entries, targets int, s dispatch.Service, edit func(*dispatch.Target)) *crowd {
	c := &crowd{service: s, sent: map[string][]time.Time{}}

	for i := range targets {
		t := dispatch.Target{ID: fmt.Sprintf("t%03d", i), Service: s.Name, Zone: fmt.Sprint(i % 5), Slots: 6}
		if edit != nil {
			edit(&t)
		}

		c.targets = append(c.targets, t)
		c.places = append(c.places, shares.Node{ID: t.ID, Zone: t.Zone})
	}

	for range entries {
		c.join()
	}

	all := c.match(c.roster())
	for _, e := range c.entries {
		c.tell(begin, e, all)
	}

	return c
}

// match matches the entries of a roster with the targets.
func (c *crowd) match(roster []shares.Node) *shares.Matching {
	return shares.Subsetter{Size: shares.SubsetSize(len(roster), len(c.targets))}.Match(roster, c.places)
}

// join adds an entry.
func (c *crowd) join() *crowdEntry {
	c.id++
	e := &crowdEntry{
		Dispatcher: &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(c.id, 2))},
		place:      shares.Node{ID: fmt.Sprintf("e%04d", c.id), Zone: fmt.Sprint(c.id % 5)},
	}
	c.entries = append(c.entries, e)

	return e
}

func (c *crowd) roster() []shares.Node {
	out := make([]shares.Node, 0, len(c.entries))
	for _, e := range c.entries {
		out = append(out, e.place)
	}

	return out
}

// tell lets an entry know its targets by a matching, which may be of a wrong roster.
func (c *crowd) tell(now time.Time, e *crowdEntry, by *shares.Matching) {
	mine := by.Targets(e.place.ID)

	var targets []dispatch.Target

	for _, t := range c.targets {
		if s, ok := mine[t.ID]; ok {
			t.Share = s
			targets = append(targets, t)
		}
	}

	c.take(now, e, e.Update(now, []dispatch.Service{c.service}, targets))
}

func (c *crowd) take(now time.Time, e *crowdEntry, actions []dispatch.Action) bool {
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
func (c *crowd) fill(now time.Time, e *crowdEntry) {
	for {
		c.id++
		r := dispatch.Request{ID: c.id, Service: c.service.Name, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)}

		if !c.take(now, e, e.Submit(now, r)) {
			e.Cancel(c.service.Name, c.id)

			return
		}
	}
}

// end ends all requests of an entry.
func (c *crowd) end(now time.Time, e *crowdEntry) {
	for _, a := range e.placed {
		c.take(now, e, e.Finish(now, a, 1, dispatch.Completed))
	}

	e.placed = nil
}

// mostPerSecond is how many requests some target got in some second.
func (c *crowd) mostPerSecond() int {
	most := 0

	for _, times := range c.sent {
		first := 0

		for i := range times {
			for times[i].Sub(times[first]) >= time.Second {
				first++
			}

			most = max(most, i-first+1)
		}
	}

	return most
}

// total is how many requests were sent at from or later.
func (c *crowd) total(from time.Time) int {
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
		for _, entries := range sizes {
			t.Run(fmt.Sprintf("%d targets, %d entries", targets, entries), func(t *testing.T) {
				t.Parallel()

				c := newCrowd(entries, targets, dispatch.Service{Name: "drafts", ColdPerSecond: perSecond}, func(t *dispatch.Target) {
					t.ColdUntil = begin.Add(time.Hour)
				})

				for tick := range seconds * 5 {
					now := begin.Add(time.Duration(tick) * 200 * time.Millisecond)

					for _, e := range c.entries {
						c.fill(now, e)
						c.end(now, e)
					}
				}

				require.LessOrEqual(t, float64(c.mostPerSecond()), perSecond*coldOvershoot+coldSlack, "at one target in one second")

				// In their first second entries may know few of each other, and take less.
				used := float64(c.total(begin.Add(time.Second))) / float64(targets*perSecond*(seconds-1))
				require.GreaterOrEqual(t, used, least, "of what the targets bear")
			})
		}
	}
}

// Entries come and know only half of the others, and entries go while some still count
// them. Guards against targets that break down since all of them together send too much
// until their lists agree.
func TestColdLimitHoldsWhileEntriesComeAndGo(t *testing.T) {
	t.Parallel()

	const perSecond = 17

	for _, entries := range sizes {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()

			r := rand.New(rand.NewPCG(uint64(entries), 1))
			c := newCrowd(entries, 129, dispatch.Service{Name: "drafts", ColdPerSecond: perSecond}, func(t *dispatch.Target) {
				t.ColdUntil = begin.Add(time.Hour)
			})
			told := map[*crowdEntry]time.Time{}
			all := c.match(c.roster())

			for tick := range 30 {
				now := begin.Add(time.Duration(tick) * 200 * time.Millisecond)

				if tick%10 == 9 {
					c.turnOver(r, now, told)
					all = c.match(c.roster())
				}

				for _, e := range c.entries {
					if at, ok := told[e]; ok && !now.Before(at) {
						delete(told, e)
						c.tell(now, e, all)
					}

					c.fill(now, e)
					c.end(now, e)
				}
			}

			require.LessOrEqual(t, float64(c.mostPerSecond()), perSecond*coldOvershoot+coldSlack)
		})
	}
}

// turnOver lets a tenth of the entries go and as many come. Who comes knows a half of the
// others for 0.6 s, and each of the others hears of the change within a second.
func (c *crowd) turnOver(r *rand.Rand, now time.Time, told map[*crowdEntry]time.Time) {
	n := (len(c.entries) + 9) / 10
	c.entries = slices.Delete(c.entries, 0, n)

	for _, e := range c.entries {
		told[e] = now.Add(time.Duration(r.IntN(1000)) * time.Millisecond)
	}

	for range n {
		e := c.join()
		half := slices.DeleteFunc(c.roster(), func(p shares.Node) bool { return p.ID != e.place.ID && r.IntN(2) == 0 })
		c.tell(now, e, c.match(half))

		told[e] = now.Add(600 * time.Millisecond)
	}
}

// Every entry has more callers than there are connections. Guards against more connections
// to a target than it takes, which resets those beyond, and against entries that get none.
func TestConnectionsAreSharedAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	const targets = 6

	for _, most := range []int{52, 480} {
		for _, entries := range sizes {
			t.Run(fmt.Sprintf("%d connections, %d entries", most, entries), func(t *testing.T) {
				t.Parallel()

				c := newCrowd(entries, targets, dispatch.Service{Name: "desk", MaxConnections: most}, func(t *dispatch.Target) { t.Slots = 0 })
				for _, e := range c.entries {
					c.fill(begin, e)
				}

				for target, times := range c.sent {
					require.LessOrEqual(t, len(times), most, target)
				}

				require.GreaterOrEqual(t, float64(c.total(begin)), least*float64(targets*most))
			})
		}
	}
}

// A group opens with callers waiting at every entry. Guards against a share with one as
// the least, by which 39 entries gave each target 39 drafts for its 6 slots.
func TestGroupThatOpensIsSharedAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	for _, shape := range []struct{ targets, slots int }{{12, 12}, {63, 10}, {129, 6}} {
		for _, entries := range sizes {
			t.Run(fmt.Sprintf("%d targets, %d entries", shape.targets, entries), func(t *testing.T) {
				t.Parallel()

				c := newCrowd(entries, shape.targets, dispatch.Service{Name: "drafts", Streams: true}, func(t *dispatch.Target) { t.Slots = shape.slots })
				for _, e := range c.entries {
					c.fill(begin, e)
				}

				for target, times := range c.sent {
					require.LessOrEqual(t, len(times), shape.slots, target)
				}

				require.GreaterOrEqual(t, c.total(begin), shape.targets*shape.slots/2)
			})
		}
	}
}

// Callers come to one entry alone while a service's targets are cold. Guards against an
// entry that has no part of a limit for good: it gets its turn.
func TestNoEntryIsWithoutItsTurn(t *testing.T) {
	t.Parallel()

	for _, entries := range sizes {
		c := newCrowd(entries, 12, dispatch.Service{Name: "drafts", ColdPerSecond: 17}, func(t *dispatch.Target) { t.ColdUntil = begin.Add(time.Hour) })

		for _, e := range c.entries[:min(entries, 5)] {
			before := c.total(begin)

			for tick := range 600 {
				now := begin.Add(time.Duration(tick) * 200 * time.Millisecond)
				c.fill(now, e)
				c.end(now, e)
			}

			require.Greater(t, c.total(begin), before, "%d entries", entries)
		}
	}
}
