package dispatch

import (
	"math"
	"time"
)

const (
	// slowdownTTL is how long a reported slowdown remains valid.
	slowdownTTL = 2 * time.Second
	// minSlowRatio is the slowdown relative to the fastest target from which a target
	// counts as slow.
	minSlowRatio = 1.25
	// fixedStepCost is the fixed part of a step's duration, expressed as the number of
	// requests that take as long.
	fixedStepCost = 5
)

// setSlowdown records the slowdown of a target. Each target reports ten times a second,
// nearly always the same value, so the extremes over all targets are recomputed only when a
// value has changed or expired.
func (g *group) setSlowdown(now time.Time, t *target, slowdown float64) {
	unchanged := t.slowdown == slowdown && now.Sub(t.slowdownAt) <= slowdownTTL
	t.slowdown, t.slowdownAt = slowdown, now

	if !unchanged || now.After(g.slowdownsUntil) {
		g.updateSlowdowns(now)
	}
}

// updateSlowdowns recomputes the smallest and largest valid slowdown of the targets that
// accept requests, and the time until which they are valid without new reports.
func (g *group) updateSlowdowns(now time.Time) {
	g.minSlowdown, g.maxSlowdown, g.slowdownsUntil = math.Inf(1), 0, now.Add(slowdownTTL)

	for _, t := range g.targets {
		if t.slowdown == 0 || now.Sub(t.slowdownAt) > slowdownTTL || t.isDraining(now) {
			continue
		}

		g.minSlowdown, g.maxSlowdown = min(g.minSlowdown, t.slowdown), max(g.maxSlowdown, t.slowdown)

		if validUntil := t.slowdownAt.Add(slowdownTTL); validUntil.Before(g.slowdownsUntil) {
			g.slowdownsUntil = validUntil
		}
	}
}

// slowdownLimit returns the maximum number of requests at t, where limit is that of the
// fastest targets. In a lock-step group every rank waits for the slowest, so a slow rank
// with as many requests as the others delays the whole group. It is limited to the number
// it can process in the time of the others, which may be zero. If all targets are equally
// slow, the limit is unchanged.
func (g *group) slowdownLimit(now time.Time, t *target, limit float64) float64 {
	if t.slowdown == 0 || now.Sub(t.slowdownAt) > slowdownTTL {
		return limit
	}

	ratio := t.slowdown / g.minSlowdown
	if ratio < minSlowRatio {
		return limit
	}

	return max(0, (fixedStepCost+limit)/ratio-fixedStepCost)
}

// loadDependentFraction returns the fraction of a lock-step group's event gaps that is
// caused by the number of running requests. With a slow rank, the group waits for the fixed
// part of that rank's step, which fewer requests do not shorten.
func (g *group) loadDependentFraction() float64 {
	if g.maxSlowdown == 0 {
		return 1
	}

	typical := fixedStepCost + g.concurrencyLimit.bound
	slowest := fixedStepCost * g.maxSlowdown / g.minSlowdown

	return max(minLoadDependentFraction, typical/max(typical, slowest))
}

// minLoadDependentFraction limits how much of an event gap is attributed to a slow rank. If
// gaps exceed twice what callers accept, the streams end late whatever the limit is.
const minLoadDependentFraction = 0.5

// isSlow reports whether a rank of the group is slow. The forecast does not know how much of the work
// slow ranks still have, so limits by gaps then answer more requests.
func (g *group) isSlow(now time.Time) bool {
	return !now.After(g.slowdownsUntil) && g.maxSlowdown > 0 && g.maxSlowdown/g.minSlowdown >= minSlowRatio
}

// isSlow reports whether all groups of a prioritized service have a slow rank. Its requests are then
// served as those of other services: refusing at once whatever will be late would refuse nearly all.
func (s *service) isSlow(now time.Time) bool {
	if !s.Prioritized {
		return false
	}

	for _, g := range s.groups {
		if len(g.targets) > 0 && !g.isSlow(now) {
			return false
		}
	}

	return true
}
