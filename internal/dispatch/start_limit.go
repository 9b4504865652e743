package dispatch

import (
	"slices"
	"time"
)

// startLimit holds back starts while the steps of a lock-step group are suddenly long, as
// after a shift of demand until the next expert map: the prompt of a request that starts
// in a long step makes it too long for all streams that run.
type startLimit struct {
	// gaps are the pauses of the present step, of which the last came at.
	gaps      []float64
	lastGapAt time.Time
	// longSince is when steps became long; zero while they are not.
	longSince time.Time
	// typicalStarts is how many requests are started in a usual step, started how many were in
	// the present one, and left how many more may be while steps are long.
	typicalStarts float64
	started       float64
	remaining     float64
}

const (
	// stepArrivalWindow is how far apart the events of one step arrive.
	stepArrivalWindow = 15 * time.Millisecond
	// gapsPerStep is how many pauses tell how long a step was.
	gapsPerStep = 3
	// maxStartDelay bounds how long starts are held back: steps that stay long are not
	// waited for.
	maxStartDelay = 400 * time.Millisecond
	// longStepTTL is how long a step that was long tells something of the next one.
	longStepTTL = 250 * time.Millisecond
	// startsWindow is over how many steps the starts of a usual one are averaged.
	startsWindow = 32
)

// observeGap takes in a pause between two events, in parts of what the caller accepts.
func (s *startLimit) observeGap(now time.Time, ratio float64, cfg *Settings) {
	if now.Sub(s.lastGapAt) > stepArrivalWindow {
		s.gaps = s.gaps[:0]
	}

	s.gaps = append(s.gaps, ratio)
	s.lastGapAt = now

	if len(s.gaps) == gapsPerStep {
		s.observeStep(now, slices.Sorted(slices.Values(s.gaps))[gapsPerStep/2], cfg)
	}
}

// observeStep takes in how long a step was.
func (s *startLimit) observeStep(now time.Time, gap float64, cfg *Settings) {
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

// recordStart notes that a request was started.
func (s *startLimit) recordStart() {
	s.started++
	s.remaining--
}

// blocked reports whether starts are held back at now.
func (s *startLimit) blocked(now time.Time) bool {
	return !s.longSince.IsZero() && s.remaining < 1 && now.Sub(s.longSince) < maxStartDelay && now.Sub(s.lastGapAt) < longStepTTL
}
