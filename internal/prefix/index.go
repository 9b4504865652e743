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

	targets map[string]*targetState
}

// The bounds of certainty. Even what the engine said is less sure after a gap.
const (
	routedConfidence = 0.8
	gapConfidence    = 0.6
)

// Match is how much of a prompt a target holds.
type Match struct {
	// Blocks is how many of the prompt's prefixes, shortest first, it holds.
	Blocks int
	// Confidence is between 0 and 1: 1 for what the engine itself has said.
	Confidence float64
}

func (x *Index) initDefaults() {
	if x.targets != nil {
		return
	}

	x.targets = map[string]*targetState{}

	if x.MaxBlocks == 0 {
		x.MaxBlocks = 1 << 16
	}

	if x.HalfLife == 0 {
		x.HalfLife = 2 * time.Minute
	}
}

// maxPerTarget is how many prefixes are kept of one target.
func (x *Index) maxPerTarget() int { return max(x.MaxBlocks/max(len(x.targets), 1), 2) }

// stateOf returns what is known of a target. Another incarnation starts with nothing:
// its engine may have restarted with it, and numbers its events anew.
func (x *Index) stateOf(target string, incarnation uint64) *targetState {
	x.initDefaults()

	s := x.targets[target]
	if s == nil || s.incarnation < incarnation {
		s = &targetState{incarnation: incarnation}
		x.targets[target] = s
	}

	return s
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
	s := x.stateOf(target, incarnation)
	if s.incarnation != incarnation {
		return
	}

	for _, p := range prefixes {
		b := s.get(p)
		b.routedAt, b.evicted = now, false
		s.put(p, b, x.maxPerTarget())
	}
}

// Match returns how much of a prompt the target holds. Engines drop a prompt's
// last blocks first, so that who holds a prefix holds all shorter ones.
func (x *Index) Match(now time.Time, target string, prefixes []uint64) Match {
	s := x.targets[target]
	if s == nil {
		return Match{}
	}

	n := sort.Search(len(prefixes), func(i int) bool { return !s.holds(prefixes[i]) })
	if n == 0 {
		return Match{}
	}

	return Match{Blocks: n, Confidence: x.confidence(now, s, s.get(prefixes[n-1]))}
}

// confidence is how sure it is that the target holds b.
func (x *Index) confidence(now time.Time, s *targetState, b block) float64 {
	reported := 0.0
	if b.lastSequence > 0 {
		reported = 1
		if b.lastSequence < s.lastGapEnd() {
			reported = gapConfidence
		}
	}

	if b.routedAt.IsZero() {
		return reported
	}

	age := now.Sub(b.routedAt).Seconds() / x.HalfLife.Seconds()

	return max(reported, routedConfidence*math.Exp2(-age))
}

// Size returns how many (target, prefix) pairs are kept, for a dump.
func (x *Index) Size() int {
	n := 0
	for _, s := range x.targets {
		n += len(s.young) + len(s.old)
	}

	return n
}
