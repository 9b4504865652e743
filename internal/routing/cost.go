package routing

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// cost estimates how dear it is to send ask to t, where other entries have that
// many in flight; 1 is a warm target that is full.
func (c *Chooser) cost(now time.Time, p *pool, t *target, ask *Request, others float64) float64 {
	load := others + float64(t.own) + 1
	cost := load / float64(t.bears())

	if t.Cold {
		cost = c.coldCost(now, p, t, ask, load)
	}

	if p.medianWait > 0 && t.health.waits >= waitsNeeded {
		cost *= max(1, t.health.wait/p.medianWait)
	}

	return cost + t.health.penalty() + c.distance(t, ask) - c.prefixGain(now, t, ask)
}

// coldCost is the cost of a cold target that has a free slot for this entry.
// Under load it is compared by its warm capacity, so that it gets all that it
// may have and its ramp goes on. While warm targets idle it gets a request now
// and then, one that may be repeated, and else only what is no dearer there.
func (c *Chooser) coldCost(now time.Time, p *pool, t *target, ask *Request, load float64) float64 {
	warmUp := ask.Idempotent && !now.Before(t.warmUpAt)
	if warmUp || p.fullness > c.Settings.WarmUpAbove {
		return load / float64(max(t.bears(), t.Capacity)) / 2
	}

	return load / float64(t.bears())
}

// distance is the cost of leaving the caller's zone or region.
func (c *Chooser) distance(t *target, ask *Request) float64 {
	switch {
	case t.Region != ask.Region:
		return c.Settings.OtherRegion
	case t.Zone != ask.Zone:
		return c.Settings.OtherZone
	default:
		return 0
	}
}

// prefixGain is what the target's cache is worth for the ask, and a little for
// the target that is the opening's home.
func (c *Chooser) prefixGain(now time.Time, t *target, ask *Request) float64 {
	if len(ask.Prefixes) == 0 {
		return 0
	}

	m := c.Prefixes.Match(now, t.AgentID, ask.Prefixes)
	gain := c.Settings.PrefixGain * m.Certainty * float64(m.Blocks) / float64(len(ask.Prefixes))

	return gain + c.Settings.HomeGain*t.homeliness(ask.Prefixes[min(c.Settings.HomeBlocks, len(ask.Prefixes))-1])
}

// homeliness is between 0 and 1, and near 1 at one of many targets for each
// opening. The mixing is that of Subsets.
func (t *target) homeliness(opening uint64) float64 {
	x := float64(shares.MixHashes(opening, t.hash)>>11) / (1 << 53)
	x *= x
	x *= x

	return x * x
}
