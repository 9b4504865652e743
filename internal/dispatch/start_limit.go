package dispatch

import (
	"slices"
	"time"
)

// startLimit delays the start of requests while the steps of a lock-step group are suddenly
// long, for example after a shift of demand until the next expert map is active. A request
// that starts in a long step adds its prompt to it, which makes the step too long for all
// running streams.
type startLimit struct {
	// gaps are the event gaps of the current step, as ratios of the accepted gap. The last
	// one was recorded at lastGapAt.
	gaps      []float64
	lastGapAt time.Time
	// stepGap is a running mean of the event gaps of steps, as a ratio of the accepted gap.
	// The last step was recorded at stepAt.
	stepGap float64
	stepAt  time.Time
	// longSince is when steps became long, or zero while they are not.
	longSince time.Time
	// typicalStarts is the mean number of requests started in a step of normal length,
	// started the number in the current step, and remaining the number that may still start
	// while steps are long.
	typicalStarts float64
	started       float64
	remaining     float64
}

const (
	// stepArrivalWindow is the maximum time between two events of the same step.
	stepArrivalWindow = 15 * time.Millisecond
	// minGapsPerStep is the number of event gaps from which the length of a step is
	// estimated.
	minGapsPerStep = 3
	// maxStartDelay limits how long starts are delayed: steps may stay long.
	maxStartDelay = 400 * time.Millisecond
	// longStepTTL is how long a long step is taken to predict that the next one is long
	// too.
	longStepTTL = 250 * time.Millisecond
	// lateStepWindow is the number of steps over which the event gap is averaged.
	lateStepWindow = 2
	// lateStepTTL is how long the event gaps of past steps predict those of the next ones. A
	// group whose streams have all ended must be tried again.
	lateStepTTL = time.Second
	// startsWindow is the number of steps over which the starts per step are averaged.
	startsWindow = 32
)

// observeGap records a gap between two events, as a ratio of the gap that the caller
// accepts.
func (s *startLimit) observeGap(now time.Time, ratio float64, cfg *Settings) {
	if now.Sub(s.lastGapAt) > stepArrivalWindow {
		s.gaps = s.gaps[:0]
	}

	s.gaps = append(s.gaps, ratio)
	s.lastGapAt = now

	if len(s.gaps) == minGapsPerStep {
		s.observeStep(now, slices.Sorted(slices.Values(s.gaps))[minGapsPerStep/2], cfg)
	}
}

// observeStep records the length of a step, as the ratio of its event gap to the accepted
// gap.
func (s *startLimit) observeStep(now time.Time, gap float64, cfg *Settings) {
	s.stepGap += (gap - s.stepGap) / lateStepWindow
	s.stepAt = now

	if gap < cfg.LongStepGap {
		s.typicalStarts += (s.started - s.typicalStarts) / startsWindow
		s.longSince, s.remaining = time.Time{}, 0
	} else {
		if s.longSince.IsZero() {
			s.longSince = now
		}

		s.remaining = s.typicalStarts * max(0, (cfg.NoStartGap-gap)/(cfg.NoStartGap-cfg.LongStepGap))
	}

	s.started = 0
}

// recordStart counts a started request.
func (s *startLimit) recordStart() {
	s.started++
	s.remaining--
}

// blocked reports whether starts are delayed at now.
func (s *startLimit) blocked(now time.Time) bool {
	return !s.longSince.IsZero() && s.remaining < 1 && now.Sub(s.longSince) < maxStartDelay && now.Sub(s.lastGapAt) < longStepTTL
}

// isLate reports whether the steps take longer than callers accept between two events, so
// that every stream is late.
func (s *startLimit) isLate(now time.Time) bool {
	return s.stepGap > 1 && now.Sub(s.stepAt) < lateStepTTL
}
