package forecast

import "time"

const (
	// meanWindow is the number of passes over which the usual work factor and the usual ratio of
	// observed to computed factors are averaged. It covers several shifts of demand.
	meanWindow = 64
	// minSkewChange is the relative change from which a reported skew counts as another one.
	minSkewChange = 0.025
	// maxRatio bounds the usual ratio of observed to computed work factors.
	maxRatio = 5
	// maxUsualRatio is the usual ratio above which the figures are not used, minUsualRatio the one
	// below which they are used again. Smaller differences come from work that does not grow with
	// the skew, such as prompts that are read at the same time: corrected by them, a computed factor
	// would be too large in a shift.
	maxUsualRatio = 1.4
	minUsualRatio = 1.2
)

// workFactor holds the factor by which uneven demand for experts multiplies the work of a pass.
type workFactor struct {
	value float64
	at    time.Time
	// mean is the usual factor, over the samples last passes.
	mean    float64
	samples int
	// skew is the last reported skew. It has been about the same since skewChangedAt.
	skew                          float64
	skewReportedAt, skewChangedAt time.Time
	// ratio is the usual ratio of observed to computed factors, over the compared last passes.
	ratio    float64
	compared int
	// contradicted is set while the figures cannot be right.
	contradicted bool
}

func (w *workFactor) set(now time.Time, factor float64) { w.value, w.at = factor, now }

// learn adds an observed factor to the usual one. It is compared with the computed one if
// comparable is set.
func (w *workFactor) learn(factor, computed float64, comparable bool) {
	w.samples = min(w.samples+1, meanWindow)
	w.mean += (factor - w.mean) / float64(w.samples)

	if !comparable {
		return
	}

	w.compared = min(w.compared+1, meanWindow)
	w.ratio += (min(max(factor/computed, 1.0/maxRatio), maxRatio) - w.ratio) / float64(w.compared)
	w.updateContradicted()
}

// observeSkew records a reported skew and reports whether it differs from the last one.
func (w *workFactor) observeSkew(now time.Time, skew float64) bool {
	known := w.hasSkew(now)
	w.skewReportedAt = now

	if change := skew/w.skew - 1; known && change < minSkewChange && change > -minSkewChange {
		return false
	}

	w.skew, w.skewChangedAt = skew, now

	return true
}

func (w *workFactor) hasSkew(now time.Time) bool {
	return w.skew > 0 && now.Sub(w.skewReportedAt) <= skewTTL
}

func (w *workFactor) skewAt(now time.Time) float64 {
	if w.hasSkew(now) {
		return w.skew
	}

	return 1
}

// contradicted is the problem of figures that do not explain the passes.
const contradicted = "the observed passes contradict the published figures"

// updateContradicted updates whether the usual passes are so far from the computed ones that the
// figures cannot be right, although each pass by itself is possible.
func (w *workFactor) updateContradicted() {
	threshold := maxUsualRatio
	if w.contradicted {
		threshold = minUsualRatio
	}

	w.contradicted = w.compared >= minPlausible && (w.ratio > threshold || w.ratio < 1/threshold)
}

const (
	// maxFactor and 1/maxFactor bound the work factors that figures can explain. Figures that are
	// wrong by a factor of 100 are outside, also with some noise.
	maxFactor = 50
	// maxImplausible is the number of consecutive implausible passes after which figures are not
	// used, minPlausible the number of plausible ones after which they are used again.
	maxImplausible = 5
	minPlausible   = 20
)

// plausibility tells whether the figures can explain the observed passes.
type plausibility struct {
	implausible, plausible int
	refuted                bool
}

// observe records an observed work factor and reports whether it is plausible.
func (p *plausibility) observe(factor float64) bool {
	if !(factor >= 1.0/maxFactor && factor <= maxFactor) {
		p.plausible = 0

		if p.implausible++; p.implausible >= maxImplausible {
			p.refuted = true
		}

		return false
	}

	p.implausible = 0

	if p.plausible++; p.plausible >= minPlausible {
		p.refuted = false
	}

	return true
}

func (p *plausibility) problem() string {
	if p.refuted {
		return contradicted
	}

	return ""
}
