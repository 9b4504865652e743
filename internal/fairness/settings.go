package fairness

import (
	"cmp"
	"time"
)

// Settings configures a Queue. A zero field takes the default in parentheses.
type Settings struct {
	// MaxWaiting limits the waiting items in total (8,192), and MaxWaitingPerWorkspace
	// those of one workspace (512).
	MaxWaiting             int
	MaxWaitingPerWorkspace int
	// InitialServiceTime is the estimated duration of a request before any has
	// completed (1 s).
	InitialServiceTime time.Duration
	// DeadlineMargin is how many mean deviations beyond the mean service time a waiting
	// item must have left to its deadline when it starts (3). An item that can start
	// immediately is admitted if a faster than average request would still end in time.
	DeadlineMargin float64
	// WaitFactor is how many times the estimated wait a new item must have time for
	// (2). With a lower factor many items wait only to be refused later.
	WaitFactor float64
	// ZeroCapacityGrace is how long a capacity of 0 is assumed to be temporary (2 s).
	// After that all waiting and new items are refused.
	ZeroCapacityGrace time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry delay of a refused caller
	// (200 ms, 30 s).
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

func (s Settings) withDefaults() Settings {
	s.MaxWaiting = cmp.Or(s.MaxWaiting, 8192)
	s.MaxWaitingPerWorkspace = cmp.Or(s.MaxWaitingPerWorkspace, 512)
	s.InitialServiceTime = cmp.Or(s.InitialServiceTime, time.Second)
	s.DeadlineMargin = cmp.Or(s.DeadlineMargin, 3)
	s.WaitFactor = cmp.Or(s.WaitFactor, 2)
	s.ZeroCapacityGrace = cmp.Or(s.ZeroCapacityGrace, 2*time.Second)
	s.MinRetryAfter = cmp.Or(s.MinRetryAfter, 200*time.Millisecond)
	s.MaxRetryAfter = cmp.Or(s.MaxRetryAfter, 30*time.Second)

	return s
}
