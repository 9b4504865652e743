package view

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// mergedRoster holds the entries that any control VM reported. It counts the control VMs that
// report each entry, so that a change costs what it changes.
type mergedRoster struct {
	// changed is set if nodes would return another result than before.
	changed bool

	sources map[netip.AddrPort]map[string]shares.Node // by the control VM that reported them
	reports map[shares.Node]int
}

// replace stores the entries that a control VM reported.
func (m *mergedRoster) replace(control netip.AddrPort, nodes []shares.Node) {
	previous := m.sources[control]
	delete(m.sources, control)
	m.change(control, nodes, nil)

	// The new entries are counted first, as most of them are among the previous ones.
	for _, n := range previous {
		m.remove(n)
	}
}

// change applies a change that a control VM reported to its entries.
func (m *mergedRoster) change(control netip.AddrPort, changed []shares.Node, gone []string) {
	if m.sources == nil {
		m.sources = make(map[netip.AddrPort]map[string]shares.Node)
		m.reports = make(map[shares.Node]int)
	}

	source := m.sources[control]
	if source == nil {
		source = make(map[string]shares.Node, len(changed))
		m.sources[control] = source
	}

	for _, n := range changed {
		previous, known := source[n.ID]
		source[n.ID] = n
		m.add(n)

		if known {
			m.remove(previous)
		}
	}

	for _, id := range gone {
		if n, known := source[id]; known {
			delete(source, id)
			m.remove(n)
		}
	}
}

// drop removes the entries that a control VM reported.
func (m *mergedRoster) drop(control netip.AddrPort) {
	for _, n := range m.sources[control] {
		m.remove(n)
	}

	delete(m.sources, control)
}

func (m *mergedRoster) add(n shares.Node) {
	m.reports[n]++
	m.changed = m.changed || m.reports[n] == 1
}

func (m *mergedRoster) remove(n shares.Node) {
	if m.reports[n]--; m.reports[n] == 0 {
		delete(m.reports, n)

		m.changed = true
	}
}

// nodes returns the entries sorted by ID, each once, and resets changed.
func (m *mergedRoster) nodes() []shares.Node {
	m.changed = false

	all := slices.SortedFunc(maps.Keys(m.reports), func(a, b shares.Node) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), strings.Compare(a.Zone, b.Zone))
	})

	return slices.CompactFunc(all, func(a, b shares.Node) bool { return a.ID == b.ID })
}
