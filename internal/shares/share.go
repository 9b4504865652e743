// Package shares divides limits that entries hold together. Each entry works out its own
// part from the lists of entries and targets alone, without a message: the parts add up
// to the limit, and change little while entries come and go.
package shares

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Share is one entry's part of a limit that Of entries hold together. Each of them has
// another Index, from 0 on. The zero value is that of an entry which holds it alone.
type Share struct {
	Index   int
	Entries int
}

// turnDuration is how long an entry has a unit at least, where there are fewer units than entries.
const turnDuration = 10 * time.Second

// Units returns how many whole units of total this entry has at now. What does not divide
// evenly goes to the entries of the lowest indexes. Where there are fewer units than
// entries, the units move on by turns, one at a time, so that nobody is left without and
// hardly more than total are used within a short window.
func (s Share) Units(now time.Time, total float64) int {
	units := int(total)

	switch {
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

// rotatingUnit returns 1 while it is this entry's turn to have one of so many units. The entries
// stand in a circle, of which a part as large as the units moves on around it: entries whose
// lists differ a little agree on nearly all turns.
func (s Share) rotatingUnit(now time.Time, units int) int {
	rotation := minRotation
	for rotation*time.Duration(units) < turnDuration*time.Duration(s.Entries) {
		rotation *= 2
	}

	position := float64(now.UnixNano()%int64(rotation)) / float64(rotation)
	distance := float64(s.Index)/float64(s.Entries) - position

	if distance < 0 {
		distance++
	}

	if distance*float64(s.Entries) < float64(units) {
		return 1
	}

	return 0
}

// minRotation is how long the shortest way around the circle is.
const minRotation = 16 * time.Second

// clampToOne returns 1 for a positive n, else 0.
func clampToOne(n int) int { return max(0, min(n, 1)) }

// ForLimit returns the share of self in a limit of that name, which all entries hold together.
// An entry that is not among entries yet is added.
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
