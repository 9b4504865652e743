package admission

import (
	"slices"
	"time"
)

const (
	// baselineSamples is how many of the latest first-token times form the baseline.
	baselineSamples = 64
	// minBaselineSamples is how many samples are needed before any time counts as slow.
	minBaselineSamples = 16
	// thresholdUpdateSamples is after how many samples the threshold is recomputed.
	thresholdUpdateSamples = 8
	// slowStreakLimit is how many consecutive slow first tokens indicate a cold target.
	slowStreakLimit = 4
	// rebuildAfterSlow is how many slow first tokens at a ramping target reset the baseline.
	rebuildAfterSlow = 32
	// A first token is slow if it takes longer than medianFactor times the median and
	// than p90Factor times the 90th percentile.
	medianFactor = 4
	p90Factor    = 2
	// minSlowThreshold is the lowest threshold. A cold start takes longer than this,
	// and on fast services scheduling jitter is many times the median.
	minSlowThreshold = 100 * time.Millisecond
	// maxConcurrencyFactor bounds the factor by which the threshold rises in a burst.
	maxConcurrencyFactor = 16
)

// firstTokenBaseline tracks the typical time to the first token and detects times far
// above it.
//
// It guards against a target that turned cold without reporting it, so that first
// tokens take many times longer than before. These do not count as cold:
//   - single outliers, because slowStreakLimit consecutive slow times are required;
//   - a mix of short and long prompts, because the threshold includes the 90th
//     percentile;
//   - slowly changing load, because the samples follow it;
//   - bursts, because the threshold rises in proportion to the number of concurrent
//     requests: where requests queue, so does the time to the first token.
type firstTokenBaseline struct {
	samples [baselineSamples]time.Duration
	n       int
	// threshold is the time above which a first token is slow, or 0 while there are
	// too few samples.
	threshold          time.Duration
	samplesSinceUpdate int
	// meanConcurrency is the moving average of the concurrency of the samples.
	meanConcurrency float64
	// slowStreak counts consecutive slow samples. pending holds these until either a
	// fast sample shows that they are outliers, or the streak reaches its limit.
	slowStreak       int
	pending          [slowStreakLimit]firstTokenSample
	slowWhileRamping int
}

// firstTokenSample is the time to one first token, and the number of requests in flight
// when the request was admitted.
type firstTokenSample struct {
	wait        time.Duration
	concurrency int
}

// isSlow reports whether the sample is far above the baseline.
func (b *firstTokenBaseline) isSlow(sample firstTokenSample) bool {
	if b.threshold == 0 {
		return false
	}

	factor := min(max(float64(sample.concurrency)/b.meanConcurrency, 1), maxConcurrencyFactor)

	return float64(sample.wait) > float64(b.threshold)*factor
}

// observe records one sample and reports whether it indicates a cold target.
//
// If slow first tokens persist while the target is ramping, they are not a cold start
// but the new normal, for instance after prompts became longer. The baseline is then
// rebuilt. Otherwise the limit would stay at its floor.
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

// acceptPending adds the slow samples that turned out to be outliers to the baseline.
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

// updateThreshold recomputes the threshold from the current samples.
func (b *firstTokenBaseline) updateThreshold() {
	sorted := b.samples
	count := min(b.n, baselineSamples)
	values := sorted[:count]
	slices.Sort(values)
	b.threshold = max(minSlowThreshold, medianFactor*values[count/2], p90Factor*values[count*9/10])
	b.samplesSinceUpdate = 0
}
