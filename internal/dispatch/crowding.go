package dispatch

import (
	"slices"
	"time"
)

// crowding bounds how many requests a target is given at once, by the pauses
// between the events of its streams.
//
// Each request that runs in a lock-step group makes every step longer for all, and one
// step that is longer than callers accept makes all streams late. So the bound falls
// when pauses come near to that, and rises again while they are well below.
type crowding struct {
	bound   float64
	pauses  []float64
	decided time.Time
}

// pause takes in a pause between two events, in parts of what the caller accepts.
func (c *crowding) pause(now time.Time, part float64, slots int, cfg *Settings) {
	// A pause that is much longer comes from a stall, not from crowding.
	if part > stallPart {
		return
	}

	c.pauses = append(c.pauses, part)

	if now.Sub(c.decided) < cfg.LimitUpdateInterval || len(c.pauses) < leastPauses {
		return
	}

	slices.Sort(c.pauses)
	high := c.pauses[len(c.pauses)*highPause/100]
	c.pauses = c.pauses[:0]
	c.decided = now

	if c.bound == 0 {
		c.bound = startPart * float64(slots)
	}

	switch {
	case high > cfg.HighEventGap:
		c.bound = max(c.bound*max(cfg.HighEventGap/high, sharpestFall), leastCrowding)
	case high < cfg.LowEventGap:
		c.bound = min(c.bound+c.rise(high, cfg), float64(slots)+cfg.MaxQueuedPerTarget)
	}
}

// rise is how far the bound goes up where pauses are high parts of what callers accept:
// the further below the more, as it falls.
func (c *crowding) rise(high float64, cfg *Settings) float64 {
	return max(riseStep, c.bound*(min(cfg.LowEventGap/high, sharpestRise)-1))
}

const (
	stallPart     = 4
	leastPauses   = 8
	highPause     = 80 // percentile
	sharpestFall  = 0.75
	sharpestRise  = 1.25
	leastCrowding = 2
	riseStep      = 0.4
	startPart     = 0.6
)

// limit returns how many requests t may have.
func (c *crowding) limit(t *target) float64 {
	// All entries may just have started anew, with every caller coming back at once.
	if c.bound == 0 {
		return startPart * float64(t.Slots)
	}

	return c.bound
}
