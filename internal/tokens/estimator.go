// Package tokens estimates how many tokens the answer to a generation request will have. It
// addresses load in which the size of answers differs between routes and changes over time, and in
// which callers' own estimates are right in the median and often far off.
package tokens

import "math"

// Request is what is known about the answer of a request before it is generated.
type Request struct {
	// Hint is the caller's estimate, Max the largest number of tokens that it accepts; zero if
	// not given.
	Hint, Max int
	// Usual is the published mean for the service; zero if there is none. Values that are no
	// plausible number of tokens count as none.
	Usual float64
}

const (
	// window is the number of answers over which the averages are taken. After a change of a
	// route's answers, nine tenths of the change are known after 74 of them.
	window = 32
	// usualWeight is the number of answers that the published mean counts as.
	usualWeight = 4
	// minHints is the number of answers with a hint after which hints are used.
	minHints = 8
	// maxTokens is the largest number of tokens that is taken for plausible.
	maxTokens = 1 << 20
	// maxRatio bounds the ratio of an answer to its estimate as it is observed, so that one
	// absurd hint does not outweigh all others.
	maxRatio = 100
	// minError is the smallest mean squared error, of the logarithm. Without it, two exact
	// estimates would have no defined mix. It is that of estimates that are off by 5%.
	minError = 0.0024
)

// Estimator estimates the answers of one route. The zero value is ready to use.
type Estimator struct {
	mean    float64
	answers int
	// meanError and hintError are the mean squared errors of the logarithm of the mean and of the
	// hints. hints is the number of answers that had one.
	meanError, hintError float64
	hints                int
}

// Estimate returns the expected number of tokens. It returns false if nothing is known about it.
//
// The mean and the hint are mixed by their logarithms, weighted by the inverse of their squared
// errors: errors of hints are factors.
func (e *Estimator) Estimate(r Request) (tokens float64, ok bool) {
	mean := e.mean
	if e.answers == 0 {
		mean = plausible(r.Usual)
	}

	hint := plausible(float64(r.Hint))

	switch {
	case mean == 0 && r.Max <= 0:
		return 0, false
	case mean == 0:
		return min(float64(r.Max), maxTokens), true
	case hint > 0 && e.hints >= minHints:
		meanError, hintError := max(e.meanError, minError), max(e.hintError, minError)
		mean *= math.Pow(hint/mean, meanError/(meanError+hintError))
	}

	if r.Max > 0 {
		mean = min(mean, float64(r.Max))
	}

	return max(mean, 1), true
}

// Observe records that the answer to r had a number of tokens.
func (e *Estimator) Observe(r Request, tokens float64) {
	if tokens = plausible(tokens); tokens == 0 {
		return
	}

	if e.answers == 0 {
		e.mean = tokens

		if usual := plausible(r.Usual); usual > 0 {
			e.mean, e.answers = usual, usualWeight
		}
	}

	e.answers = min(e.answers+1, window)
	e.meanError += (squaredError(tokens, e.mean) - e.meanError) / float64(e.answers)
	e.mean += (tokens - e.mean) / float64(e.answers)

	if hint := plausible(float64(r.Hint)); hint > 0 {
		e.hints = min(e.hints+1, window)
		e.hintError += (squaredError(tokens, hint) - e.hintError) / float64(e.hints)
	}
}

// squaredError returns the square of the logarithm of a ratio.
func squaredError(tokens, estimate float64) float64 {
	err := math.Log(min(max(tokens/estimate, 1.0/maxRatio), maxRatio))

	return err * err
}

// plausible returns n, or zero if it is no plausible number of tokens.
func plausible(n float64) float64 {
	if n >= 1 && n <= maxTokens { // false for NaN
		return n
	}

	return 0
}
