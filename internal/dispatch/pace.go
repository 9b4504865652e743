package dispatch

import (
	"math"
	"time"
)

const (
	// paceLife is how long a target's word on its pace holds.
	paceLife = 2 * time.Second
	// leastSlow is the pace from which a target counts as slow.
	leastSlow = 1.25
	// fixedPart is how many requests take as long as the part of a step that does not
	// depend on them.
	fixedPart = 5
)

// setPace takes in how many times longer than usual a target takes. Words come ten
// times a second from each target, and are almost always the same: all are looked at
// again only where one has changed or is too old.
func (s *service) setPace(now time.Time, t *target, pace float64) {
	same := t.pace == pace && now.Sub(t.pacedAt) <= paceLife
	t.pace, t.pacedAt = pace, now

	if !same || now.After(s.pacesUntil) {
		s.weighPaces(now)
	}
}

// weighPaces finds the paces of the fastest and of the slowest target that takes
// requests, and until when they hold if nothing else is said.
func (s *service) weighPaces(now time.Time) {
	s.leastPace, s.mostPace, s.pacesUntil = math.Inf(1), 0, now.Add(paceLife)

	for _, t := range s.targets {
		if t.pace == 0 || now.Sub(t.pacedAt) > paceLife || t.Draining {
			continue
		}

		s.leastPace, s.mostPace = min(s.leastPace, t.pace), max(s.mostPace, t.pace)

		if until := t.pacedAt.Add(paceLife); until.Before(s.pacesUntil) {
			s.pacesUntil = until
		}
	}
}

// crowdedAt returns how many requests t may have where the fastest targets may have
// bound. In a lock-step group all wait for the last: a slow rank that is given as much
// as the others holds all of them up, so it gets what it does in the time that the
// others take, which may be nothing. Where all are slow alike, they share as usual.
func (s *service) crowdedAt(now time.Time, t *target, bound float64) float64 {
	if t.pace == 0 || now.Sub(t.pacedAt) > paceLife {
		return bound
	}

	slow := t.pace / s.leastPace
	if slow < leastSlow {
		return bound
	}

	return max(0, (fixedPart+bound)/slow-fixedPart)
}

// crowdedPart returns which part of the pauses of a lock-step group is due to how many
// requests run. With a slow rank, all wait for the fixed part of its step, which fewer
// requests do not shorten.
func (s *service) crowdedPart() float64 {
	if s.mostPace == 0 {
		return 1
	}

	usual := fixedPart + s.crowding.bound
	last := fixedPart * s.mostPace / s.leastPace

	return max(leastCrowdedPart, usual/max(usual, last))
}

// leastCrowdedPart bounds how much of a pause is put down to a slow rank. At more than
// twice the pauses that callers accept, their streams end late whatever the bound is.
const leastCrowdedPart = 0.5
