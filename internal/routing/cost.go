package routing

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// cost estimates how dear it is to send ask to t, where other entries have that
// many in flight; 1 is a warm target that is full.
func (c *Chooser) cost(now time.Time, p *pool, t *target, req *Request, others float64) float64 {
	load := others + float64(t.inFlight) + 1
	cost := load / float64(t.maxInFlight())

	if t.Cold {
		cost = c.coldCost(now, p, t, req, load)
	}

	if p.medianWait > 0 && t.health.waitSamples >= minWaitSamples {
		cost *= max(1, t.health.meanWait/p.medianWait)
	}

	return cost + t.health.penalty() + c.localityCost(t, req) - c.prefixGain(now, t, req)
}

// coldCost is the cost of a cold target that has a free slot for this entry.
// Under load it is compared by its warm capacity, so that it gets all that it
// may have and its ramp goes on. While warm targets idle it gets a request now
// and then, one that may be repeated, and else only what is no dearer there.
func (c *Chooser) coldCost(now time.Time, p *pool, t *target, req *Request, load float64) float64 {
	warmUp := req.Idempotent && !now.Before(t.nextWarmUpAt)
	if warmUp || p.warmUtilisation > c.Settings.ColdTrafficThreshold {
		return load / float64(max(t.maxInFlight(), t.Capacity)) / 2
	}

	return load / float64(t.maxInFlight())
}

// localityCost is the cost of leaving the caller's zone or region.
func (c *Chooser) localityCost(t *target, req *Request) float64 {
	switch {
	case t.Region != req.Region:
		return c.Settings.OtherRegionCost
	case t.Zone != req.Zone:
		return c.Settings.OtherZoneCost
	default:
		return 0
	}
}

// prefixGain is what the target's cache is worth for the ask, and a little for
// the target that is the opening's home.
func (c *Chooser) prefixGain(now time.Time, t *target, req *Request) float64 {
	if len(req.Prefixes) == 0 {
		return 0
	}

	m := c.Prefixes.Match(now, t.AgentID, req.Prefixes)
	gain := c.Settings.PrefixGain * m.Confidence * float64(m.Blocks) / float64(len(req.Prefixes))

	return gain + c.Settings.AffinityGain*t.affinity(req.Prefixes[min(c.Settings.AffinityBlocks, len(req.Prefixes))-1])
}

// affinity is between 0 and 1, and near 1 at one of many targets for each
// opening. The mixing is that of Subsets.
func (t *target) affinity(opening uint64) float64 {
	x := float64(shares.MixHashes(opening, t.hash)>>11) / (1 << 53)
	x *= x
	x *= x

	return x * x
}
