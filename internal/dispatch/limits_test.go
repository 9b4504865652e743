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

// entryCounts lists the numbers of entries with which shared limits are tested.
var entryCounts = []int{1, 3, 39, 77, 410}

const (
	// minUsedFraction is the fraction of a limit that the entries must be able to use
	// together.
	minUsedFraction = 0.8
	// coldOvershoot and coldSlack bound the requests that a cold target may receive in a
	// second beyond its declared limit.
	coldOvershoot = 1.5
	coldSlack     = 5
)

// entrySet is a set of entries that use the same targets.
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
	es := &entrySet{service: s, sent: map[string][]time.Time{}}

	for i := range targets {
		t := dispatch.Target{ID: fmt.Sprintf("t%03d", i), Service: s.Name, Zone: fmt.Sprint(i % 5), Slots: 6}
		if edit != nil {
			edit(&t)
		}

		es.targets = append(es.targets, t)
		es.nodes = append(es.nodes, shares.Node{ID: t.ID, Zone: t.Zone})
	}

	for range entries {
		es.join()
	}

	all := es.match(es.roster())
	for _, e := range es.entries {
		es.updateTargets(startTime, e, all)
	}

	return es
}

// match matches the entries of a roster with the targets.
func (es *entrySet) match(roster []shares.Node) *shares.Matching {
	return shares.Subsetter{Size: shares.SubsetSize(len(roster), len(es.targets))}.Match(roster, es.nodes)
}

// join adds an entry.
func (es *entrySet) join() *testEntry {
	es.lastID++
	e := &testEntry{
		Dispatcher: &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(es.lastID, 2))},
		node:       shares.Node{ID: fmt.Sprintf("e%04d", es.lastID), Zone: fmt.Sprint(es.lastID % 5)},
	}
	es.entries = append(es.entries, e)

	return e
}

func (es *entrySet) roster() []shares.Node {
	out := make([]shares.Node, 0, len(es.entries))
	for _, e := range es.entries {
		out = append(out, e.node)
	}

	return out
}

// updateTargets updates an entry with its targets from a matching, which may be based on an
// outdated roster.
func (es *entrySet) updateTargets(now time.Time, e *testEntry, matching *shares.Matching) {
	subset := matching.Targets(e.node.ID)

	var targets []dispatch.Target

	for _, t := range es.targets {
		if s, ok := subset[t.ID]; ok {
			t.Share = s
			targets = append(targets, t)
		}
	}

	es.apply(now, e, e.Update(now, []dispatch.Service{es.service}, targets))
}

func (es *entrySet) apply(now time.Time, e *testEntry, actions []dispatch.Action) bool {
	placed := false

	for _, a := range actions {
		if a.Placed {
			placed = true
			e.placed = append(e.placed, a)
			es.sent[a.Target.ID] = append(es.sent[a.Target.ID], now)
		}
	}

	return placed
}

// fill submits requests to an entry until one is not placed.
func (es *entrySet) fill(now time.Time, e *testEntry) { es.fillBy(now, e, now.Add(time.Second)) }

// fillBy submits requests with a soft deadline to an entry until one is not placed.
func (es *entrySet) fillBy(now time.Time, e *testEntry, softDeadline time.Time) {
	for {
		es.lastID++
		r := dispatch.Request{ID: es.lastID, Service: es.service.Name, SoftDeadline: softDeadline, Deadline: now.Add(time.Second)}

		if !es.apply(now, e, e.Submit(now, r)) {
			e.Cancel(es.service.Name, es.lastID)

			return
		}
	}
}

// finishAll completes all requests of an entry.
func (es *entrySet) finishAll(now time.Time, e *testEntry) {
	for _, a := range e.placed {
		es.apply(now, e, e.Finish(now, a, 1, dispatch.Completed))
	}

	e.placed = nil
}

