package admission

import (
	"slices"
	"time"
)

const (
	// normSamples is how many first-token times the norm is learnt from.
	normSamples = 64
	// normNeeded is how many samples there must be before any is judged.
	normNeeded = 16
	// normRefresh is after how many samples the bound is worked out anew.
	normRefresh = 8
	// slowInRow is how many slow answers in a row are a sign of cold.
	slowInRow = 4
	// relearnAfter is how many slow answers at a ramping target make the norm forgotten.
	relearnAfter = 32
	// A first token is slow past medianFactor times the median and tailFactor times the 90th percentile.
	medianFactor = 4
	tailFactor   = 2
	// minSlow is a first-token time that is never slow: a cold start takes longer, and
	// on quick services the scheduler's jitter is many times the median.
	minSlow = 100 * time.Millisecond
	// maxDepthFactor bounds how much longer a first token may take in a burst.
	maxDepthFactor = 16
)

// norm learns the usual first-token time and tells when answers are far off it.
//
// It guards against a target that turned cold without a word: first tokens then
// come many times later than usual. One outlier doesn't count (slowInRow), nor
// does a mix of short and long prompts (the 90th percentile is part of the
// bound), nor a slow drift of load (the samples follow it), nor a burst (where
// requests queue, a first token takes longer by as much as there are more of them).
type norm struct {
	samples [normSamples]time.Duration
	n       int
	// bound is past what a first token is slow; 0 while there are too few samples.
	bound   time.Duration
	unfresh int
	// depth is the mean number of requests in flight behind the samples.
	depth float64
	// row counts slow answers in a row, pending holds them until it's clear whether they belong to the norm.
	row     int
	pending [slowInRow]firstToken
	ramping int
}

// firstToken is the wait for one first token, and how many requests were in flight
// when it began.
type firstToken struct {
	wait  time.Duration
	depth int
}

// isSlow reports whether f is far off the norm.
func (m *norm) isSlow(f firstToken) bool {
	if m.bound == 0 {
		return false
	}

	factor := min(max(float64(f.depth)/m.depth, 1), maxDepthFactor)

	return float64(f.wait) > float64(m.bound)*factor
}

// observe takes one first-token time and reports whether it is a sign of cold.
//
// At a ramping target slow answers that don't end are no cold start but how the
// target now works, and the norm is learnt anew; without that the limit would
// stay at its floor for good.
func (m *norm) observe(f firstToken, ramping bool) bool {
	if !ramping {
		m.ramping = 0
	}

	if !m.isSlow(f) {
		m.settle()
		m.learn(f)

		return false
	}

	if ramping {
		m.ramping++
	}

	if m.ramping >= relearnAfter {
		*m = norm{}
		return false
	}

	m.pending[m.row] = f
	m.row++

	if m.row < slowInRow {
		return false
	}

	m.row = 0

	return true
}

// settle learns the slow answers that turned out to be single ones.
func (m *norm) settle() {
	for _, p := range m.pending[:m.row] {
		m.learn(p)
	}

	m.row = 0
}

func (m *norm) learn(f firstToken) {
	if m.n == 0 {
		m.depth = float64(f.depth)
	}

	m.depth += (float64(f.depth) - m.depth) / normSamples
	m.samples[m.n%normSamples] = f.wait
	m.n++
	m.unfresh++

	if m.n >= normNeeded && (m.bound == 0 || m.unfresh >= normRefresh) {
		m.refresh()
	}
}

// refresh works the bound out.
func (m *norm) refresh() {
	sorted := m.samples
	count := min(m.n, normSamples)
	s := sorted[:count]
	slices.Sort(s)
	m.bound = max(minSlow, medianFactor*s[count/2], tailFactor*s[count*9/10])
	m.unfresh = 0
}
