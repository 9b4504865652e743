package shares

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node is an entry or a target as far as subsetting is concerned.
type Node struct {
	ID     string
	Zone   string
	Region string
}

// Subsetter chooses the targets that each entry of a large deployment keeps
// connections to. Each process works out the same answer from the same lists,
// in any order. The zero value of each field stands for the default beside it.
type Subsetter struct {
	// Size is how many targets an entry has (30). With no more targets than that, it has all.
	Size int
	// LocalZoneRatio is the part of them in the entry's own zone (0.5), so that near
	// targets are there to be preferred, and enough others when the zone leaves.
	LocalZoneRatio float64
	// Slack is how far above the mean a target's number of entries may be (0.05).
	// Without slack each entry that comes or goes moves long chains of others.
	Slack float64
}

func (s Subsetter) withDefaults() Subsetter {
	s.Size = cmp.Or(s.Size, 30)
	s.LocalZoneRatio = cmp.Or(s.LocalZoneRatio, 0.5)
	s.Slack = cmp.Or(s.Slack, 0.05)

	return s
}

// Targets returns the targets of one entry, by ID, and its share of what may be sent to each.
// An entry that is not among entries, because the news of itself has not reached it
// yet, is added.
func (s Subsetter) Targets(self Node, entries, targets []Node) map[string]Share {
	if !slices.ContainsFunc(entries, func(e Node) bool { return e.ID == self.ID }) {
		entries = append(slices.Clone(entries), self)
	}

	return s.Match(entries, targets).Targets(self.ID)
}

// Match matches all entries with the targets that each of them uses.
func (s Subsetter) Match(entries, targets []Node) *Matching {
	s = s.withDefaults()
	m := newMatching(entries, targets, s)

	if len(targets) <= s.Size {
		m.all()

		return m
	}

	m.stage(stageZone, int(math.Round(s.LocalZoneRatio*float64(s.Size))))
	m.stage(stageRegion, s.Size)
	m.stage(stageAny, s.Size)

	return m
}

// stage says which targets an entry may get: near ones first.
type stage uint8

const (
	stageZone stage = iota
	stageRegion
	stageAny
)

func (s stage) allows(e, t *Node) bool {
	switch s {
	case stageZone:
		return e.Zone == t.Zone && e.Region == t.Region
	case stageRegion:
		return e.Zone != t.Zone && e.Region == t.Region
	default:
		return e.Region != t.Region
	}
}

// Matching is a stable matching of entries and targets in which both sides rank
// each other by one hash. It is the same whatever the order of its steps, and
// one that comes or goes changes it only along the chain of those it displaces.
type Matching struct {
	entries, targets []Node
	entryHash        []uint64
	targetHash       []uint64
	most             int
	// held are the entries of each target, matched the targets of each entry.
	held    [][]int
	matched [][]int
}

func newMatching(entries, targets []Node, s Subsetter) *Matching {
	mean := float64(s.Size*len(entries)) / float64(len(targets))

	return &Matching{
		entries: entries, targets: targets,
		entryHash: hashes(entries), targetHash: hashes(targets),
		most: int(math.Ceil(mean * (1 + s.Slack))),
		held: make([][]int, len(targets)), matched: make([][]int, len(entries)),
	}
}

func hashes(places []Node) []uint64 {
	out := make([]uint64, len(places))
	for i, p := range places {
		out[i] = xxhash.Sum64String(p.ID)
	}

	return out
}

// rank is how much entry e and target t like each other.
func (m *Matching) rank(e, t int) uint64 { return MixHashes(m.entryHash[e], m.targetHash[t]) }

// MixHashes joins two hashes into one by the mixing step of the splitmix64 generator.
func MixHashes(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb

	return x ^ (x >> 31)
}

// stage lets each entry ask its allowed targets, best first, until it has quota
// of them. A full target keeps those that it ranks highest of this stage.
func (m *Matching) stage(s stage, quota int) {
	settled := make([]int, len(m.targets))
	for t := range m.held {
		settled[t] = len(m.held[t])
	}

	wished := make([]wishes, len(m.entries))
	asking := make([]int, 0, len(m.entries))

	for e := range m.entries {
		if len(m.matched[e]) < quota {
			wished[e] = m.wishes(s, e)
			asking = append(asking, e)
		}
	}

	for len(asking) > 0 {
		e := asking[len(asking)-1]
		if len(m.matched[e]) >= quota || len(wished[e]) == 0 {
			asking = asking[:len(asking)-1]

			continue
		}

		t := wished[e].best()

		if loser := m.propose(e, t, settled[t]); loser >= 0 && loser != e {
			asking = append(asking, loser)
		}
	}
}

// wish is a target that an entry may ask, and how much it likes it.
type wish struct {
	rank   uint64
	target int
}

// wishes is a heap, best first: an entry asks few of the targets that it may ask.
type wishes []wish

func (w wishes) Len() int           { return len(w) }
func (w wishes) Less(i, j int) bool { return w[i].rank > w[j].rank }
func (w wishes) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }

// Push implements heap.Interface. Nothing is added to a heap of wishes.
func (w *wishes) Push(any) {}

// Pop implements heap.Interface.
func (w *wishes) Pop() any {
	*w = (*w)[:len(*w)-1]

	return nil
}

// best takes the best wish out.
func (w *wishes) best() int {
	t := (*w)[0].target
	heap.Pop(w)

	return t
}

// wishes are the targets that e may ask in a stage.
func (m *Matching) wishes(s stage, e int) wishes {
	out := make(wishes, 0, len(m.targets))

	for t := range m.targets {
		if s.allows(&m.entries[e], &m.targets[t]) {
			out = append(out, wish{rank: m.rank(e, t), target: t})
		}
	}

	heap.Init(&out)

	return out
}

// propose matches e with t if t has room or ranks e above another of this
// stage, and returns who was turned away, or -1.
func (m *Matching) propose(e, t, settled int) int {
	if len(m.held[t]) < m.most {
		m.join(e, t)

		return -1
	}

	worst, lowest := -1, m.rank(e, t)
	for k := settled; k < len(m.held[t]); k++ {
		if r := m.rank(m.held[t][k], t); r < lowest {
			worst, lowest = k, r
		}
	}

	if worst < 0 {
		return e
	}

	loser := m.held[t][worst]
	m.held[t] = slices.Delete(m.held[t], worst, worst+1)
	k := slices.Index(m.matched[loser], t)
	m.matched[loser] = slices.Delete(m.matched[loser], k, k+1)
	m.join(e, t)

	return loser
}

func (m *Matching) join(e, t int) {
	m.held[t] = append(m.held[t], e)
	m.matched[e] = append(m.matched[e], t)
}

// all matches each entry with each target.
func (m *Matching) all() {
	for t := range m.targets {
		for e := range m.entries {
			m.join(e, t)
		}
	}
}

// Targets returns the targets of an entry, and its index among the entries of each.
func (m *Matching) Targets(entry string) map[string]Share {
	e := slices.IndexFunc(m.entries, func(p Node) bool { return p.ID == entry })
	if e < 0 {
		return nil
	}

	out := make(map[string]Share, len(m.matched[e]))

	for _, t := range m.matched[e] {
		own, index := m.rank(e, t), 0

		for _, other := range m.held[t] {
			if m.rank(other, t) > own {
				index++
			}
		}

		out[m.targets[t].ID] = Share{Index: index, Entries: len(m.held[t])}
	}

	return out
}
