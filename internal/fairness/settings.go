package fairness

import (
	"time"
)

// Settings are the tunable numbers of a Queue. The zero value of each field
// stands for the default named beside it.
type Settings struct {
	// Most bounds what waits in all (8,192), MostOfOne what waits of one workspace (512).
	Most      int
	MostOfOne int
	// Service is what a request is thought to take before any has ended (1 s).
	Service time.Duration
	// Margin is how many mean deviations of the service time beyond its mean a
	// deadline must leave to what has to wait (3). What can start at once is let
	// in while an ordinary fast request would still end in time.
	Margin float64
	// Reserve is how many times the estimated wait there must be time for when an
	// item comes (2). Without reserve many wait only to be refused later.
	Reserve float64
	// EmptyFor is how long a capacity of 0 is taken to be passing (2 s). After that
	// what waits is refused, and what comes too.
	EmptyFor time.Duration
	// ShortestRetry and LongestRetry bound the time until a refused caller's retry (200 ms, 30 s).
	ShortestRetry time.Duration
	LongestRetry  time.Duration
}

func (s Settings) withDefaults() Settings {
	if s.Most == 0 {
		s.Most = 8192
	}

	if s.MostOfOne == 0 {
		s.MostOfOne = 512
	}

	if s.Service == 0 {
		s.Service = time.Second
	}

	if s.Margin == 0 {
		s.Margin = 3
	}

	if s.Reserve == 0 {
		s.Reserve = 2
	}

	if s.EmptyFor == 0 {
		s.EmptyFor = 2 * time.Second
	}

	if s.ShortestRetry == 0 {
		s.ShortestRetry = 200 * time.Millisecond
	}

	if s.LongestRetry == 0 {
		s.LongestRetry = 30 * time.Second
	}

	return s
}
