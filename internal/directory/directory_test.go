package directory_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/directory"
)

var begin = time.Unix(1000, 0)

func newTarget(id string, startTime int64, sequence uint64, edit func(t *directory.Target)) directory.Target {
	t := directory.Target{
		ID: id, StartTime: startTime, Sequence: sequence, Service: "drafts", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", Slots: 12,
	}
	if edit != nil {
		edit(&t)
	}

	return t
}

func draining(t *directory.Target) { t.State = directory.Draining }

func withAddress(addr string) func(*directory.Target) {
	return func(t *directory.Target) { t.Address = netip.MustParseAddrPort(addr) }
}

// fixture is the registry of a control VM and the merged targets of an entry that follows
// it.
type fixture struct {
	registry directory.Registry
	merged   directory.MergedTargets
	revision uint64
}

func newFixture() *fixture {
	return &fixture{registry: directory.Registry{AnnounceTimeout: 3600 * time.Millisecond}}
}

func (w *fixture) follow() {
	ts := w.registry.ChangedSince(w.revision)
	w.revision = w.registry.Revision()
	w.merged.Merge(ts)
}

func (w *fixture) states() map[string]directory.State {
	w.follow()

	out := map[string]directory.State{}
	for _, t := range w.merged.Targets() {
		out[t.ID] = t.State
	}

	return out
}

// An announcement that a target sent before it began to drain arrives late. If the order of
// sequence numbers were ignored, the target would get new work again.
func TestLateAnnouncementIsIgnored(t *testing.T) {
	t.Parallel()

	w := newFixture()
	require.True(t, w.registry.Announce(begin, newTarget("i1", 5, 1, nil)))
	require.True(t, w.registry.Announce(begin, newTarget("i1", 5, 3, draining)))
	require.False(t, w.registry.Announce(begin, newTarget("i1", 5, 2, nil)))
	require.Equal(t, map[string]directory.State{"i1": directory.Draining}, w.states())

	w.registry.Leave(begin, "i1", 1)
	require.False(t, w.registry.Announce(begin, newTarget("i1", 5, 9, nil)), "sent before the target ended, but received later")
	require.Empty(t, w.states())

	require.True(t, w.registry.Announce(begin, newTarget("i1", 6, 1, nil)), "a new start under the same ID restarts the sequence")
	require.Equal(t, map[string]directory.State{"i1": directory.Ready}, w.states())
}

// A target crashes and its address is reused by a target of another service. An
// announcement of the first one, delayed by a partition, must not take the address back.
func TestNewestTargetHoldsAnAddress(t *testing.T) {
	t.Parallel()

	w := newFixture()
	w.registry.Announce(begin, newTarget("old", 5, 1, nil))
	w.registry.Announce(begin, newTarget("new", 8, 1, func(t *directory.Target) { t.Service = "desk" }))
	require.Equal(t, map[string]directory.State{"new": directory.Ready}, w.states())

	w.registry.Announce(begin, newTarget("old", 5, 7, nil))
	require.Equal(t, map[string]directory.State{"new": directory.Ready}, w.states())

	// The same must hold if another control VM received the delayed announcement.
	other := newFixture()
	other.registry.Announce(begin, newTarget("old", 5, 9, nil))
	w.merged.Merge(other.registry.ChangedSince(0))
	require.Equal(t, map[string]directory.State{"new": directory.Ready}, w.states())
}

// A target deregisters at a control VM that has just started and does not know it. An entry
// that received the target from another control VM must remove it nevertheless.
func TestLeaveOfUnknownTargetRemovesIt(t *testing.T) {
	t.Parallel()

	first, second := newFixture(), newFixture()
	first.registry.Announce(begin, newTarget("i1", 5, 4, nil))
	second.registry.Leave(begin, "i1", 2)

	var m directory.MergedTargets

	require.True(t, m.Merge(first.registry.ChangedSince(0)))
	require.True(t, m.Merge(second.registry.ChangedSince(0)))
	require.Empty(t, m.Targets())
	require.False(t, m.Merge(first.registry.ChangedSince(0)), "the first control VM still publishes the ended target")
}

