package role

import (
	"context"
	"time"
)

const (
	// enoughQuarters is the part of the answers, in quarters, after which the rest is waited for
	// only some time longer.
	enoughQuarters = 3
	// minExtraWait bounds that time from below, and timesLonger is how many times longer the
	// rest may take than most did.
	minExtraWait    = 25 * time.Millisecond
	extraWaitFactor = 2
)

// gatherMost does something n times at once and returns what came of it in time: once most are
// done the rest is waited for some time longer, and left out after that. One answer in ten
// that is lost would else cost each round its whole time.
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
