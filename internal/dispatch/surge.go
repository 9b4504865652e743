package dispatch

import (
	"slices"
	"time"
)

// surge holds back starts while the steps of a lock-step group are suddenly long, as
// after a shift of demand until the next expert map: the prompt of a request that starts
// in a long step makes it too long for all streams that run.
type surge struct {
	// parts are the pauses of the present step, of which the last came at.
	parts []float64
	at    time.Time
	// since is when steps became long; zero while they are not.
	since time.Time
	// usual is how many requests are started in a usual step, started how many were in
	// the present one, and left how many more may be while steps are long.
	usual   float64
	started float64
	left    float64
}

const (
	// stepSpread is how far apart the events of one step arrive.
	stepSpread = 15 * time.Millisecond
	// leastParts is how many pauses tell how long a step was.
	leastParts = 3
	// longestSurge bounds how long starts are held back: steps that stay long are not
	// waited for.
	longestSurge = 400 * time.Millisecond
	// surgeLife is how long a step that was long tells something of the next one.
	surgeLife = 250 * time.Millisecond
	// startsMemory is over how many steps the starts of a usual one are averaged.
	startsMemory = 32
)

// pause takes in a pause between two events, in parts of what the caller accepts.
func (s *surge) pause(now time.Time, part float64, cfg *Settings) {
	if now.Sub(s.at) > stepSpread {
		s.parts = s.parts[:0]
	}

	s.parts = append(s.parts, part)
	s.at = now

	if len(s.parts) == leastParts {
		s.step(now, slices.Sorted(slices.Values(s.parts))[leastParts/2], cfg)
	}
}

// step takes in how long a step was.
func (s *surge) step(now time.Time, part float64, cfg *Settings) {
	if part < cfg.LongStepGap {
		s.usual += (s.started - s.usual) / startsMemory
		s.since, s.left = time.Time{}, 0
	} else {
		if s.since.IsZero() {
			s.since = now
		}

		s.left = s.usual * max(0, (cfg.NoStartGap-part)/(cfg.NoStartGap-cfg.LongStepGap))
	}

	s.started = 0
}

// start notes that a request was started.
func (s *surge) start() {
	s.started++
	s.left--
}

// holds reports whether starts are held back at now.
func (s *surge) holds(now time.Time) bool {
	return !s.since.IsZero() && s.left < 1 && now.Sub(s.since) < longestSurge && now.Sub(s.at) < surgeLife
}