// A target that crashes counts as unresponsive after its third missing announcement, but
// not before: an announcement may be late, or go to another control VM.
func TestTargetIsUnresponsiveAfterTimeout(t *testing.T) {
	t.Parallel()

	w := newFixture()
	w.registry.Announce(begin, newTarget("i1", 5, 1, nil))
	require.False(t, w.registry.Tick(begin.Add(3500*time.Millisecond)))
	require.Equal(t, directory.Ready, w.states()["i1"])
	require.True(t, w.registry.Tick(begin.Add(3700*time.Millisecond)))
	require.Equal(t, directory.Unresponsive, w.states()["i1"])

	w.registry.Announce(begin.Add(4*time.Second), newTarget("i1", 5, 2, nil))
	require.Equal(t, directory.Ready, w.states()["i1"])
}

// A target's announcements move to another control VM. The previous one publishes the
// target as unresponsive; the entry must use the state of the one that still receives
// announcements.
func TestNewerAnnouncementOverridesUnresponsive(t *testing.T) {
	t.Parallel()

	previous, current := newFixture(), newFixture()
	previous.registry.Announce(begin, newTarget("i1", 5, 1, nil))
	current.registry.Announce(begin, newTarget("i1", 5, 2, nil))

	var m directory.MergedTargets

	m.Merge(previous.registry.ChangedSince(0))
	m.Merge(current.registry.ChangedSince(0))

	previous.registry.Tick(begin.Add(5 * time.Second))
	m.Merge(previous.registry.ChangedSince(0))
	require.Equal(t, directory.Ready, m.Targets()[0].State)
}

// Most announcements repeat the previous one. They are published only occasionally, so that
// a thousand targets do not wake every entry a thousand times a second.
func TestUnchangedAnnouncementsAreRarelyPublished(t *testing.T) {
	t.Parallel()

	r := directory.Registry{AnnounceTimeout: time.Minute}
	published := 0

	for i := range 100 {
		before := r.Revision()
		neededNow := r.Announce(begin.Add(time.Duration(i)*100*time.Millisecond), newTarget("i1", 5, uint64(i), nil))
		require.Equal(t, i == 0, neededNow, "only the first announcement says anything new")

		if r.Revision() > before {
			published++
		}
	}

	require.Equal(t, 4, published)
}

// Guards against a directory of thousands of targets that keeps every process busy although
// nothing changes: a control VM published each of them every three seconds, and each time
// entries and directing agents sorted all targets.
func TestLargeDirectoryIsQuiet(t *testing.T) {
	t.Parallel()

	const targets, seconds = 430, 60

	w := newFixture()
	published, merged := 0, 0

	for second := range seconds {
		for i := range targets {
			target := newTarget(fmt.Sprintf("i%03d", i), 5, uint64(second+1), withAddress(fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1)))
			before := w.registry.Revision()
			require.Equal(t, second == 0, w.registry.Announce(begin.Add(time.Duration(second)*time.Second), target))

			if w.registry.Revision() > before {
				published++
			}
		}

		ts := w.registry.ChangedSince(w.revision)
		w.revision = w.registry.Revision()

		if w.merged.Merge(ts) {
			merged++
		}
	}

	require.Len(t, w.merged.Targets(), targets)
	require.Equal(t, 1, merged, "only the first announcement says anything new")
	require.Less(t, float64(published)/seconds, 50.0, "per second")
}

// Guards against control VMs that each repeat their own targets as often as if they had all of
// them: ten of them then repeat ten times as much to each entry.
func TestRepeatedTargetsAreBoundedOverAllControlVMs(t *testing.T) {
	t.Parallel()

	publishedPerSecond := func(registries, targets int) float64 {
		const seconds = 60

		published := uint64(0)

		for k := range registries {
			r := directory.Registry{AnnounceTimeout: 9 * time.Second, Registries: registries}

			for second := 0; second <= seconds; second += 3 {
				for i := k; i < targets; i += registries {
					r.Announce(begin.Add(time.Duration(second)*time.Second), newTarget(fmt.Sprint("i", i), 5, uint64(second+1), withAddress(fmt.Sprintf("10.0.%d.%d:80", i/200, i%200+1))))
				}
			}

			published += r.Revision()
		}

		return float64(published-uint64(targets)) / seconds
	}

	require.LessOrEqual(t, publishedPerSecond(10, 700), 1.3*publishedPerSecond(1, 700))
	require.LessOrEqual(t, publishedPerSecond(10, 1400), 1.3*publishedPerSecond(10, 700))
}

