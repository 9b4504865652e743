package directory_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/directory"
)

// Guards against a field that one side writes and the other refuses or changes, and against values that only one side
// refuses.
func TestAnyTargetSurvivesTheWire(t *testing.T) {
	t.Parallel()

	survived, refused := 0, 0

	rapid.Check(t, func(t *rapid.T) {
		age := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(100*24*time.Hour/time.Microsecond)).Draw(t, "microseconds")) * time.Microsecond
		})
		text := rapid.StringN(0, 40, 200)
		counter, start := rapid.Uint64Range(0, 1<<53-1), rapid.Int64Range(0, 1<<53-1)
		slots, size := rapid.IntRange(0, 1<<16), rapid.IntRange(1, 1<<12)

		if rapid.IntRange(0, 3).Draw(t, "odd") == 0 {
			counter, start = rapid.Uint64(), rapid.Int64()
			slots, size = rapid.IntRange(0, 1<<31-1), rapid.IntRange(1, 1<<31-1)
		}

		groupSize := size.Draw(t, "size")
		want := directory.Target{
			ID: text.Draw(t, "ID"), StartTime: start.Draw(t, "start time"), Sequence: counter.Draw(t, "sequence"),
			Service: text.Draw(t, "service"), Zone: text.Draw(t, "zone"), Slots: slots.Draw(t, "slots"),
			State: rapid.SampledFrom([]directory.State{directory.Ready, directory.Draining, directory.Removed, directory.Unresponsive}).Draw(t, "state"),
			Group: directory.Group{
				Name: text.Draw(t, "group"), Epoch: counter.Draw(t, "epoch"), Rank: rapid.IntRange(0, groupSize-1).Draw(t, "rank"), Size: groupSize,
				Broken: rapid.Bool().Draw(t, "broken"),
			},
		}

		if want.State != directory.Removed || rapid.Bool().Draw(t, "with an address") {
			addr := rapid.SampledFrom([]string{"10.0.0.1:80", "[::1]:65535", "[fe80::1%eth0]:1", "0.0.0.0:0", "10.255.255.1:1", "[2001:db8::1]:80", "127.0.0.1:9"}).Draw(t, "address")
			want.Address = netip.MustParseAddrPort(addr)
		}

		if rapid.Bool().Draw(t, "cold") {
			want.ColdUntil = begin.Add(time.Duration(rapid.IntRange(0, 1e6).Draw(t, "cold time")) * time.Millisecond)
		}

		if rapid.Bool().Draw(t, "registration is known") {
			want.RegisteredAt = begin.Add(-age.Draw(t, "registered"))
		}

		if rapid.Bool().Draw(t, "was removed") {
			for range rapid.IntRange(1, 8).Draw(t, "removals") {
				want.Removals = append(want.Removals, directory.Removal{Key: rapid.Uint64().Draw(t, "key"), At: begin.Add(-age.Draw(t, "removed"))})
			}
		}

		got, err := directory.FromWire(want.ToWire(begin), begin)

		if problem := want.Check(begin); problem != nil {
			require.Equal(t, problem, err)

			refused++

			return
		}

		require.NoError(t, err)

		survived++

		// A target that is cold until now is warm; the remaining time is rounded up.
		if want.ColdUntil.After(begin) {
			require.WithinDuration(t, want.ColdUntil, got.ColdUntil, time.Millisecond)
		} else {
			require.Zero(t, got.ColdUntil)
		}

		got.ColdUntil = want.ColdUntil
		require.Equal(t, want, got)
	})
	require.Positive(t, survived)
	require.Positive(t, refused)
}

// merge brings all that a control VM publishes to an entry, after a delay.
func merge(m *directory.MergedTargets, r *directory.Registry, now time.Time, delay time.Duration) {
	var ts []directory.Target

	for _, t := range r.ChangedSince(0) {
		decoded, err := directory.FromWire(t.ToWire(now), now.Add(delay))
		if err != nil {
			panic(err)
		}

		ts = append(ts, decoded)
	}

	m.Merge(ts)
}

func knows(r *directory.Registry, id string, startTime int64) bool {
	return slices.ContainsFunc(r.ChangedSince(0), func(t directory.Target) bool { return t.ID == id && t.StartTime == startTime })
}

