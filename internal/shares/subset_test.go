package shares_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// nodes returns the entries or targets of a large deployment: seven zones in two regions.
func nodes(kind string, n int) []shares.Node {
	out := make([]shares.Node, n)
	for i := range out {
		z := i % 7
		out[i] = shares.Node{ID: fmt.Sprintf("%s-%03d", kind, i), Zone: fmt.Sprintf("z%d", z), Region: fmt.Sprintf("r%d", z/4)}
	}

	return out
}

func TestSubset(t *testing.T) {
	t.Parallel()

	entries, all := nodes("e", 40), nodes("t", 70)
	entriesOf := map[string]int{}

	for _, e := range entries {
		got := shares.Subsetter{}.Targets(e, entries, all)
		require.Len(t, got, 30)

		for id := range got {
			entriesOf[id]++
		}
	}

	for _, p := range all {
		require.InDelta(t, 30.0*40/70, entriesOf[p.ID], 3, p.ID)
	}

	// The result does not depend on the order of the lists.
	want := shares.Subsetter{}.Targets(entries[5], entries, all)
	shuffledTargets, shuffledEntries := slices.Clone(all), slices.Clone(entries)
	r := rand.New(rand.NewPCG(1, 1))
	r.Shuffle(len(shuffledTargets), func(i, j int) { shuffledTargets[i], shuffledTargets[j] = shuffledTargets[j], shuffledTargets[i] })
	r.Shuffle(len(shuffledEntries), func(i, j int) { shuffledEntries[i], shuffledEntries[j] = shuffledEntries[j], shuffledEntries[i] })
	require.Equal(t, want, shares.Subsetter{}.Targets(entries[5], shuffledEntries, shuffledTargets))

	// An entry that is not listed yet has targets too. If there are few targets, all are
	// used.
	require.Len(t, shares.Subsetter{}.Targets(shares.Node{ID: "new", Zone: "z1", Region: "r0"}, entries, all), 30)
	require.Len(t, shares.Subsetter{}.Targets(entries[0], entries, all[:12]), 12)
}

// greedyMatch pairs in the order of preference while both sides have room. That is the only
// stable matching, as both sides rank each other by the same hash.
func greedyMatch(entries, targets []shares.Node, size int) assignment {
	type pair struct {
		e, t       int
		preference uint64
	}

	maxEntries := int(math.Ceil(float64(size*len(entries)) / float64(len(targets)) * 1.05))
	out, used := assignment{}, make([]int, len(targets))

	for stage, limit := range []int{int(math.Round(0.5 * float64(size))), size, size} {
		var pairs []pair

		for e, entry := range entries {
			for t, target := range targets {
				allowed := []bool{
					entry.Zone == target.Zone && entry.Region == target.Region,
					entry.Zone != target.Zone && entry.Region == target.Region, entry.Region != target.Region,
				}[stage]
				if allowed {
					pairs = append(pairs, pair{e, t, shares.MixHashes(xxhash.Sum64String(entry.ID), xxhash.Sum64String(target.ID))})
				}
			}
		}

		slices.SortFunc(pairs, func(a, b pair) int { return cmp.Compare(b.preference, a.preference) })

		for _, p := range pairs {
			if id := entries[p.e].ID; len(out[id]) < limit && used[p.t] < maxEntries {
				out[id] = append(out[id], targets[p.t].ID)
				used[p.t]++
			}
		}
	}

	for _, ids := range out {
		slices.Sort(ids)
	}

	return out
}

// Guards against candidates that are left out because only the best ones are listed at first:
// processes of other builds then share targets with other entries.
func TestSubsetIsTheStableMatching(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		entries := nodes("e", rapid.IntRange(1, 60).Draw(t, "entries"))
		targets := nodes("t", rapid.IntRange(8, 150).Draw(t, "targets"))
		size := rapid.IntRange(1, len(targets)-1).Draw(t, "size")
		want := greedyMatch(entries, targets, size)
		got := shares.Subsetter{Size: size}.Match(entries, targets)

		for _, e := range entries {
			require.Equal(t, want[e.ID], slices.Sorted(maps.Keys(got.Targets(e.ID))), e.ID)
		}
	})
}

// assignment maps each entry to its targets.
type assignment map[string][]string

