package directory_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/directory"
)

var begin = time.Unix(1000, 0)

func target(id string, born int64, seq uint64, edit func(t *directory.Target)) directory.Target {
	t := directory.Target{
		ID: id, StartTime: born, Sequence: seq, Service: "drafts", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "a", Slots: 12,
	}
	if edit != nil {
		edit(&t)
	}

	return t
}

func draining(t *directory.Target) { t.State = directory.Draining }

func at(addr string) func(*directory.Target) {
	return func(t *directory.Target) { t.Address = netip.MustParseAddrPort(addr) }
}

// world is a control VM's directory and the entry that follows it.
type world struct {
	heard  directory.Registry
	merged directory.MergedTargets
	seen   uint64
}

func newWorld() *world {
	return &world{heard: directory.Registry{AnnounceTimeout: 3600 * time.Millisecond}}
}

func (w *world) follow() {
	ts := w.heard.ChangedSince(w.seen)
	w.seen = w.heard.Revision()
	w.merged.Merge(ts)
}

func (w *world) states() map[string]directory.State {
	w.follow()

	out := map[string]directory.State{}
	for _, t := range w.merged.Targets() {
		out[t.ID] = t.State
	}

	return out
}

// A target drains, and a beat that it sent before arrives after that. Without the
// order by sequence it would get new work again.
func TestLateBeatChangesNothing(t *testing.T) {
	t.Parallel()

	w := newWorld()
	require.True(t, w.heard.Announce(begin, target("i1", 5, 1, nil)))
	require.True(t, w.heard.Announce(begin, target("i1", 5, 3, draining)))
	require.False(t, w.heard.Announce(begin, target("i1", 5, 2, nil)))
	require.Equal(t, map[string]directory.State{"i1": directory.Draining}, w.states())

	w.heard.Leave(begin, "i1")
	require.False(t, w.heard.Announce(begin, target("i1", 5, 9, nil)), "its last beats were overtaken by its farewell")
	require.Empty(t, w.states())

	require.True(t, w.heard.Announce(begin, target("i1", 6, 1, nil)), "it starts anew under its ID, and its sequence too")
	require.Equal(t, map[string]directory.State{"i1": directory.Ready}, w.states())
}

// A target crashes, and its address goes to one of another service. A beat of the
// first, held up by a partition, arrives after that: it must not take the address.
func TestNewestHolderOfAnAddressRules(t *testing.T) {
	t.Parallel()

	w := newWorld()
	w.heard.Announce(begin, target("old", 5, 1, nil))
	w.heard.Announce(begin, target("new", 8, 1, func(t *directory.Target) { t.Service = "desk" }))
	require.Equal(t, map[string]directory.State{"new": directory.Ready}, w.states())

	w.heard.Announce(begin, target("old", 5, 7, nil))
	require.Equal(t, map[string]directory.State{"new": directory.Ready}, w.states())

	// The same where each was heard by another control VM.
	other := newWorld()
	other.heard.Announce(begin, target("old", 5, 9, nil))
	w.merged.Merge(other.heard.ChangedSince(0))
	require.Equal(t, map[string]directory.State{"new": directory.Ready}, w.states())
}

// A target says farewell to a control VM that has just started and does not know
// it. The entry knows it from another one, and must let go of it all the same.
func TestFarewellOfAnUnknownTarget(t *testing.T) {
	t.Parallel()

	first, second := newWorld(), newWorld()
	first.heard.Announce(begin, target("i1", 5, 4, nil))
	second.heard.Leave(begin, "i1")

	var m directory.MergedTargets

	require.True(t, m.Merge(first.heard.ChangedSince(0)))
	require.True(t, m.Merge(second.heard.ChangedSince(0)))
	require.Empty(t, m.Targets())
	require.False(t, m.Merge(first.heard.ChangedSince(0)), "what the first still says of it is old")
}

// A target crashes without a word. After three missing beats it counts as silent,
// and not before: a beat may be late, and go to another control VM.
func TestSilence(t *testing.T) {
	t.Parallel()

	w := newWorld()
	w.heard.Announce(begin, target("i1", 5, 1, nil))
	require.False(t, w.heard.Tick(begin.Add(3500*time.Millisecond)))
	require.Equal(t, directory.Ready, w.states()["i1"])
	require.True(t, w.heard.Tick(begin.Add(3700*time.Millisecond)))
	require.Equal(t, directory.Unresponsive, w.states()["i1"])

	w.heard.Announce(begin.Add(4*time.Second), target("i1", 5, 2, nil))
	require.Equal(t, directory.Ready, w.states()["i1"])
}

// A target's beats move from one control VM to another. The one that it left calls
// it silent; the entry must believe the one that hears it.
func TestSilenceAtOneControlVM(t *testing.T) {
	t.Parallel()

	left, now := newWorld(), newWorld()
	left.heard.Announce(begin, target("i1", 5, 1, nil))
	now.heard.Announce(begin, target("i1", 5, 2, nil))

	var m directory.MergedTargets

	m.Merge(left.heard.ChangedSince(0))
	m.Merge(now.heard.ChangedSince(0))

	left.heard.Tick(begin.Add(5 * time.Second))
	m.Merge(left.heard.ChangedSince(0))
	require.Equal(t, directory.Ready, m.Targets()[0].State)
}

// Most beats say what the one before said. Entries are told only now and then, so
// that a thousand targets do not wake every entry a thousand times a second.
func TestUnchangedBeatsAreToldSeldom(t *testing.T) {
	t.Parallel()

	h := directory.Registry{AnnounceTimeout: time.Minute}
	told := 0

	for i := range 100 {
		if h.Announce(begin.Add(time.Duration(i)*100*time.Millisecond), target("i1", 5, uint64(i), nil)) {
			told++
		}
	}

	require.Equal(t, 4, told)
}

func TestColdStartIsToldOnceAndWhenItEnds(t *testing.T) {
	t.Parallel()

	h := directory.Registry{AnnounceTimeout: time.Minute}
	cold := func(left time.Duration, now time.Time) func(*directory.Target) {
		return func(t *directory.Target) { t.ColdUntil = now.Add(left) }
	}
	next := begin.Add(time.Second)

	require.True(t, h.Announce(begin, target("i1", 5, 1, cold(3*time.Second, begin))))
	require.False(t, h.Announce(next, target("i1", 5, 2, cold(2*time.Second, next))), "it goes on as it said")
	require.True(t, h.Announce(next, target("i1", 5, 3, nil)))
	require.True(t, h.Announce(next, target("i1", 5, 4, cold(3*time.Second, next))), "it turned cold again")
}

func TestWireKeepsATarget(t *testing.T) {
	t.Parallel()

	want := target("i1", 5, 4, func(t *directory.Target) {
		at("10.0.0.9:81")(t)
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
