package role

import (
	"context"
	"time"
)

const (
	// enoughQuarters is the part of the answers, in quarters, after which the wait for
	// the rest is limited.
	enoughQuarters = 3
	// minExtraWait is the minimum of that extra wait. Otherwise it is extraWaitFactor
	// times as long as the answers so far took.
	minExtraWait    = 25 * time.Millisecond
	extraWaitFactor = 2
)

// gatherMost calls do n times concurrently and returns the results that arrived in
// time. Once three quarters of the calls have returned, it waits for the rest only a
// limited time, and leaves zero values for those that are still missing. Without the
// limit, one lost answer in ten would make each round take its full timeout.
func gatherMost[T any](ctx context.Context, n int, do func(ctx context.Context, i int) T) []T {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	type answer struct {
		i   int
		got T
	}

	answers := make(chan answer, n)
	start := time.Now()

	for i := range n {
		go func() { answers <- answer{i: i, got: do(ctx, i)} }()
	}

	var timeout <-chan time.Time

	out := make([]T, n)

	for done := 1; done <= n; done++ {
		select {
		case a := <-answers:
			out[a.i] = a.got
		case <-timeout:
			return out
		case <-ctx.Done():
			return out
		}

		if timeout == nil && done*4 >= n*enoughQuarters {
			timeout = time.After(max(minExtraWait, extraWaitFactor*time.Since(start)))
		}
	}

	return out
}
