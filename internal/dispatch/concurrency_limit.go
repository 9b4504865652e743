package dispatch

import (
	"slices"
	"time"
)

// concurrencyLimit is an adaptive limit on the requests assigned to a target at once. It is
// driven by the gaps between the events of the target's streams.
//
// Each request that runs in a lock-step group lengthens every step for the whole group, and
// a step longer than callers accept makes all streams late. The limit therefore falls when
// event gaps approach the accepted gap, and rises again while they stay well below it.
type concurrencyLimit struct {
	bound     float64
	gaps      []float64
	updatedAt time.Time
}

// observeGap records a gap between two events of a stream, as a ratio of the gap that the
// caller accepts, and updates the limit once per LimitUpdateInterval.
func (c *concurrencyLimit) observeGap(now time.Time, ratio float64, slots int, cfg *Settings) {
	// A much longer gap is caused by a stall, not by the number of requests.
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

// increase returns by how much the limit rises for an observed gap ratio. The further the
// gap is below LowEventGap, the larger the increase; the decrease scales in the same way.
func (c *concurrencyLimit) increase(gap float64, cfg *Settings) float64 {
	return max(minIncrease, c.bound*(min(cfg.LowEventGap/gap, maxIncreaseFactor)-1))
}

const (
	// stallGap is the gap ratio above which a gap is attributed to a stall and ignored.
	stallGap = 4
	// minGaps is the number of gaps needed for an update of the limit.
	minGaps = 8
	// gapPercentile is the percentile of the gaps that the limit follows.
	gapPercentile = 80
	// minDecreaseFactor and maxIncreaseFactor bound the change of the limit in one update.
	minDecreaseFactor = 0.75
	maxIncreaseFactor = 1.25
	// minLimit is the lower bound of the limit.
	minLimit = 2
	// minIncrease is the smallest increase in one update.
	minIncrease = 0.4
	// initialSlotFraction is the initial limit as a fraction of the target's slots.
	initialSlotFraction = 0.6
)

// limit returns the maximum number of requests at t.
func (c *concurrencyLimit) limit(t *target) float64 {
	// Start below the number of slots: all entries may have just restarted, with every
	// caller reconnecting at once.
	if c.bound == 0 {
		return initialSlotFraction * float64(t.Slots)
	}

	return c.bound
}