// maxPerSecond returns the maximum number of requests that a target received within a
// second.
func (es *entrySet) maxPerSecond() int {
	maximum := 0

	for _, times := range es.sent {
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

// total returns the number of requests sent at from or later.
func (es *entrySet) total(from time.Time) int {
	n := 0

	for _, times := range es.sent {
		for _, at := range times {
			if !at.Before(from) {
				n++
			}
		}
	}

	return n
}

// All targets return cold, and every entry has more requests than they can process. Guards
// against dividing a limit by the number of entries with a minimum of one: 39 entries sent
// 32 requests in a second to a target with a limit of 30.
func TestColdLimitHoldsAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	const perSecond, seconds = 17, 4

	for _, targets := range []int{12, 129} {
		for _, entries := range entryCounts {
			t.Run(fmt.Sprintf("%d targets, %d entries", targets, entries), func(t *testing.T) {
				t.Parallel()

				es := newEntrySet(entries, targets, dispatch.Service{Name: "drafts", ColdPerSecond: perSecond}, func(t *dispatch.Target) {
					t.ColdUntil = startTime.Add(time.Hour)
				})

				for tick := range seconds * 5 {
					now := startTime.Add(time.Duration(tick) * 200 * time.Millisecond)

					for _, e := range es.entries {
						es.fill(now, e)
						es.finishAll(now, e)
					}
				}

				require.LessOrEqual(t, float64(es.maxPerSecond()), perSecond*coldOvershoot+coldSlack, "requests at one target in one second")

				// In their first second, entries may know only a few of the others, and use
				// less of the limit.
				used := float64(es.total(startTime.Add(time.Second))) / float64(targets*perSecond*(seconds-1))
				require.GreaterOrEqual(t, used, minUsedFraction, "fraction of the cold limit that was used")
			})
		}
	}
}

// Entries join and know only half of the others, and entries leave while some still count
// them. Guards against targets that fail because the entries together exceed the limit
// until their lists agree.
func TestColdLimitHoldsWhileEntriesAreReplaced(t *testing.T) {
	t.Parallel()

	const perSecond = 17

	for _, entries := range entryCounts {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()

			r := rand.New(rand.NewPCG(uint64(entries), 1))
			es := newEntrySet(entries, 129, dispatch.Service{Name: "drafts", ColdPerSecond: perSecond}, func(t *dispatch.Target) {
				t.ColdUntil = startTime.Add(time.Hour)
			})
			updateAt := map[*testEntry]time.Time{}
			all := es.match(es.roster())

			for tick := range 30 {
				now := startTime.Add(time.Duration(tick) * 200 * time.Millisecond)

				if tick%10 == 9 {
					es.replaceEntries(r, now, updateAt)
					all = es.match(es.roster())
				}

				for _, e := range es.entries {
					es.updateIfDue(now, e, all, updateAt)
					es.fill(now, e)
					es.finishAll(now, e)
				}
			}

			require.LessOrEqual(t, float64(es.maxPerSecond()), perSecond*coldOvershoot+coldSlack)
		})
	}
}

// updateIfDue updates an entry with its targets if the update that it waits for has arrived.
func (es *entrySet) updateIfDue(now time.Time, e *testEntry, all *shares.Matching, updateAt map[*testEntry]time.Time) {
	if at, ok := updateAt[e]; ok && !now.Before(at) {
		delete(updateAt, e)
		es.updateTargets(now, e, all)
	}
}

// replaceEntries removes a tenth of the entries and adds as many. A new entry knows half of
// the others for 0.6 s, and each of the others receives the update within a second.
func (es *entrySet) replaceEntries(r *rand.Rand, now time.Time, updateAt map[*testEntry]time.Time) {
	n := (len(es.entries) + 9) / 10
	es.entries = slices.Delete(es.entries, 0, n)

	for _, e := range es.entries {
		updateAt[e] = now.Add(time.Duration(r.IntN(1000)) * time.Millisecond)
	}

	for range n {
		e := es.join()
		half := slices.DeleteFunc(es.roster(), func(p shares.Node) bool { return p.ID != e.node.ID && r.IntN(2) == 0 })
		es.updateTargets(now, e, es.match(half))

		updateAt[e] = now.Add(600 * time.Millisecond)
	}
}

