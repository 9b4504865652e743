package shares

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Node identifies an entry or a target and its location.
type Node struct {
	ID     string
	Zone   string
	Region string
	// Group is the lock-step group of a target; empty if it belongs to none.
	Group string
}

// Subsetter chooses the subset of targets to which each entry of a large deployment keeps
// connections. Every process computes the same result from the same lists, in any order. A
// zero field means the default given in parentheses.
type Subsetter struct {
	// Size is the number of targets per entry (30). If there are no more targets than that,
	// an entry uses all of them.
	Size int
	// LocalZoneRatio is the fraction of an entry's targets in its own zone (0.5). It leaves
	// enough local targets to prefer, and enough others when the zone goes out.
	LocalZoneRatio float64
	// Slack is the fraction by which a target's number of entries may exceed the mean
	// (0.05). Without slack, each entry that joins or leaves would reassign long chains of
	// others.
	Slack float64
}

func (s Subsetter) withDefaults() Subsetter {
	s.Size = cmp.Or(s.Size, 30)
	s.LocalZoneRatio = cmp.Or(s.LocalZoneRatio, 0.5)
	s.Slack = cmp.Or(s.Slack, 0.05)

	return s
}

// Targets returns the targets of one entry by ID, with the entry's share of each. The entry
// is added to entries if it is not listed there yet, because the update with it has not
// arrived.
func (s Subsetter) Targets(self Node, entries, targets []Node) map[string]Share {
	if !slices.ContainsFunc(entries, func(e Node) bool { return e.ID == self.ID }) {
		entries = append(slices.Clone(entries), self)
	}

	return s.Match(entries, targets).Targets(self.ID)
}

// Match computes the targets of all entries.
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

// stage restricts the targets that are matched with an entry by their location. Near
// targets are matched first.
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

// Matching is a stable matching of entries and targets in which both sides rank each other
// by the same hash. It does not depend on the order of steps, and an entry or target that
// joins or leaves changes it only along the chain of displaced entries.
type Matching struct {
	entries, targets []Node
	entryHash        []uint64
	targetHash       []uint64
	maxEntries       int
	// entriesOf lists the entries of each target, targetsOf the targets of each entry.
	entriesOf [][]int
	targetsOf [][]int
	zones     []zoneTargets
}

// zoneTargets lists the targets of one availability zone. Only the zone and region of location
// are set.
type zoneTargets struct {
	location Node
	targets  []int
}

func targetsByZone(targets []Node) []zoneTargets {
	var out []zoneTargets

	for t, n := range targets {
		i := slices.IndexFunc(out, func(z zoneTargets) bool { return z.location.Zone == n.Zone && z.location.Region == n.Region })
		if i < 0 {
			i = len(out)
			out = append(out, zoneTargets{location: Node{Zone: n.Zone, Region: n.Region}})
		}

		out[i].targets = append(out[i].targets, t)
	}

	return out
}

func newMatching(entries, targets []Node, s Subsetter) *Matching {
	mean := float64(s.Size*len(entries)) / float64(len(targets))
	maxEntries := int(math.Ceil(mean * (1 + s.Slack)))

	return &Matching{
		entries: entries, targets: targets,
		entryHash: hashes(entries), targetHash: hashes(targets),
		maxEntries: maxEntries,
		entriesOf:  emptyLists(len(targets), min(maxEntries, len(entries))),
		targetsOf:  emptyLists(len(entries), min(s.Size, len(targets))),
		zones:      targetsByZone(targets),
	}
}

// emptyLists returns n lists that hold size numbers each before they are allocated anew.
func emptyLists(n, size int) [][]int {
	out, all := make([][]int, n), make([]int, n*size)
	for i := range out {
		out[i] = all[i*size : i*size : (i+1)*size]
	}

	return out
}

func hashes(nodes []Node) []uint64 {
	out := make([]uint64, len(nodes))
	for i, p := range nodes {
		out[i] = xxhash.Sum64String(p.ID)
	}

	return out
}

// preference returns how strongly entry e and target t prefer each other.
func (m *Matching) preference(e, t int) uint64 { return MixHashes(m.entryHash[e], m.targetHash[t]) }

