package routing

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// cost estimates the cost of sending req to t, where others is the number of requests
// in flight from other entries. A full warm target costs 1.
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

// coldCost returns the cost of a cold target with a free slot for this entry. When the
// warm targets are loaded, the cost is based on the target's warm capacity, so that the
// target uses all its slots and keeps ramping up. Otherwise it gets one idempotent
// request per warm-up interval, plus any request for which it is no more expensive than
// a warm target.
func (c *Chooser) coldCost(now time.Time, p *pool, t *target, req *Request, load float64) float64 {
	warmUp := req.Idempotent && !now.Before(t.nextWarmUpAt)
	if warmUp || p.warmUtilization > c.Settings.ColdTrafficThreshold {
		return load / float64(max(t.maxInFlight(), t.Capacity)) / 2
	}

	return load / float64(t.maxInFlight())
}

// localityCost returns the cost of leaving the caller's zone or region.
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

// prefixGain returns how much the target's cached prefixes reduce the cost of req, plus
// a smaller gain for the target that the start of the prompt hashes to.
func (c *Chooser) prefixGain(now time.Time, t *target, req *Request) float64 {
	if len(req.Prefixes) == 0 {
		return 0
	}

	m := c.Prefixes.Match(now, t.AgentID, req.Prefixes)
	gain := c.Settings.PrefixGain * m.Confidence * float64(m.Blocks) / float64(len(req.Prefixes))

	return gain + c.Settings.AffinityGain*t.affinity(req.Prefixes[min(c.Settings.AffinityBlocks, len(req.Prefixes))-1])
}

// affinity returns a value between 0 and 1 that is close to 1 at one of many targets
// for each prompt start. It mixes hashes as shares.Subsetter does.
func (t *target) affinity(startHash uint64) float64 {
	x := float64(shares.MixHashes(startHash, t.hash)>>11) / (1 << 53)
	x *= x
	x *= x

	return x * x
}
