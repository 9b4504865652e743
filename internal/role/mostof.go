package role

import (
	"context"
	"time"
)

const (
	// mostPart is the part of the answers, in quarters, after which the rest is waited for
	// only some time longer.
	mostPart = 3
	// leastLonger bounds that time from below, and timesLonger is how many times longer the
	// rest may take than most did.
	leastLonger = 25 * time.Millisecond
	timesLonger = 2
)

// mostOf does something n times at once and returns what came of it in time: once most are
// done the rest is waited for some time longer, and left out after that. One answer in ten
// that is lost would else cost each round its whole time.
func mostOf[T any](ctx context.Context, n int, do func(ctx context.Context, i int) T) []T {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	type answer struct {
		i   int
		got T
	}

	answers := make(chan answer, n)
	began := time.Now()

	for i := range n {
		go func() { answers <- answer{i: i, got: do(ctx, i)} }()
	}

	var late <-chan time.Time

	out := make([]T, n)

	for done := 1; done <= n; done++ {
		select {
		case a := <-answers:
			out[a.i] = a.got
		case <-late:
			return out
		case <-ctx.Done():
			return out
		}

		if late == nil && done*4 >= n*mostPart {
			late = time.After(max(leastLonger, timesLonger*time.Since(began)))
		}
	}

	return out
}
