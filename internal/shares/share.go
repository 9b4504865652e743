// Package shares divides limits that several entries share. Each entry computes its own
// part from the lists of entries and targets alone, without messages. The parts add up to
// the limit, and change little when entries join or leave.
package shares

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is one entry's part of a limit that is shared by Entries entries. Each of them has
// a distinct Index, starting at 0. The zero value is the share of an entry that has the
// whole limit.
type Share struct {
	Index   int
	Entries int
}

// None is the share of an entry that has no part of a limit, because it does not know how many
// others share it.
func None() Share { return Share{Entries: -1} }

// turnDuration is the minimum time for which an entry has a unit if there are fewer units
// than entries.
const turnDuration = 10 * time.Second

// Units returns the number of whole units of total that this entry has at now. The
// remainder of the division goes to the entries with the lowest indexes. If there are fewer
// units than entries, the units rotate among the entries, one at a time. Every entry thus
// gets a turn, and little more than total units are used within a short window.
func (s Share) Units(now time.Time, total float64) int {
	units := int(total)

	switch {
	case s.Entries < 0:
		return 0
	case s.Entries <= 1:
		return units
	case units <= 0:
		return 0
	case units < s.Entries:
		return s.rotatingUnit(now, units)
	default:
		return units/s.Entries + clampToOne(units%s.Entries-s.Index)
	}
}

// rotatingUnit returns 1 while this entry has one of the rotating units, and 0 otherwise.
// The entries are placed on a circle, and an arc as long as the number of units moves
// around it. Entries whose lists differ slightly agree on nearly all turns.
func (s Share) rotatingUnit(now time.Time, units int) int {
	if s.distance(now, s.rotation(units))*float64(s.Entries) < float64(units) {
		return 1
	}

	return 0
}

// rotation returns how long the arc takes to move around the circle.
func (s Share) rotation(units int) time.Duration {
	rotation := minRotation
	for rotation*time.Duration(units) < turnDuration*time.Duration(s.Entries) {
		rotation *= 2
	}

	return rotation
}

// distance returns how far this entry is ahead of the beginning of the arc, as a fraction of
// the circle.
func (s Share) distance(now time.Time, rotation time.Duration) float64 {
	position := float64(now.UnixNano()%int64(rotation)) / float64(rotation)

	distance := float64(s.Index)/float64(s.Entries) - position
	if distance < 0 {
		distance++
	}

	return distance
}

// NextUnit returns when this entry has a unit of total next: at now if it has one already. It
// returns now also if the limit has no units, or this entry no part of them.
func (s Share) NextUnit(now time.Time, total float64) time.Time {
	units := int(total)
	if units <= 0 || s.Entries < 0 || s.Units(now, total) > 0 {
		return now
	}

	rotation := s.rotation(units)
	wait := (s.distance(now, rotation) - float64(units)/float64(s.Entries)) * float64(rotation)

	return now.Add(time.Duration(wait) + time.Millisecond)
}

// minRotation is the duration of the shortest rotation.
const minRotation = 16 * time.Second

func clampToOne(n int) int { return max(0, min(n, 1)) }

// ForLimit returns the share of self in the limit called name, which all entries share. An
// entry that is not yet listed in entries is added.
func ForLimit(self Node, entries []Node, name string) Share {
	key := xxhash.Sum64String(name)
	selfHash := MixHashes(xxhash.Sum64String(self.ID), key)
	s := Share{Entries: 1}

	for _, e := range entries {
		if e.ID == self.ID {
			continue
		}

		s.Entries++

		if MixHashes(xxhash.Sum64String(e.ID), key) > selfHash {
			s.Index++
		}
	}

	return s
}
