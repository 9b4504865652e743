package latency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/latency"
)

func ExampleEstimator() {
	var s latency.Estimator

	for range 10 {
		s.Observe(90*time.Millisecond, 4)
		s.Observe(110*time.Millisecond, 4)
	}

	within, known := s.UpperBound(3)
	fmt.Println(s.Mean.Round(10*time.Millisecond), within > 120*time.Millisecond, known)
	// Output: 100ms true true
}

// An overloaded entry and a director act on operations that take longer than nearly all
// others. With an exponential tail, at most one in twenty may exceed the bound.
func TestFewSamplesExceedThreeDeviations(t *testing.T) {
	t.Parallel()

	r := rand.New(rand.NewPCG(1, 1))
	over := 0

	var s latency.Estimator

	const samples = 20_000

	for range samples {
		d := time.Duration(r.ExpFloat64() * float64(time.Second))

		if within, known := s.UpperBound(3); known && d > within {
			over++
		}

		s.Observe(d, 32)
	}

	require.Less(t, over, samples/20)
}
