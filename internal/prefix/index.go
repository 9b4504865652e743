// Package prefix tracks at an entry which prompt prefixes each target has cached. Its
// sources are this entry's own routing and the engines' cache events, which arrive late
// and with gaps.
package prefix

import (
	"math"
	"sort"
	"time"
)

// Index records which targets hold which prefixes. A prefix is identified by the hash
// of the prompt up to the end of a block. An Index is not safe for concurrent use.
type Index struct {
	// MaxBlocks limits the number of (target, prefix) pairs (65,536).
	MaxBlocks int
	// HalfLife is the time in which the confidence of a prefix recorded only by this
	// entry's own routing halves (2 min).
	HalfLife time.Duration

	targets map[string]*targetState
}

// The upper bounds of the confidence: of a prefix known only from this entry's routing,
// and of one reported by the engine before a gap in its events.
const (
	routedConfidence = 0.8
	gapConfidence    = 0.6
)

// Match is how much of a prompt a target holds.
type Match struct {
	// Blocks is how many of the prompt's prefixes the target holds, shortest first.
	Blocks int
	// Confidence is between 0 and 1; it is 1 for a prefix that the engine itself
	// reported.
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

// maxPerTarget returns how many prefixes are kept for one target.
func (x *Index) maxPerTarget() int { return max(x.MaxBlocks/max(len(x.targets), 1), 2) }

// stateOf returns the state of a target. A new incarnation starts empty, because its
// engine may have restarted too and numbers its events from 1 again.
func (x *Index) stateOf(target string, incarnation uint64) *targetState {
	x.initDefaults()

	s := x.targets[target]
	if s == nil || s.incarnation < incarnation {
		s = &targetState{incarnation: incarnation}
		x.targets[target] = s
	}

	return s
}

// Retain drops all targets except those for which keep returns true.
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

// Match returns how much of a prompt the target holds. Engines evict the last blocks of
// a prompt first, so a target that holds a prefix holds all shorter ones.
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

// confidence returns how certain it is that the target holds b.
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

// Size returns the number of (target, prefix) pairs, for a dump.
func (x *Index) Size() int {
	n := 0
	for _, s := range x.targets {
		n += len(s.young) + len(s.old)
	}

	return n
}
