package lockstep

import (
	"math/rand/v2"
)

// fenceShift reserves the low bits of a fencing number for a random part. A directing agent
// that restarts does not have the numbers of its predecessor and must not use an equal one.
const fenceShift = 24

// RaiseFence raises the fencing number above all that a predecessor can have used for maps up
// to version. A predecessor uses at most two for each version.
func (s *Switcher) RaiseFence(version uint64) {
	s.fence = max(s.fence, (version*fencesPerVersion+fenceMargin)<<fenceShift)
}

const (
	fencesPerVersion = 4
	fenceMargin      = 16
)

// nextFence returns a number above all that this agent has used, and far above one that was
// refused as too low.
func (s *Switcher) nextFence() uint64 {
	if s.fenced.Swap(false) {
		s.fence *= 2
	}

	s.fence = (s.fence>>fenceShift+1)<<fenceShift | rand.Uint64N(1<<fenceShift)

	return s.fence
}
