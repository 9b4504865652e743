package directory_test

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/directory"
)

// exchange lets each control VM hear what the others know.
func exchange(now time.Time, registries []directory.Registry) {
	for i := range registries {
		for j := range registries {
			if i != j {
				registries[i].MergeIncarnations(now, registries[j].AllIncarnations())
			}
		}
	}
}

// Guards against an announcement that is sent before a removal, arrives after it at a control VM that had never
// received any of that incarnation, or that has started anew, and misleads entries that have just started.
func TestDelayedAnnouncementsDoNotUndoRemovals(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		const id = "i1"

		registries := make([]directory.Registry, 3)
		for i := range registries {
			registries[i].AnnounceTimeout = time.Minute
		}

		var (
			sent      []directory.Target
			ran       directory.MergedTargets
			sequence  uint64
			startTime int64
			served    bool
		)

		now := begin
		draw := func(label string) *directory.Registry {
			return &registries[rapid.IntRange(0, len(registries)-1).Draw(t, label)]
		}

		for n := range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(time.Second)).Draw(t, "pause")))

			switch rapid.SampledFrom([]string{"start", "announce", "remove", "delayed", "lose memory", "follow"}).Draw(t, "step") {
			case "start":
				startTime++

				sequence, served = 1, true
				sent = append(sent, newTarget(id, startTime, sequence, nil))
				draw("control VM").Announce(now, sent[len(sent)-1])
			case "announce":
				if served {
					sequence++
					sent = append(sent, newTarget(id, startTime, sequence, nil))
					draw("control VM").Announce(now, sent[len(sent)-1])
				}
			case "remove":
				draw("control VM").Leave(now, id, uint64(n+1))

				served = false
			case "delayed":
				if len(sent) > 0 {
					draw("control VM").Announce(now, rapid.SampledFrom(sent).Draw(t, "announcement"))
				}
			case "lose memory":
				*draw("control VM") = directory.Registry{AnnounceTimeout: time.Minute}
			case "follow":
				merge(&ran, draw("followed"), now, 0)
			}

			exchange(now, registries)

			var started directory.MergedTargets

			for i := range registries {
				merge(&started, &registries[i], now, 0)
				merge(&ran, &registries[i], now, 0)
			}

			if !served {
				require.Empty(t, started.Targets(), "an entry that has just started")
				require.Empty(t, ran.Targets(), "an entry that ran throughout")
			}
		}

		// It is served with its next announcement: the control VM that received the last one may have lost it.
		if served {
			draw("control VM").Announce(now, newTarget(id, startTime, sequence+1, nil))

			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				merge(&ran, &registries[i], now, 0)
			}

			require.Len(t, ran.Targets(), 1)
		}
	})
}

// Guards against incarnations that stay known for ever, or that are forgotten while another control VM still knows them.
func TestIncarnationsOfOtherControlVMsExpire(t *testing.T) {
	t.Parallel()

	var r directory.Registry

	r.AnnounceTimeout = time.Minute
	known := []directory.Incarnation{{ID: "i1", StartTime: 5, Removed: true}}
	now := begin

	for range 20 {
		now = now.Add(time.Minute)
		r.MergeIncarnations(now, known)
		r.Tick(now)
		require.False(t, r.Announce(now, newTarget("i1", 5, 9, nil)))
	}

	r.Tick(now.Add(time.Hour))
	require.Empty(t, r.AllIncarnations())
}

// Guards against a control VM that holds back a later incarnation, or one that it knows nothing bad of.
func TestMergedIncarnationsHoldBackOnlyWhatHasEnded(t *testing.T) {
	t.Parallel()

	for name, tc := range map[string]struct {
		known directory.Incarnation
		used  bool
	}{
		"the same":            {known: directory.Incarnation{ID: "i1", StartTime: 5}, used: true},
		"the same, removed":   {known: directory.Incarnation{ID: "i1", StartTime: 5, Removed: true}},
		"an earlier, removed": {known: directory.Incarnation{ID: "i1", StartTime: 4, Removed: true}, used: true},
		"a later one":         {known: directory.Incarnation{ID: "i1", StartTime: 6}},
		"another ID":          {known: directory.Incarnation{ID: "i2", StartTime: 6, Removed: true}, used: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			var r directory.Registry

			r.MergeIncarnations(begin, []directory.Incarnation{tc.known})
			require.Equal(t, tc.used, r.Announce(begin, newTarget("i1", 5, 1, nil)))
			require.Equal(t, tc.used, slices.ContainsFunc(r.ChangedSince(0), func(t directory.Target) bool { return t.State == directory.Ready }))
		})
	}
}

// Guards against an odd start time that another control VM or a saved directory holds, and that holds back the owner of the
// ID.
func TestOddIncarnationsAreIgnored(t *testing.T) {
	t.Parallel()

	for _, startTime := range []int64{math.MaxInt64, math.MinInt64, -1, 1 << 53} {
		r := directory.Registry{AnnounceTimeout: time.Minute}
		r.MergeIncarnations(begin, []directory.Incarnation{{ID: "i1", StartTime: startTime}, {ID: "i2", StartTime: 5}})

		require.False(t, r.HasEnded(&directory.Target{ID: "i1", StartTime: 1}), startTime)
		require.True(t, r.HasEnded(&directory.Target{ID: "i2", StartTime: 1}), startTime)
	}
}
