package fairness

import (
	"cmp"
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
	s.Most = cmp.Or(s.Most, 8192)
	s.MostOfOne = cmp.Or(s.MostOfOne, 512)
	s.Service = cmp.Or(s.Service, time.Second)
	s.Margin = cmp.Or(s.Margin, 3)
	s.Reserve = cmp.Or(s.Reserve, 2)
	s.EmptyFor = cmp.Or(s.EmptyFor, 2*time.Second)
	s.ShortestRetry = cmp.Or(s.ShortestRetry, 200*time.Millisecond)
	s.LongestRetry = cmp.Or(s.LongestRetry, 30*time.Second)

	return s
}
