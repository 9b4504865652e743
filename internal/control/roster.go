package control

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// rosterTTL is how long a roster is used before followers are checked for timeouts again.
const rosterTTL = 200 * time.Millisecond

// maxRosterChanges is the number of changes after which a follower that missed them gets the
// whole roster.
const maxRosterChanges = 64

// maxRelays bounds the relay addresses in an answer; a director needs one or two.
const maxRelays = 8

// roster holds the entries that share the targets, and a hash of them.
type roster struct {
	entries []*wire.RosterEntry
	// absent are other entries that may still use their parts of limits.
	absent []*wire.RosterEntry
	hash   uint64
	// relays are addresses at which some of the entries relay orders to engines.
	relays []string
	// changes are the latest changes, oldest first.
	changes []rosterChange
}

// absentEntry is an entry that was not heard of anymore at since.
type absentEntry struct {
	zone       string
	since      time.Time
	isRecorded bool
}

// rosterChange is the difference between a roster and the next one.
type rosterChange struct {
	// fromHash is the hash of the roster before the change.
	fromHash uint64
	// changed lists the entries that joined or moved, gone the IDs of those that left.
	changed []*wire.RosterEntry
	gone    []string
}

// currentRoster returns the active followers that are not leaving, by ID. The result is
// cached for rosterTTL, as each follower of a large deployment requests it several times a
// second.
func (t *targetTracker) currentRoster(now time.Time) *roster {
	if now.Before(t.rosterExpires) {
		return &t.roster
	}

	t.rosterExpires = now.Add(rosterTTL)
	t.demands.reset()

	t.retryRecordedSince = now.Add(-maxRetryWindow)
	if now.Before(t.rosterCompleteAt) {
		t.retryRecordedSince = t.retryUsage.StartedAt
	}

	var (
		entries, absent []*wire.RosterEntry
		relays          []string
	)

	for _, id := range slices.Sorted(maps.Keys(t.followers)) {
		f := t.followers[id]

		switch {
		case now.Sub(f.lastRequest) > followerTimeout:
			delete(t.followers, id)

			if !f.leaving && !f.isAgent {
				t.absent[id] = absentEntry{zone: f.zone, since: now, isRecorded: f.isRecorded}
			}
		case f.leaving && !f.isAgent:
			absent = append(absent, &wire.RosterEntry{ID: id, Zone: f.zone})
		case !f.leaving:
			if !f.isRecorded {
				t.retryRecordedSince = t.retryUsage.StartedAt
			}

			entries = append(entries, &wire.RosterEntry{ID: id, Zone: f.zone})
			t.demands.add(f.zone, f.demand)

			if f.relay != "" {
				relays = append(relays, f.relay)
			}
		}
	}

	slices.Sort(relays)
	t.roster.relays = relays[:min(len(relays), maxRelays)]
	t.roster.update(entries, append(absent, t.absentEntries(now)...))

	return &t.roster
}

// absentEntries returns the entries that are not heard of anymore, the last ones first, and forgets
// those that are too old or too many.
func (t *targetTracker) absentEntries(now time.Time) []*wire.RosterEntry {
	ids := slices.SortedFunc(maps.Keys(t.absent), func(a, b string) int {
		return cmp.Or(t.absent[b].since.Compare(t.absent[a].since), strings.Compare(a, b))
	})

	out := make([]*wire.RosterEntry, 0, len(ids))

	for i, id := range ids {
		if a := t.absent[id]; i < maxAbsent && now.Sub(a.since) < absentRetention {
			out = append(out, &wire.RosterEntry{ID: id, Zone: a.zone})

			if !a.isRecorded {
				t.retryRecordedSince = t.retryUsage.StartedAt
			}
		} else {
			delete(t.absent, id)
		}
	}

	return out
}

// update replaces the entries and records the change.
func (r *roster) update(entries, absent []*wire.RosterEntry) {
	hash := xxhash.New()
	for _, e := range entries {
		_, _ = hash.WriteString(e.GetID() + "\x00" + e.GetZone() + "\x00")
	}

	for _, e := range absent {
		_, _ = hash.WriteString("\x00" + e.GetID() + "\x00")
	}

	if hash.Sum64() == r.hash {
		return
	}

	r.absent = absent

	change := rosterChange{fromHash: r.hash}
	previous := make(map[string]string, len(r.entries))

	for _, e := range r.entries {
		previous[e.GetID()] = e.GetZone()
	}

	for _, e := range entries {
		if zone, ok := previous[e.GetID()]; !ok || zone != e.GetZone() {
			change.changed = append(change.changed, e)
		}

		delete(previous, e.GetID())
	}

	change.gone = slices.Collect(maps.Keys(previous))
	r.changes = append(r.changes, change)
	r.changes = r.changes[max(0, len(r.changes)-maxRosterChanges):]
	r.entries, r.hash = entries, hash.Sum64()
}

// addTo adds to out what the sender of q lacks: nothing, the changes since the roster that it
// has, or the whole roster.
func (r *roster) addTo(out *wire.FollowResponse, q *wire.FollowRequest) {
	out.Entries = uint32(len(r.entries))
	out.RosterHash = r.hash
	out.Relays = r.relays

	if r.hash == q.GetRosterHash() {
		return
	}

	out.Absent = r.absent

	first := len(r.changes) - 1
	for first >= 0 && r.changes[first].fromHash != q.GetRosterHash() {
		first--
	}

	if !q.GetRosterChanges() || q.GetRosterHash() == 0 || first < 0 {
		out.Roster = r.entries

		return
	}

	out.RosterPartial = true
	out.Roster, out.RosterGone = mergeRosterChanges(r.changes[first:])
}

// mergeRosterChanges merges successive changes: the last one of each entry counts.
func mergeRosterChanges(changes []rosterChange) (changed []*wire.RosterEntry, gone []string) {
	latest := make(map[string]*wire.RosterEntry)

	for _, c := range changes {
		for _, e := range c.changed {
			latest[e.GetID()] = e
		}

		for _, id := range c.gone {
			latest[id] = nil
		}
	}

	for id, e := range latest {
		if e == nil {
			gone = append(gone, id)
		} else {
			changed = append(changed, e)
		}
	}

	return changed, gone
}
