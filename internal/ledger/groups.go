package ledger

import (
	"maps"
	"slices"

	"github.com/parsleygate/parsleygate/internal/expertmap"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// InitialMapVersion is the version of a group's first map, which is derived from the
// group's shape.
const InitialMapVersion = 1

// groupTable holds the committed state of each lock-step group's expert map. It is
// kept apart from the records that entries and agents follow: only the group's own
// ranks need it, and one map is larger than all other changes of a day.
type groupTable map[string]*wire.GroupState

// apply applies a group entry. An entry that no longer fits the state changes only
// AsOf, so proposers may repeat entries and two leaders may race.
func (t groupTable) apply(index uint64, e *wire.GroupEntry) {
	state := t[e.GetGroup()]
	if state == nil {
		state = &wire.GroupState{Group: e.GetGroup(), Record: expertmap.RecordToWire(InitialRecord())}
	}

	record := expertmap.RecordFromWire(state.GetRecord())
	record.Apply(expertmap.Fence(index), expertmap.EntryFromWire(e))

	next := &wire.GroupState{Group: e.GetGroup(), Record: expertmap.RecordToWire(record)}
	for _, m := range append(slices.Clone(state.GetMaps()), openedMaps(index, record, e)...) {
		if mapNeeded(record, m.GetVersion()) {
			next.Maps = append(next.Maps, m)
		}
	}

	t[e.GetGroup()] = next
}

// InitialRecord returns the record of a group that has no log entries yet.
func InitialRecord() expertmap.Record {
	return expertmap.Record{Current: expertmap.Activation{Version: InitialMapVersion}}
}

// openedMaps returns the map of the entry at index if that entry opened a switch.
func openedMaps(index uint64, r expertmap.Record, e *wire.GroupEntry) []*wire.GroupMap {
	if r.Open.Fence != expertmap.Fence(index) {
		return nil
	}

	return []*wire.GroupMap{{Version: e.GetVersion(), Placement: e.GetPlacement()}}
}

// mapNeeded reports whether a rank may still need the map.
func mapNeeded(r expertmap.Record, version uint64) bool {
	v := expertmap.Version(version)

	return v == r.Current.Version || v == r.Current.Previous || v == r.Open.Version
}

func (t groupTable) sorted() []*wire.GroupState {
	var out []*wire.GroupState
	for _, name := range slices.Sorted(maps.Keys(t)) {
		out = append(out, t[name])
	}

	return out
}

// Groups returns the committed map state of each group, sorted by name. The states are
// never changed, only replaced.
func (l *Ledger) Groups() []*wire.GroupState { return l.groups.sorted() }

func (l *Ledger) restoreGroups(s *wire.LedgerSnapshot) {
	for _, g := range s.GetGroups() {
		l.groups[g.GetGroup()] = g
	}
}
