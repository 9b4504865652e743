package callers_test

import (
	"testing"
	"time"
)

// BenchmarkDecline measures the decision about one connection at an entry under excessive demand.
func BenchmarkDecline(b *testing.B) {
	d, now := excessiveDecliner()

	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		d.Demand.SetMean(now, 20)
		d.Decline(now, some)
	}
}
