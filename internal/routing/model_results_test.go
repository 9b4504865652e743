package routing_test

import (
	"math"
	"slices"
	"time"
)

// results are the measurements of one run.
type results struct {
	offered, answered, late, refused, attempts int
	latencies                                  []float64
	imbalance                                  []float64
	hitBlocks, blocks                          int
	// answeredAt and offeredAt count by the second of arrival the requests answered in
	// time and all requests; endedAt counts those answered in time by the second of
	// their end.
	answeredAt, offeredAt map[int]int
	endedAt               map[int]int
}

// repeat calls do at the given interval until the horizon.
func (m *model) repeat(d time.Duration, do func()) {
	m.after(d, func() {
		do()
		m.repeat(d, do)
	})
}

// startPeriodic starts the load reports, the credit requests, and from the given time
// the samples of the imbalance.
func (m *model) startPeriodic(from time.Duration) {
	if m.reportLag > 0 {
		for _, t := range m.targets {
			m.after(time.Duration(m.rng.Int64N(int64(m.reportLag))), func() {
				m.repeat(m.reportLag, func() { t.reportedLoad, t.reportedAt = t.inFlight, m.now })
			})
		}
	}

	for _, e := range m.entries {
		for _, i := range e.subset {
			m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() {
				m.repeat(time.Second, func() { m.sendReport(e, i) })
			})
		}

		m.repeat(200*time.Millisecond, func() { m.requestCredits(e) })
	}

	m.repeat(100*time.Millisecond, func() {
		if m.now >= from {
			m.results.imbalance = append(m.results.imbalance, m.imbalance())
		}
	})
}

// imbalance returns the coefficient of variation of the targets' utilization.
func (m *model) imbalance() float64 {
	sum, squares, n := 0.0, 0.0, 0.0

	for _, t := range m.targets {
		if t.ZoneOut || t.down {
			continue
		}

		x := float64(t.inFlight) / t.limit
		sum += x
		squares += x * x
		n++
	}

	if sum == 0 {
		return 0
	}

	mean := sum / n

	return math.Sqrt(max(0, squares/n-mean*mean)) / mean
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}

	s := slices.Clone(v)
	slices.Sort(s)

	return s[int(q*float64(len(s)-1))]
}

func mean(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}

	sum := 0.0
	for _, x := range v {
		sum += x
	}

	return sum / float64(len(v))
}