// Every entry has more requests than there are connections. Guards against more connections
// to a target than it accepts, because it resets the excess ones, and against entries
// without any connection.
func TestConnectionsAreSharedAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	const targets = 6

	for _, connections := range []int{52, 480} {
		for _, entries := range entryCounts {
			t.Run(fmt.Sprintf("%d connections, %d entries", connections, entries), func(t *testing.T) {
				t.Parallel()

				es := newEntrySet(entries, targets, dispatch.Service{Name: "desk", MaxConnections: connections}, func(t *dispatch.Target) { t.Slots = 0 })
				for _, e := range es.entries {
					es.fill(startTime, e)
				}

				for target, times := range es.sent {
					require.LessOrEqual(t, len(times), connections, target)
				}

				require.GreaterOrEqual(t, float64(es.total(startTime)), minUsedFraction*float64(targets*connections))
			})
		}
	}
}

// All entries restart, and the callers of the outage return at once, late already. Guards
// against late requests that use the whole share of an entry, so that new requests wait for a
// second until the entry may borrow, or until streams end.
func TestLateRequestsLeaveAPartOfEachShare(t *testing.T) {
	t.Parallel()

	const targets, slots = 64, 10

	for _, entries := range []int{1, 3, 18, 39, 77} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			t.Parallel()

			es := newEntrySet(entries, targets, dispatch.Service{Name: "drafts", Streams: true}, func(t *dispatch.Target) { t.Slots = slots })
			for _, e := range es.entries {
				es.fillBy(startTime, e, startTime)
			}

			late := es.total(startTime)

			for _, e := range es.entries {
				es.fill(startTime, e)
			}

			all := es.total(startTime)
			require.Positive(t, late)
			require.GreaterOrEqual(t, float64(all-late), 0.3*float64(all), "%d late of %d", late, all)
		})
	}
}

// A group recovers with requests waiting at every entry. Guards against shares with a
// minimum of one: 39 entries placed 39 requests at each target with 6 slots.
func TestRecoveredGroupIsSharedAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	for _, shape := range []struct{ targets, slots int }{{12, 12}, {63, 10}, {129, 6}} {
		for _, entries := range entryCounts {
			t.Run(fmt.Sprintf("%d targets, %d entries", shape.targets, entries), func(t *testing.T) {
				t.Parallel()

				es := newEntrySet(entries, shape.targets, dispatch.Service{Name: "drafts", Streams: true}, func(t *dispatch.Target) { t.Slots = shape.slots })
				for _, e := range es.entries {
					es.fill(startTime, e)
				}

				for target, times := range es.sent {
					require.LessOrEqual(t, len(times), shape.slots, target)
				}

				require.GreaterOrEqual(t, es.total(startTime), shape.targets*shape.slots/2)
			})
		}
	}
}

// While the targets of a service are cold, requests arrive at a single entry. Guards
// against an entry that never has a share of a limit: the shares must rotate.
func TestEveryEntryGetsATurnAtColdTargets(t *testing.T) {
	t.Parallel()

	for _, entries := range entryCounts {
		es := newEntrySet(entries, 12, dispatch.Service{Name: "drafts", ColdPerSecond: 17}, func(t *dispatch.Target) { t.ColdUntil = startTime.Add(time.Hour) })

		for _, e := range es.entries[:min(entries, 5)] {
			before := es.total(startTime)

			for tick := range 600 {
				now := startTime.Add(time.Duration(tick) * 200 * time.Millisecond)
				es.fill(now, e)
				es.finishAll(now, e)
			}

			require.Greater(t, es.total(startTime), before, "%d entries", entries)
		}
	}
}