func subsetterAssignment(slack float64) func(entries, targets []shares.Node) assignment {
	return func(entries, targets []shares.Node) assignment {
		out := assignment{}
		for _, e := range entries {
			out[e.ID] = slices.Sorted(maps.Keys(shares.Subsetter{Slack: slack}.Targets(e, entries, targets)))
		}

		return out
	}
}

// rendezvousHash is plain rendezvous hashing, regardless of load and zone.
func rendezvousHash(entries, targets []shares.Node) assignment {
	out := assignment{}

	for _, e := range entries {
		score := func(id string) uint64 {
			h := fnv.New64a()
			_, _ = h.Write([]byte(e.ID + "/" + id))

			return h.Sum64() * 0x9e3779b97f4a7c15
		}
		ids := make([]string, len(targets))

		for i, t := range targets {
			ids[i] = t.ID
		}

		slices.SortFunc(ids, func(a, b string) int {
			if score(a) > score(b) {
				return -1
			}

			return 1
		})
		out[e.ID] = ids[:30]
	}

	return out
}

// shuffledRounds assigns the targets in rounds, each in a new random order.
func shuffledRounds(entries, targets []shares.Node) assignment {
	out := assignment{}
	perRound := len(targets) / 30

	for i, e := range entries {
		order := rand.New(rand.NewPCG(uint64(i/perRound), 3)).Perm(len(targets))
		for _, k := range order[i%perRound*30 : (i%perRound+1)*30] {
			out[e.ID] = append(out[e.ID], targets[k].ID)
		}
	}

	return out
}

// movedPairs counts the pairs of second that are not in first, for entries in both.
func movedPairs(first, second assignment) int {
	n := 0

	for e, list := range second {
		previous, ok := first[e]
		if !ok {
			continue
		}

		for _, id := range list {
			if !slices.Contains(previous, id) {
				n++
			}
		}
	}

	return n
}

// BenchmarkSubset measures evenness, the fraction of local targets, and the number of moved
// pairs (of 12,300) when one target is removed, one entry is removed, and 41 of 410 entries
// are removed at the same time.
func BenchmarkSubset(b *testing.B) {
	algorithms := []struct {
		name   string
		assign func(entries, targets []shares.Node) assignment
	}{
		{"HighestHash", rendezvousHash},
		{"ShuffledRounds", shuffledRounds},
		{"Subsetter/slack=0.01", subsetterAssignment(0.01)},
		{"Subsetter/slack=0.05", subsetterAssignment(0.05)},
		{"Subsetter/slack=0.20", subsetterAssignment(0.2)},
	}

	for _, w := range algorithms {
		b.Run(w.name, func(b *testing.B) {
			for range b.N {
				entries, all := nodes("e", 410), nodes("t", 600)
				first := w.assign(entries, all)
				reportEvenness(b, entries, all, first)
				b.ReportMetric(float64(movedPairs(first, w.assign(entries, without(all, 300)))), "moved-target")
				b.ReportMetric(float64(movedPairs(first, w.assign(without(entries, 200), all))), "moved-entry")
				b.ReportMetric(float64(movedPairs(first, w.assign(entries[41:], all))), "moved-41-entries")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

func without(list []shares.Node, i int) []shares.Node {
	return slices.Delete(slices.Clone(list), i, i+1)
}

func reportEvenness(b *testing.B, entries, all []shares.Node, a assignment) {
	b.Helper()

	zone := map[string]string{}
	for _, t := range all {
		zone[t.ID] = t.Zone
	}

	entriesOf := map[string]float64{}
	local, pairs := 0.0, 0.0

	for _, e := range entries {
		for _, id := range a[e.ID] {
			entriesOf[id]++
			pairs++

			if zone[id] == e.Zone {
				local++
			}
		}
	}

	maximum, minimum := 0.0, math.Inf(1)
	for _, t := range all {
		maximum, minimum = max(maximum, entriesOf[t.ID]), min(minimum, entriesOf[t.ID])
	}

	mean := pairs / float64(len(all))
	b.ReportMetric(maximum/mean, "max/mean")
	b.ReportMetric(minimum/mean, "min/mean")
	b.ReportMetric(100*local/pairs, "near-%")
}

// BenchmarkSubsetOf measures the computation for one entry with 410 entries and 600
// targets.
func BenchmarkSubsetOf(b *testing.B) {
	entries, all := nodes("e", 410), nodes("t", 600)

	b.ReportAllocs()

	for b.Loop() {
		shares.Subsetter{}.Targets(entries[0], entries, all)
	}
}
