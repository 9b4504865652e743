package ledger

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// change is one write to one record; record is nil where it was removed.
type change struct {
	version uint64
	key     string
	record  *wire.Record
}

// recordTable holds the configuration and, in order of version, its latest
// changes. Records are never altered once they are in it, and changes only grow
// at the end or are replaced as a whole, so that a Records value can share them.
type recordTable struct {
	live    map[string]*wire.Record
	changes []change
	version uint64
	// tombstones holds the versions of the kept removals, and horizon the version
	// of the latest one that is no longer kept. Both depend on commands alone,
	// since results and snapshots depend on them; compaction does not.
	tombstones    map[string]uint64
	horizon       uint64
	maxTombstones int
}

func newRecordTable(maxTombstones int) recordTable {
	return recordTable{
		live:          map[string]*wire.Record{},
		tombstones:    map[string]uint64{},
		maxTombstones: maxTombstones,
	}
}

func (t *recordTable) get(key string) *wire.Record { return t.live[key] }

func (t *recordTable) put(version uint64, record *wire.Record) {
	record.Version = version
	t.live[record.Key] = record
	delete(t.tombstones, record.Key)
	t.appendChange(change{version: version, key: record.Key, record: record})
}

func (t *recordTable) remove(version uint64, key string) {
	if _, ok := t.live[key]; !ok {
		return
	}

	delete(t.live, key)
	t.tombstones[key] = version
	t.appendChange(change{version: version, key: key})

	if len(t.tombstones) > t.maxTombstones {
		t.dropOldTombstones()
	}
}

// dropOldTombstones drops the older half of the kept removals. Readers older than
// the horizon get everything.
func (t *recordTable) dropOldTombstones() {
	versions := slices.Sorted(maps.Values(t.tombstones))
	t.horizon = versions[len(versions)/2]

	maps.DeleteFunc(t.tombstones, func(_ string, version uint64) bool { return version <= t.horizon })
}

func (t *recordTable) appendChange(c change) {
	t.version = c.version
	t.changes = append(t.changes, c)

	if len(t.changes) > 2*(len(t.live)+len(t.tombstones))+16 {
		t.compact()
	}
}

// compact drops the changes that no reader needs any more.
func (t *recordTable) compact() {
	last := lastPerKey(t.changes, 0)
	t.changes = slices.DeleteFunc(last, func(c change) bool {
		return c.record == nil && c.version <= t.horizon
	})
}

// withPrefix returns the live records whose keys begin with prefix, in order of key.
func (t *recordTable) withPrefix(prefix string) []*wire.Record {
	var out []*wire.Record

	for key, record := range t.live {
		if strings.HasPrefix(key, prefix) {
			out = append(out, record)
		}
	}

	slices.SortFunc(out, func(a, b *wire.Record) int { return strings.Compare(a.Key, b.Key) })

	return out
}

func (t *recordTable) current() Records {
	return Records{
		Version: t.version,
		horizon: t.horizon,
		changes: t.changes[:len(t.changes):len(t.changes)],
	}
}

// Records is the configuration at one version. It is immutable.
type Records struct {
	// Version is the log index that last changed a record.
	Version uint64

	horizon uint64
	changes []change
}

// Delta is what changed after some version.
type Delta struct {
	// Version is the version that the reader has after applying the delta.
	Version uint64
	// Full: Changed holds every record, and all others are to be dropped.
	Full    bool
	Changed []*wire.Record
	Removed []string
}

// DeltaSince returns what changed after version. Where the removals since then
// are no longer kept, and for version 0, the delta is full.
func (r Records) DeltaSince(version uint64) Delta {
	d := Delta{Version: r.Version, Full: version == 0 || version < r.horizon}
	if d.Full {
		version = 0
	}

	for _, c := range lastPerKey(r.changes, version) {
		switch {
		case c.record != nil:
			d.Changed = append(d.Changed, c.record)
		case !d.Full:
			d.Removed = append(d.Removed, c.key)
		}
	}

	return d
}

// Get returns the record at key, or nil.
func (r Records) Get(key string) *wire.Record {
	for _, c := range slices.Backward(r.changes) {
		if c.key == key {
			return c.record
		}
	}

	return nil
}

// All returns every record, in order of version.
func (r Records) All() []*wire.Record { return r.DeltaSince(0).Changed }

// lastPerKey returns the last change of each key after version, in order.
func lastPerKey(changes []change, version uint64) []change {
	first := sort.Search(len(changes), func(i int) bool { return changes[i].version > version })
	seen := make(map[string]bool, len(changes)-first)

	var out []change

	for _, c := range slices.Backward(changes[first:]) {
		if seen[c.key] {
			continue
		}

		seen[c.key] = true

		out = append(out, c)
	}

	slices.Reverse(out)

	return out
}