// rateLimitOvershoot and rateLimitSlack bound the requests that a target receives in
// rateLimitWindow beyond the limit that it states.
const (
	rateLimitOvershoot = 1.5
	rateLimitSlack     = 5
	rateLimitWindow    = 4 * time.Second
)

// maxPerWindow returns the maximum number of requests that a target received in a window that
// begins at from or later.
func (es *entrySet) maxPerWindow(target string, from time.Time, window time.Duration) int {
	maximum, first := 0, 0
	times := slices.DeleteFunc(slices.Clone(es.sent[target]), func(at time.Time) bool { return at.Before(from) })

	for i := range times {
		for times[i].Sub(times[first]) > window {
			first++
		}

		maximum = max(maximum, i-first+1)
	}

	return maximum
}

// answerAll completes all requests of an entry. The answers of one target state a limit.
func (es *entrySet) answerAll(now time.Time, e *testEntry, limited string, l dispatch.RateLimit) {
	for _, a := range e.placed {
		if a.Target.ID == limited {
			e.ReportRateLimit(now, a, l)
		}
	}

	es.finishAll(now, e)
}

// Every entry has more requests than a target accepts that states a rate limit. Guards against
// entries that do not heed the limit, or each as if it were its own.
func TestRateLimitHoldsAtAnyNumberOfEntries(t *testing.T) {
	t.Parallel()

	const seconds, targets, limited = 24, 3, "t001"

	for _, perSecond := range []float64{0, 0.3, 1, 1.1, 5, 40} {
		for _, entries := range append([]int{2, 7}, entryCounts...) {
			t.Run(fmt.Sprintf("%g a second, %d entries", perSecond, entries), func(t *testing.T) {
				t.Parallel()

				es := newEntrySet(entries, targets, dispatch.Service{Name: "desk"}, nil)
				heardAt := startTime.Add(time.Second)

				for tick := range seconds * 5 {
					now := startTime.Add(time.Duration(tick) * 200 * time.Millisecond)
					limit := dispatch.RateLimit{PerSecond: perSecond, Stated: !now.Before(heardAt)}

					for _, e := range es.entries {
						es.fill(now, e)
						es.answerAll(now, e, limited, limit)
					}
				}

				from := heardAt.Add(200 * time.Millisecond)
				allowed := rateLimitOvershoot*perSecond*rateLimitWindow.Seconds() + rateLimitSlack
				require.LessOrEqual(t, float64(es.maxPerWindow(limited, from, rateLimitWindow)), allowed, "requests at the target")
				require.Greater(t, es.maxPerWindow("t000", from, time.Second), entries, "requests at a target without a limit")

				if used := float64(len(es.sent[limited])); perSecond >= 1 {
					require.GreaterOrEqual(t, used, minUsedFraction*perSecond*(seconds-6), "requests that the target accepts")
				}
			})
		}
	}
}

// Guards against cold targets that get several times their limit from entries that have started and
// are told of few others by a control VM with an empty disk.
func TestColdLimitIsUsedInPartWhileTheRosterIsIncomplete(t *testing.T) {
	t.Parallel()

	placed := func(incomplete bool) int {
		d := &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 2)), RosterIncomplete: incomplete}
		now := startTime
		target := dispatch.Target{ID: "t", Service: "desk", Slots: 200, ColdUntil: now.Add(time.Minute)}
		d.Update(now, []dispatch.Service{{Name: "desk", ColdPerSecond: 40}}, []dispatch.Target{target})

		now = now.Add(5 * time.Second) // longer than any entry counts as new
		n := 0

		for id := range uint64(100) {
			for _, a := range d.Submit(now, dispatch.Request{ID: id + 1, Service: "desk", Work: 1, Deadline: now.Add(time.Second), SoftDeadline: now.Add(time.Second)}) {
				if a.Placed {
					n++
				}
			}
		}

		return n
	}

	whole := placed(false)
	require.Greater(t, whole, 20)
	require.LessOrEqual(t, placed(true), (whole+3)/4)
	require.Positive(t, placed(true))
}
