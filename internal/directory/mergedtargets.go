package directory

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// MergedTargets holds the targets that an entry received from all control VMs. It is not
// safe for concurrent use.
type MergedTargets struct {
	targets map[string]*Target
}

// Merge merges the targets that a control VM published. It reports whether anything
// changed.
func (m *MergedTargets) Merge(ts []Target) bool {
	if m.targets == nil {
		m.targets = make(map[string]*Target)
	}

	changed := false

	for i := range ts {
		changed = m.mergeTarget(ts[i]) || changed
	}

	return changed
}

func (m *MergedTargets) mergeTarget(t Target) bool {
	known := m.targets[t.ID]
	if known == nil {
		m.targets[t.ID] = &t

		return !t.isRemoved()
	}

	wasRemoved := known.isRemoved()

	for _, r := range t.Removals {
		known.addRemoval(r)
	}

	if t.StartTime == known.StartTime {
		known.RegisteredAt = earlierKnown(known.RegisteredAt, t.RegisteredAt)
	}

	changed := m.mergeAnnouncement(known, t)
	if isRemoved := m.targets[t.ID].isRemoved(); isRemoved || wasRemoved {
		return isRemoved != wasRemoved
	}

	return changed
}

// earlierKnown returns the earlier one of two times that may be unknown.
func earlierKnown(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}

	return a
}

// mergeAnnouncement merges what a target has announced, and reports whether that changed anything.
func (m *MergedTargets) mergeAnnouncement(known *Target, t Target) bool {
	switch {
	case t.State == Removed && t.StartTime == 0:
		// A control VM that did not know the target published its removal.
		return false
	case t.State == Removed && t.StartTime == known.StartTime:
		changed := known.State != Removed
		known.State = Removed

		return changed
	case known.State == Removed && t.StartTime <= known.StartTime:
		return false
	case !supersedes(&t, known) && (t.StartTime != known.StartTime || t.Sequence != known.Sequence || t.State <= known.State):
		return false
	}

	if equivalent(known, &t, coldTolerance) {
		// The target was published again only for its sequence number.
		known.Sequence = t.Sequence

		return false
	}

	t.Removals = known.Removals
	if t.StartTime == known.StartTime {
		t.RegisteredAt = known.RegisteredAt
	}

	m.targets[t.ID] = &t

	return true
}

// Targets returns the targets that are not removed, sorted by ID. Of several targets with
// the same address only the newest counts.
func (m *MergedTargets) Targets() []Target {
	holders := make(map[netip.AddrPort]*Target, len(m.targets))

	for _, t := range m.targets {
		if holder := holders[t.Address]; holder == nil || t.StartTime > holder.StartTime {
			holders[t.Address] = t
		}
	}

	out := make([]Target, 0, len(holders))

	for _, t := range holders {
		if !t.isRemoved() {
			out = append(out, *t)
		}
	}

	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })

	return out
}
