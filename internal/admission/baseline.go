package admission

import (
	"slices"
	"time"
)

const (
	// baselineSamples is how many first-token times the norm is learnt from.
	baselineSamples = 64
	// minBaselineSamples is how many samples there must be before any is judged.
	minBaselineSamples = 16
	// thresholdUpdateSamples is after how many samples the bound is worked out anew.
	thresholdUpdateSamples = 8
	// slowStreakLimit is how many slow answers in a row are a sign of cold.
	slowStreakLimit = 4
	// rebuildAfterSlow is how many slow answers at a ramping target make the norm forgotten.
	rebuildAfterSlow = 32
	// A first token is slow past medianFactor times the median and tailFactor times the 90th percentile.
	medianFactor = 4
	p90Factor    = 2
	// minSlowThreshold is a first-token time that is never slow: a cold start takes longer, and
	// on quick services the scheduler's jitter is many times the median.
	minSlowThreshold = 100 * time.Millisecond
	// maxConcurrencyFactor bounds how much longer a first token may take in a burst.
	maxConcurrencyFactor = 16
)

// firstTokenBaseline learns the usual first-token time and tells when answers are far off it.
//
// It guards against a target that turned cold without a word: first tokens then
// come many times later than usual. One outlier doesn't count (slowInRow), nor
// does a mix of short and long prompts (the 90th percentile is part of the
// bound), nor a slow drift of load (the samples follow it), nor a burst (where
// requests queue, a first token takes longer by as much as there are more of them).
type firstTokenBaseline struct {
	samples [baselineSamples]time.Duration
	n       int
	// threshold is past what a first token is slow; 0 while there are too few samples.
	threshold          time.Duration
	samplesSinceUpdate int
	// meanConcurrency is the mean number of requests in flight behind the samples.
	meanConcurrency float64
	// slowStreak counts slow answers in a row, pending holds them until it's clear whether they belong to the norm.
	slowStreak       int
	pending          [slowStreakLimit]firstTokenSample
	slowWhileRamping int
}

// firstTokenSample is the wait for one first token, and how many requests were in flight
// when it began.
type firstTokenSample struct {
	wait        time.Duration
	concurrency int
}

// isSlow reports whether f is far off the norm.
func (b *firstTokenBaseline) isSlow(sample firstTokenSample) bool {
	if b.threshold == 0 {
		return false
	}

	factor := min(max(float64(sample.concurrency)/b.meanConcurrency, 1), maxConcurrencyFactor)

	return float64(sample.wait) > float64(b.threshold)*factor
}

// observe takes one first-token time and reports whether it is a sign of cold.
//
// At a ramping target slow answers that don't end are no cold start but how the
// target now works, and the norm is learnt anew; without that the limit would
// stay at its floor for good.
func (b *firstTokenBaseline) observe(sample firstTokenSample, ramping bool) bool {
	if !ramping {
		b.slowWhileRamping = 0
	}

	if !b.isSlow(sample) {
		b.acceptPending()
		b.addSample(sample)

		return false
	}

	if ramping {
		b.slowWhileRamping++
	}

	if b.slowWhileRamping >= rebuildAfterSlow {
		*b = firstTokenBaseline{}
		return false
	}

	b.pending[b.slowStreak] = sample
	b.slowStreak++

	if b.slowStreak < slowStreakLimit {
		return false
	}

	b.slowStreak = 0

	return true
}

// acceptPending learns the slow answers that turned out to be single ones.
func (b *firstTokenBaseline) acceptPending() {
	for _, p := range b.pending[:b.slowStreak] {
		b.addSample(p)
	}

	b.slowStreak = 0
}

func (b *firstTokenBaseline) addSample(sample firstTokenSample) {
	if b.n == 0 {
		b.meanConcurrency = float64(sample.concurrency)
	}

	b.meanConcurrency += (float64(sample.concurrency) - b.meanConcurrency) / baselineSamples
	b.samples[b.n%baselineSamples] = sample.wait
	b.n++
	b.samplesSinceUpdate++

	if b.n >= minBaselineSamples && (b.threshold == 0 || b.samplesSinceUpdate >= thresholdUpdateSamples) {
		b.updateThreshold()
	}
}

// updateThreshold works the bound out.
func (b *firstTokenBaseline) updateThreshold() {
	sorted := b.samples
	count := min(b.n, baselineSamples)
	values := sorted[:count]
	slices.Sort(values)
	b.threshold = max(minSlowThreshold, medianFactor*values[count/2], p90Factor*values[count*9/10])
	b.samplesSinceUpdate = 0
}
