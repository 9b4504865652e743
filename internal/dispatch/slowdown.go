package dispatch

import (
	"math"
	"time"
)

const (
	// slowdownTTL is how long a target's word on its pace holds.
	slowdownTTL = 2 * time.Second
	// minSlowRatio is the pace from which a target counts as slow.
	minSlowRatio = 1.25
	// fixedStepCost is how many requests take as long as the part of a step that does not
	// depend on them.
	fixedStepCost = 5
)

// setSlowdown takes in how many times longer than usual a target takes. Words come ten
// times a second from each target, and are almost always the same: all are looked at
// again only where one has changed or is too old.
func (s *service) setSlowdown(now time.Time, t *target, slowdown float64) {
	unchanged := t.slowdown == slowdown && now.Sub(t.slowdownAt) <= slowdownTTL
	t.slowdown, t.slowdownAt = slowdown, now

	if !unchanged || now.After(s.slowdownsUntil) {
		s.updateSlowdowns(now)
	}
}

// updateSlowdowns finds the paces of the fastest and of the slowest target that takes
// requests, and until when they hold if nothing else is said.
func (s *service) updateSlowdowns(now time.Time) {
	s.minSlowdown, s.maxSlowdown, s.slowdownsUntil = math.Inf(1), 0, now.Add(slowdownTTL)

	for _, t := range s.targets {
		if t.slowdown == 0 || now.Sub(t.slowdownAt) > slowdownTTL || t.Draining {
			continue
		}

		s.minSlowdown, s.maxSlowdown = min(s.minSlowdown, t.slowdown), max(s.maxSlowdown, t.slowdown)

		if validUntil := t.slowdownAt.Add(slowdownTTL); validUntil.Before(s.slowdownsUntil) {
			s.slowdownsUntil = validUntil
		}
	}
}

// slowdownLimit returns how many requests t may have where the fastest targets may have
// bound. In a lock-step group all wait for the last: a slow rank that is given as much
// as the others holds all of them up, so it gets what it does in the time that the
// others take, which may be nothing. Where all are slow alike, they share as usual.
func (s *service) slowdownLimit(now time.Time, t *target, limit float64) float64 {
	if t.slowdown == 0 || now.Sub(t.slowdownAt) > slowdownTTL {
		return limit
	}

	ratio := t.slowdown / s.minSlowdown
	if ratio < minSlowRatio {
		return limit
	}

	return max(0, (fixedStepCost+limit)/ratio-fixedStepCost)
}

// loadDependentFraction returns which part of the pauses of a lock-step group is due to how many
// requests run. With a slow rank, all wait for the fixed part of its step, which fewer
// requests do not shorten.
func (s *service) loadDependentFraction() float64 {
	if s.maxSlowdown == 0 {
		return 1
	}

	typical := fixedStepCost + s.concurrencyLimit.bound
	slowest := fixedStepCost * s.maxSlowdown / s.minSlowdown

	return max(minLoadDependentFraction, typical/max(typical, slowest))
}

// minLoadDependentFraction bounds how much of a pause is put down to a slow rank. At more than
// twice the pauses that callers accept, their streams end late whatever the bound is.
const minLoadDependentFraction = 0.5