// The acknowledgement of an announcement is lost, so that the target sends the next one to
// another control VM, and comes back at once. Guards against the other one's later state, which
// would count until this control VM publishes the target again.
func TestTargetThatSentOneAnnouncementElsewhereIsPublishedAtOnce(t *testing.T) {
	t.Parallel()

	first, other := newFixture(), newFixture()
	for i := range 4 {
		first.registry.Announce(begin.Add(time.Duration(i)*time.Second), newTarget("i1", 5, uint64(i+1), nil))
	}

	other.registry.Announce(begin.Add(3500*time.Millisecond), newTarget("i1", 5, 5, nil))
	require.True(t, first.registry.Announce(begin.Add(4*time.Second), newTarget("i1", 5, 6, nil)))
	require.False(t, first.registry.Announce(begin.Add(5*time.Second), newTarget("i1", 5, 7, nil)))
	other.registry.Tick(begin.Add(20 * time.Second))

	var m directory.MergedTargets

	m.Merge(first.registry.ChangedSince(0))
	m.Merge(other.registry.ChangedSince(0))
	require.Equal(t, directory.Ready, m.Targets()[0].State)
}

// A target announces itself to another control VM for a while and comes back. Guards against
// the other one's later state, which counts until this control VM publishes a higher sequence
// number.
func TestTargetThatComesBackIsPublishedAtOnce(t *testing.T) {
	t.Parallel()

	first, other := newFixture(), newFixture()
	first.registry.Announce(begin, newTarget("i1", 5, 1, nil))
	other.registry.Announce(begin.Add(time.Second), newTarget("i1", 5, 2, nil))
	require.True(t, first.registry.Announce(begin.Add(2*time.Second), newTarget("i1", 5, 3, nil)))
	other.registry.Tick(begin.Add(6 * time.Second))

	var m directory.MergedTargets

	m.Merge(first.registry.ChangedSince(0))
	m.Merge(other.registry.ChangedSince(0))
	require.Equal(t, directory.Ready, m.Targets()[0].State)
}

func TestColdStartIsPublishedOnceAndWhenItEnds(t *testing.T) {
	t.Parallel()

	r := directory.Registry{AnnounceTimeout: time.Minute}
	cold := func(remaining time.Duration, now time.Time) func(*directory.Target) {
		return func(t *directory.Target) { t.ColdUntil = now.Add(remaining) }
	}
	next := begin.Add(time.Second)

	require.True(t, r.Announce(begin, newTarget("i1", 5, 1, cold(3*time.Second, begin))))
	require.False(t, r.Announce(next, newTarget("i1", 5, 2, cold(2*time.Second, next))), "the cold time decreases as announced before")
	require.True(t, r.Announce(next, newTarget("i1", 5, 3, nil)))
	require.True(t, r.Announce(next, newTarget("i1", 5, 4, cold(3*time.Second, next))), "the target became cold again")
}

func TestWireRoundTrip(t *testing.T) {
	t.Parallel()

	want := newTarget("i1", 5, 4, func(t *directory.Target) {
		withAddress("10.0.0.9:81")(t)
		t.ColdUntil = begin.Add(2 * time.Second)
		t.Group = directory.Group{Name: "g", Epoch: 2, Rank: 3, Size: 12, Broken: true}
		t.State = directory.Unresponsive
	})

	got, err := directory.FromWire(want.ToWire(begin), begin)
	require.NoError(t, err)
	require.WithinDuration(t, want.ColdUntil, got.ColdUntil, 2*time.Millisecond)

	got.ColdUntil = want.ColdUntil
	require.Equal(t, want, got)

	w := want.ToWire(begin)
	w.Address = "nowhere"
	_, err = directory.FromWire(w, begin)
	require.Error(t, err)
}
