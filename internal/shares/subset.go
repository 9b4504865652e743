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
		m.pairAll()

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
	maxEntries       int
	// entriesOf are the entries of each target, matched the targets of each entry.
	entriesOf [][]int
	targetsOf [][]int
}

func newMatching(entries, targets []Node, s Subsetter) *Matching {
	mean := float64(s.Size*len(entries)) / float64(len(targets))

	return &Matching{
		entries: entries, targets: targets,
		entryHash: hashes(entries), targetHash: hashes(targets),
		maxEntries: int(math.Ceil(mean * (1 + s.Slack))),
		entriesOf:  make([][]int, len(targets)), targetsOf: make([][]int, len(entries)),
	}
}

func hashes(places []Node) []uint64 {
	out := make([]uint64, len(places))
	for i, p := range places {
		out[i] = xxhash.Sum64String(p.ID)
	}

	return out
}

// preference is how much entry e and target t like each other.
func (m *Matching) preference(e, t int) uint64 { return MixHashes(m.entryHash[e], m.targetHash[t]) }

// MixHashes joins two hashes into one by the mixing step of the splitmix64 generator.
func MixHashes(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb

	return x ^ (x >> 31)
}

// stage lets each entry ask its allowed targets, best first, until it has quota
// of them. A full target keeps those that it ranks highest of this stage.
func (m *Matching) stage(s stage, size int) {
	fixed := make([]int, len(m.targets))
	for t := range m.entriesOf {
		fixed[t] = len(m.entriesOf[t])
	}

	heaps := make([]candidates, len(m.entries))
	pending := make([]int, 0, len(m.entries))

	for e := range m.entries {
		if len(m.targetsOf[e]) < size {
			heaps[e] = m.candidates(s, e)
			pending = append(pending, e)
		}
	}

	for len(pending) > 0 {
		e := pending[len(pending)-1]
		if len(m.targetsOf[e]) >= size || len(heaps[e]) == 0 {
			pending = pending[:len(pending)-1]

			continue
		}

		t := heaps[e].popBest()

		if displaced := m.propose(e, t, fixed[t]); displaced >= 0 && displaced != e {
			pending = append(pending, displaced)
		}
	}
}

// candidate is a target that an entry may ask, and how much it likes it.
type candidate struct {
	preference uint64
	target     int
}

// candidates is a heap, best first: an entry asks few of the targets that it may ask.
type candidates []candidate

func (w candidates) Len() int           { return len(w) }
func (w candidates) Less(i, j int) bool { return w[i].preference > w[j].preference }
func (w candidates) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }

// Push implements heap.Interface. Nothing is added to a heap of wishes.
func (w *candidates) Push(any) {}

// Pop implements heap.Interface.
func (w *candidates) Pop() any {
	*w = (*w)[:len(*w)-1]

	return nil
}

// popBest takes the best wish out.
func (w *candidates) popBest() int {
	t := (*w)[0].target
	heap.Pop(w)

	return t
}

// candidates are the targets that e may ask in a stage.
func (m *Matching) candidates(s stage, e int) candidates {
	out := make(candidates, 0, len(m.targets))

	for t := range m.targets {
		if s.allows(&m.entries[e], &m.targets[t]) {
			out = append(out, candidate{preference: m.preference(e, t), target: t})
		}
	}

	heap.Init(&out)

	return out
}

// propose matches e with t if t has room or ranks e above another of this
// stage, and returns who was turned away, or -1.
func (m *Matching) propose(e, t, fixed int) int {
	if len(m.entriesOf[t]) < m.maxEntries {
		m.pair(e, t)

		return -1
	}

	worst, lowest := -1, m.preference(e, t)
	for k := fixed; k < len(m.entriesOf[t]); k++ {
		if r := m.preference(m.entriesOf[t][k], t); r < lowest {
			worst, lowest = k, r
		}
	}

	if worst < 0 {
		return e
	}

	displaced := m.entriesOf[t][worst]
	m.entriesOf[t] = slices.Delete(m.entriesOf[t], worst, worst+1)
	k := slices.Index(m.targetsOf[displaced], t)
	m.targetsOf[displaced] = slices.Delete(m.targetsOf[displaced], k, k+1)
	m.pair(e, t)

	return displaced
}

func (m *Matching) pair(e, t int) {
	m.entriesOf[t] = append(m.entriesOf[t], e)
	m.targetsOf[e] = append(m.targetsOf[e], t)
}

// pairAll matches each entry with each target.
func (m *Matching) pairAll() {
	for t := range m.targets {
		for e := range m.entries {
			m.pair(e, t)
		}
	}
}

// Targets returns the targets of an entry, and its index among the entries of each.
func (m *Matching) Targets(entry string) map[string]Share {
	e := slices.IndexFunc(m.entries, func(p Node) bool { return p.ID == entry })
	if e < 0 {
		return nil
	}

	out := make(map[string]Share, len(m.targetsOf[e]))

	for _, t := range m.targetsOf[e] {
		ownPreference, index := m.preference(e, t), 0

		for _, other := range m.entriesOf[t] {
			if m.preference(other, t) > ownPreference {
				index++
			}
		}

		out[m.targets[t].ID] = Share{Index: index, Entries: len(m.entriesOf[t])}
	}

	return out
}
