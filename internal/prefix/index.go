// Package prefix keeps what an entry knows of the prompt prefixes that each
// target has cached: by its own routing, and by the engines' cache events,
// which come late and with gaps.
package prefix

import (
	"math"
	"sort"
	"time"
)

// Index knows which targets hold which prefixes. A prefix is named by the hash
// of a prompt up to the end of a block. The index is not safe for concurrent
// use: its owner guards it.
type Index struct {
	// MaxBlocks bounds how many (target, prefix) pairs are kept (65,536).
	MaxBlocks int
	// HalfLife is the time in which what only this entry's own routing tells
	// loses half of its certainty (2 min).
	HalfLife time.Duration

	targets map[string]*holder
}

// The bounds of certainty. Even what the engine said is less sure after a gap.
const (
	certainRouted = 0.8
	certainGap    = 0.6
)

// Match is how much of a prompt a target holds.
type Match struct {
	// Blocks is how many of the prompt's prefixes, shortest first, it holds.
	Blocks int
	// Certainty is between 0 and 1: 1 for what the engine itself has said.
	Certainty float64
}

func (x *Index) start() {
	if x.targets != nil {
		return
	}

	x.targets = map[string]*holder{}

	if x.MaxBlocks == 0 {
		x.MaxBlocks = 1 << 16
	}

	if x.HalfLife == 0 {
		x.HalfLife = 2 * time.Minute
	}
}

// room is how many prefixes are kept of one target.
func (x *Index) room() int { return max(x.MaxBlocks/max(len(x.targets), 1), 2) }

// of returns what is known of a target. Another incarnation starts with nothing:
// its engine may have restarted with it, and numbers its events anew.
func (x *Index) of(target string, incarnation uint64) *holder {
	x.start()

	h := x.targets[target]
	if h == nil || h.incarnation < incarnation {
		h = &holder{incarnation: incarnation}
		x.targets[target] = h
	}

	return h
}

// Retain forgets all targets but those of which keep is true.
func (x *Index) Retain(keep func(target string) bool) {
	for name := range x.targets {
		if !keep(name) {
			delete(x.targets, name)
		}
	}
}

// RecordRouted records that a prompt was sent to a target.
func (x *Index) RecordRouted(now time.Time, target string, incarnation uint64, prefixes []uint64) {
	h := x.of(target, incarnation)
	if h.incarnation != incarnation {
		return
	}

	for _, p := range prefixes {
		b := h.get(p)
		b.routedAt, b.gone = now, false
		h.put(p, b, x.room())
	}
}

// Match returns how much of a prompt the target holds. Engines drop a prompt's
// last blocks first, so that who holds a prefix holds all shorter ones.
func (x *Index) Match(now time.Time, target string, prefixes []uint64) Match {
	h := x.targets[target]
	if h == nil {
		return Match{}
	}

	n := sort.Search(len(prefixes), func(i int) bool { return !h.holds(prefixes[i]) })
	if n == 0 {
		return Match{}
	}

	return Match{Blocks: n, Certainty: x.certainty(now, h, h.get(prefixes[n-1]))}
}

// certainty is how sure it is that the target holds b.
func (x *Index) certainty(now time.Time, h *holder, b block) float64 {
	said := 0.0
	if b.sequence > 0 {
		said = 1
		if b.sequence < h.missingTo() {
			said = certainGap
		}
	}

	if b.routedAt.IsZero() {
		return said
	}

	age := now.Sub(b.routedAt).Seconds() / x.HalfLife.Seconds()

	return max(said, certainRouted*math.Exp2(-age))
}

// Size returns how many (target, prefix) pairs are kept, for a dump.
func (x *Index) Size() int {
	n := 0
	for _, h := range x.targets {
		n += len(h.young) + len(h.old)
	}

	return n
}