// Guards against a removal without effect where its control VM had never heard of the target, or knew an earlier
// incarnation, and against a later incarnation that is held out: at control VMs that hear late, by any path, and at
// entries that have just started.
func TestRemovalEndsEarlierIncarnationsOnly(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		const (
			latency = 50 * time.Millisecond
			id      = "i1"
		)

		registries := make([]directory.Registry, 3)
		for i := range registries {
			registries[i].AnnounceTimeout = time.Minute
		}

		entries := make([]directory.MergedTargets, 2)
		now, incarnation, sequence := begin, int64(0), uint64(0)
		served := false

		// late holds what a frozen control VM takes in when it wakes.
		var late []func()

		wake := func() {
			for _, f := range late {
				f()
			}

			late = nil
		}
		draw := func(label string) *directory.Registry {
			return &registries[rapid.IntRange(0, len(registries)-1).Draw(t, label)]
		}
		delay := func() time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(latency)).Draw(t, "delay"))
		}

		for n := range rapid.IntRange(1, 12).Draw(t, "steps") {
			now = now.Add(2*latency + time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))

			switch rapid.SampledFrom([]string{"start", "announce", "remove", "follow", "wake"}).Draw(t, "step") {
			case "start":
				incarnation++

				draw("control VM").Announce(now, newTarget(id, incarnation, 1, nil))

				sequence, served = 1, true
			case "wake":
				wake()
			case "announce":
				// A target that was removed announces itself no more.
				if served {
					sequence++
					draw("control VM").Announce(now, newTarget(id, incarnation, sequence, nil))
				}
			case "remove":
				wake()

				first := draw("control VM that acknowledges")

				// Its last announcement may arrive after the removal, where it is known.
				for i := range registries {
					if r := &registries[i]; r != first && knows(r, id, incarnation) {
						last := newTarget(id, incarnation, sequence+1, nil)

						late = append(late, func() { r.Announce(now, last) })
					}
				}

				sequence++

				ended := first.Leave(now, id, uint64(n+1))

				for i := range registries {
					if r := &registries[i]; r != first && rapid.Bool().Draw(t, "hears of it") {
						late = append(late, func() { r.RecordRemoval(now, id, uint64(n+1), ended) })
					}
				}

				served = false
			case "follow":
				merge(&entries[0], draw("followed"), now, delay())
			}
		}

		wake()

		for e := range entries {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				merge(&entries[e], &registries[i], now, delay())
			}

			require.Equal(t, served, len(entries[e].Targets()) == 1, fmt.Sprintf("entry %d", e))
		}
	})
}

// Guards against a removal that is forgotten, or ends a later incarnation, as its control VM restarts.
func TestRemovalSurvivesARestart(t *testing.T) {
	t.Parallel()

	var before, after, other directory.Registry

	other.Announce(begin, newTarget("i1", 5, 1, nil))
	before.Leave(begin.Add(time.Second), "i1", 7)

	for _, saved := range before.ChangedSince(0) {
		restored, err := directory.FromWire(saved.ToWire(begin.Add(2*time.Second)), begin.Add(3*time.Second))
		require.NoError(t, err)
		after.Restore(begin.Add(3*time.Second), restored)
	}

	var entry directory.MergedTargets

	now := begin.Add(4 * time.Second)
	merge(&entry, &other, now, 0)
	merge(&entry, &after, now, 0)
	require.Empty(t, entry.Targets())

	after.Announce(now, newTarget("i1", 6, 1, nil))
	merge(&entry, &after, now, 0)
	require.Len(t, entry.Targets(), 1)
}

// Guards against a removal that its VM reports late, and that ends an incarnation that has started since, where an entry
// hears of it from this control VM only.
func TestLateReportOfARemovalSparesALaterIncarnation(t *testing.T) {
	t.Parallel()

	var (
		r     directory.Registry
		entry directory.MergedTargets
	)

	r.AnnounceTimeout = time.Minute
	r.Announce(begin, newTarget("i1", 5, 1, nil))
	r.Announce(begin.Add(time.Second), newTarget("i1", 6, 1, nil))
	r.RecordRemoval(begin.Add(2*time.Second), "i1", 7, 5)
	merge(&entry, &r, begin.Add(3*time.Second), 0)
	require.Len(t, entry.Targets(), 1)

	r.RecordRemoval(begin.Add(4*time.Second), "i1", 8, 6)
	merge(&entry, &r, begin.Add(5*time.Second), 0)
	require.Empty(t, entry.Targets())
}
