package priority_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleygate/parsleygate/internal/priority"
)

// BenchmarkArrange is the cost of ordering the requests of 100 workspaces in three levels.
func BenchmarkArrange(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("Waiting=%d", n), func(b *testing.B) {
			var o priority.Order

			items := make([]priority.Item, n)
			for i := range items {
				items[i] = priority.Item{
					Level: priority.Level(i % 3), Workspace: fmt.Sprint("w", i%100), Work: 1, Since: startTime.Add(time.Duration(i*7919%n) * time.Millisecond),
				}
			}

			for b.Loop() {
				o.Place(startTime, &items[o.Arrange(startTime, items)[0]])
			}
		})
	}
}

// BenchmarkAgeOf is the cost of estimating the age of a request of one of 13,000 workspaces.
func BenchmarkAgeOf(b *testing.B) {
	a := newAges()
	names := make([]string, 13_000)

	for i := range names {
		names[i] = fmt.Sprint("w", i)
	}

	n := 0

	for b.Loop() {
		n++
		a.AgeOf(startTime.Add(time.Duration(n)*time.Millisecond), "r", names[n%len(names)], timeout-time.Duration(n%300)*time.Millisecond, timeout)
	}
}
