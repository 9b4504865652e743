package dispatch

import (
	"slices"
	"time"
)

// concurrencyLimit bounds how many requests a target is given at once, by the pauses
// between the events of its streams.
//
// Each request that runs in a lock-step group makes every step longer for all, and one
// step that is longer than callers accept makes all streams late. So the bound falls
// when pauses come near to that, and rises again while they are well below.
type concurrencyLimit struct {
	bound     float64
	gaps      []float64
	updatedAt time.Time
}

// observeGap takes in a pause between two events, in parts of what the caller accepts.
func (c *concurrencyLimit) observeGap(now time.Time, ratio float64, slots int, cfg *Settings) {
	// A pause that is much longer comes from a stall, not from crowding.
	if ratio > stallGap {
		return
	}

	c.gaps = append(c.gaps, ratio)

	if now.Sub(c.updatedAt) < cfg.LimitUpdateInterval || len(c.gaps) < minGaps {
		return
	}

	slices.Sort(c.gaps)
	gap := c.gaps[len(c.gaps)*gapPercentile/100]
	c.gaps = c.gaps[:0]
	c.updatedAt = now

	if c.bound == 0 {
		c.bound = initialSlotFraction * float64(slots)
	}

	switch {
	case gap > cfg.HighEventGap:
		c.bound = max(c.bound*max(cfg.HighEventGap/gap, minDecreaseFactor), minLimit)
	case gap < cfg.LowEventGap:
		c.bound = min(c.bound+c.increase(gap, cfg), float64(slots)+cfg.MaxQueuedPerTarget)
	}
}

// increase is how far the bound goes up where pauses are high parts of what callers accept:
// the further below the more, as it falls.
func (c *concurrencyLimit) increase(gap float64, cfg *Settings) float64 {
	return max(minIncrease, c.bound*(min(cfg.LowEventGap/gap, maxIncreaseFactor)-1))
}

const (
	stallGap            = 4
	minGaps             = 8
	gapPercentile       = 80 // percentile
	minDecreaseFactor   = 0.75
	maxIncreaseFactor   = 1.25
	minLimit            = 2
	minIncrease         = 0.4
	initialSlotFraction = 0.6
)

// limit returns how many requests t may have.
func (c *concurrencyLimit) limit(t *target) float64 {
	// All entries may just have started anew, with every caller coming back at once.
	if c.bound == 0 {
		return initialSlotFraction * float64(t.Slots)
	}

	return c.bound
}
