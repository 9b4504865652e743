package directory

import (
	"net/netip"
	"slices"
	"strings"
)

// Merged is what an entry knows of targets from all control VMs. One goroutine
// at a time uses it.
type Merged struct {
	targets map[string]*Target
}

// Take merges what a control VM published. It reports whether something changed.
func (m *Merged) Take(ts []Target) bool {
	if m.targets == nil {
		m.targets = make(map[string]*Target)
	}

	changed := false

	for i := range ts {
		changed = m.take(ts[i]) || changed
	}

	return changed
}

func (m *Merged) take(t Target) bool {
	known := m.targets[t.ID]

	switch {
	case known == nil:
		m.targets[t.ID] = &t

		return t.State != Gone
	case t.State == Gone && t.Born == 0, t.State == Gone && t.Born == known.Born:
		// A farewell that reached a control VM which did not know the target ends
		// whatever start of it is known here.
		changed := known.State != Gone
		known.State = Gone

		return changed
	case known.State == Gone && t.Born <= known.Born:
		return false
	case !newer(&t, known) && (t.Born != known.Born || t.Sequence != known.Sequence || t.State <= known.State):
		return false
	}

	m.targets[t.ID] = &t

	return true
}

// Targets returns the targets that are not gone, the newest holder of each
// address, by ID.
func (m *Merged) Targets() []Target {
	holders := make(map[netip.AddrPort]*Target, len(m.targets))

	for _, t := range m.targets {
		if holder := holders[t.Address]; holder == nil || t.Born > holder.Born {
			holders[t.Address] = t
		}
	}

	out := make([]Target, 0, len(holders))

	for _, t := range holders {
		if t.State != Gone {
			out = append(out, *t)
		}
	}

	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })

	return out
}
