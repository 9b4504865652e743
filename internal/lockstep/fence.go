package lockstep

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// fenceShift reserves the low bits of a fencing number for a random part. A directing agent
// that restarts does not have the numbers of its predecessor and must not use an equal one.
const fenceShift = 24

// RaiseFence raises the fencing number above all that a predecessor can have used for maps up
// to version. A predecessor uses at most two for each generation.
func (s *Switcher) RaiseFence(version uint64) {
	s.fence = max(s.fence, (generation(version)*fencesPerGeneration+fenceMargin)<<fenceShift)
}

const (
	fencesPerGeneration = 4
	fenceMargin         = 16
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

// claim gives all ranks a higher fencing number, with an order that has no effect, and waits until
// they have accepted it. From then on no order of a predecessor can change what they report. It
// does nothing if all ranks have a number of this agent and none was refused since.
func (s *Switcher) claim(ctx context.Context, highest uint64) error {
	if s.claimed && !s.fenced.Load() {
		return nil
	}

	began := time.Now()
	s.claimed = false
	s.RaiseFence(highest)

	// No rank has this version.
	disarm := s.order(wire.EngineOrderKind_EngineOrderDisarm, s.nextFence(), newVersion(highest, 1), 0)

	ctx, cancel := context.WithTimeout(ctx, s.Settings.GoTimeout)
	defer cancel()

	if err := s.orderAll(ctx, errNotReady, func(int) *wire.EngineOrder { return disarm }, nil); err != nil {
		return err
	}

	s.claimed = true
	s.Logger.Info("All ranks have accepted the fencing number of this agent.", "fence", disarm.GetFence(), "took", time.Since(began).Round(time.Millisecond))

	return nil
}
