package fairness

import (
	"cmp"
	"time"
)

// Settings are the tunable numbers of a Queue. The zero value of each field
// stands for the default named beside it.
type Settings struct {
	// MaxWaiting bounds what waits in all (8,192), MostOfOne what waits of one workspace (512).
	MaxWaiting             int
	MaxWaitingPerWorkspace int
	// InitialServiceTime is what a request is thought to take before any has ended (1 s).
	InitialServiceTime time.Duration
	// DeadlineMargin is how many mean deviations of the service time beyond its mean a
	// deadline must leave to what has to wait (3). What can start at once is let
	// in while an ordinary fast request would still end in time.
	DeadlineMargin float64
	// WaitFactor is how many times the estimated wait there must be time for when an
	// item comes (2). Without reserve many wait only to be refused later.
	WaitFactor float64
	// ZeroCapacityGrace is how long a capacity of 0 is taken to be passing (2 s). After that
	// what waits is refused, and what comes too.
	ZeroCapacityGrace time.Duration
	// MinRetryDelay and LongestRetry bound the time until a refused caller's retry (200 ms, 30 s).
	MinRetryDelay time.Duration
	MaxRetryDelay time.Duration
}

func (s Settings) withDefaults() Settings {
	s.MaxWaiting = cmp.Or(s.MaxWaiting, 8192)
	s.MaxWaitingPerWorkspace = cmp.Or(s.MaxWaitingPerWorkspace, 512)
	s.InitialServiceTime = cmp.Or(s.InitialServiceTime, time.Second)
	s.DeadlineMargin = cmp.Or(s.DeadlineMargin, 3)
	s.WaitFactor = cmp.Or(s.WaitFactor, 2)
	s.ZeroCapacityGrace = cmp.Or(s.ZeroCapacityGrace, 2*time.Second)
	s.MinRetryDelay = cmp.Or(s.MinRetryDelay, 200*time.Millisecond)
	s.MaxRetryDelay = cmp.Or(s.MaxRetryDelay, 30*time.Second)

	return s
}