// MixHashes combines two hashes with the mixing function of the splitmix64 generator.
func MixHashes(a, b uint64) uint64 {
	x := a ^ (b*0x9e3779b97f4a7c15 + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb

	return x ^ (x >> 31)
}

// stage lets each entry propose to its allowed targets in the order of preference until it
// has size targets. A full target keeps the entries of this stage with the highest
// preference.
func (m *Matching) stage(s stage, size int) {
	fixed := make([]int, len(m.targets))
	for t := range m.entriesOf {
		fixed[t] = len(m.entriesOf[t])
	}

	lists := make([]candidates, len(m.entries))
	pending := make([]int, 0, len(m.entries))

	for e := range m.entries {
		if len(m.targetsOf[e]) < size {
			lists[e] = candidates{below: math.MaxUint64, allowed: m.allowedTargets(s, e)}
			pending = append(pending, e)
		}
	}

	for len(pending) > 0 {
		e := pending[len(pending)-1]
		if len(m.targetsOf[e]) >= size || !m.extend(s, e, size, &lists[e]) {
			pending = pending[:len(pending)-1]

			continue
		}

		if displaced := m.propose(e, lists[e].popBest(), fixed); displaced >= 0 && displaced != e {
			pending = append(pending, displaced)
		}
	}
}

// candidate is a target to which an entry may propose.
type candidate struct {
	preference uint64
	target     int
}

// candidates lists the targets to which an entry may propose next, best last. An entry
// proposes to only a few of the allowed targets, so those with a lower preference than below
// are listed only when all others have been proposed to.
type candidates struct {
	list  []candidate
	below uint64
	// allowed is the number of targets that the stage allows.
	allowed int
}

// popBest removes the candidate with the highest preference and returns its target.
func (c *candidates) popBest() int {
	best := c.list[len(c.list)-1]
	c.list = c.list[:len(c.list)-1]

	return best.target
}

// candidatesPerTarget is the number of candidates that are listed at a time for each target
// that an entry still lacks.
const candidatesPerTarget = 4

// extend lists further candidates of entry e if none is listed. It reports false if there are
// none.
func (m *Matching) extend(s stage, e, size int, c *candidates) bool {
	for len(c.list) == 0 && c.below > 0 && c.allowed > 0 {
		wanted := min(candidatesPerTarget*(size-len(m.targetsOf[e])), c.allowed)
		step := math.MaxUint64 / uint64(c.allowed) * uint64(wanted)
		from := c.below - min(c.below, step)

		if wanted == c.allowed {
			from = 0
		}

		m.listCandidates(s, e, from, c)
		c.below = from
	}

	return len(c.list) > 0
}

// allowedTargets returns the number of targets that a stage allows for entry e.
func (m *Matching) allowedTargets(s stage, e int) int {
	n := 0

	for i := range m.zones {
		if s.allows(&m.entries[e], &m.zones[i].location) {
			n += len(m.zones[i].targets)
		}
	}

	return n
}

// listCandidates lists the candidates of entry e whose preference is at least from and below
// the bound of those listed before.
func (m *Matching) listCandidates(s stage, e int, from uint64, c *candidates) {
	for i := range m.zones {
		z := &m.zones[i]
		if !s.allows(&m.entries[e], &z.location) {
			continue
		}

		for _, t := range z.targets {
			if p := m.preference(e, t); p >= from && p < c.below {
				c.list = append(c.list, candidate{preference: p, target: t})
			}
		}
	}

	slices.SortFunc(c.list, func(a, b candidate) int { return cmp.Compare(a.preference, b.preference) })
}

// propose matches entry e with target t if t has capacity or prefers e to another entry of
// this stage. It returns the displaced entry, e itself if it was refused, or -1. The first
// fixed entries of t stem from earlier stages and are not displaced.
func (m *Matching) propose(e, t int, fixed []int) int {
	if len(m.entriesOf[t]) < m.maxEntries {
		m.pair(e, t)

		return -1
	}

	worst, lowest := -1, m.preference(e, t)
	for k := fixed[t]; k < len(m.entriesOf[t]); k++ {
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

// pairAll matches every entry with every target.
func (m *Matching) pairAll() {
	for t := range m.targets {
		for e := range m.entries {
			m.pair(e, t)
		}
	}
}

// Targets returns the targets of an entry by ID, with the entry's share of each.
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
