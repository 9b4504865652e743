package ledger

import (
	"maps"
	"slices"
	"sort"
	"strings"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// change is one write of one record; record is nil for a removal.
type change struct {
	version uint64
	key     string
	record  *wire.Record
}

// recordTable holds the configuration and its latest changes, in order of version.
// Records are never modified once stored, and changes is only appended to or replaced,
// so that a Records value can share both.
type recordTable struct {
	live    map[string]*wire.Record
	changes []change
	version uint64
	// tombstones holds the versions of the retained removals, and horizon the version
	// of the latest removal that was dropped. Results and snapshots depend on both, so
	// both must be determined by the commands alone and not by the compaction of
	// changes.
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

// dropOldTombstones drops the older half of the retained removals. Readers older than
// the horizon get a full answer.
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

// withPrefix returns the live records whose keys begin with prefix, sorted by key.
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
	// Version is the log index of the last change of a record.
	Version uint64

	horizon uint64
	changes []change
}

// Delta holds the changes after some version.
type Delta struct {
	// Version is the version that the reader has after it applied the delta.
	Version uint64
	// Full means that Changed holds every record and that the reader drops all others.
	Full    bool
	Changed []*wire.Record
	Removed []string
}

// DeltaSince returns the changes after version. The delta is full for version 0, and
// if removals since version were dropped.
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

// lastPerKey returns the last change of each key after version, in order of version.
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
