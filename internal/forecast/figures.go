package forecast

import (
	"math"
	"time"

	"github.com/parsleygate/parsleygate/internal/routes"
)

// Parameters are what a forecast needs to know about a service.
type Parameters struct {
	Figures routes.EngineFigures
	// EventGap is the time that callers accept between two events. Timeout is how long they wait
	// for an answer, EventTimeout after what time without an event they leave; zero if they do not.
	EventGap     time.Duration
	Timeout      time.Duration
	EventTimeout time.Duration
	// Slots is the number of sequences that a rank can run.
	Slots int
}

// model gives the duration of a pass from the published figures, in seconds:
// fixed + factor x n x (sequence + prompt / passes) for n sequences per rank.
type model struct {
	// fixed is the part of a pass without sequences. sequence is the work that a running sequence
	// adds to a pass, prompt the work to read its prompt.
	fixed, sequence, prompt float64
	// passes is the number of passes of a usual stream.
	passes      float64
	expertShare float64
}

// newModel returns the model of p, and what is wrong with its figures or an empty string.
func newModel(p Parameters) (m model, problem string) {
	f := p.Figures

	switch {
	case f == (routes.EngineFigures{}):
		return model{}, "no figures are published"
	case p.EventGap <= 0:
		return model{}, "no route declares an accepted event gap"
	case p.Slots <= 0:
		return model{}, "engines have no slots"
	case f.Stride <= 0 || f.StepTime <= 0:
		return model{}, "the duration of a step is not above 0"
	case f.SequenceTime < 0 || f.ContextTime < 0:
		return model{}, "the time per sequence is negative"
	case !isFinite(f.PromptTokensPerSecond) || f.PromptTokensPerSecond <= 0:
		return model{}, "the speed of reading prompts is not above 0"
	case !(f.ExpertShare >= 0 && f.ExpertShare <= 1): // also if it is not a number
		return model{}, "the share of the experts is not between 0 and 1"
	case !isFinite(f.UsualPromptTokens) || f.UsualPromptTokens < 0 || !isFinite(f.UsualAnswerTokens) || f.UsualAnswerTokens <= 0:
		return model{}, "the usual sizes of requests are not above 0"
	}

	const tokensPerContextUnit = 1000

	stride := float64(f.Stride)
	context := f.UsualPromptTokens + f.UsualAnswerTokens/2

	m = model{
		fixed:       stride * f.StepTime.Seconds(),
		sequence:    stride * (f.SequenceTime.Seconds() + f.ContextTime.Seconds()*context/tokensPerContextUnit),
		prompt:      f.UsualPromptTokens / f.PromptTokensPerSecond,
		passes:      max(1, f.UsualAnswerTokens/stride),
		expertShare: f.ExpertShare,
	}

	gap := p.EventGap.Seconds()

	// No operator runs engines for callers who would never be served in time: such figures are
	// wrong by orders of magnitude.
	switch work := m.workPerSequence(); {
	case !(work > 0):
		return model{}, "sequences add no time to a pass"
	case m.fixed >= gap:
		return model{}, "a pass without sequences exceeds the accepted event gap"
	case work >= gap:
		return model{}, "a single sequence exceeds the accepted event gap"
	}

	return m, ""
}

func isFinite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// workPerSequence is the work per pass for a sequence in the steady state, in which a stream ends
// for each one that starts.
func (m *model) workPerSequence() float64 { return m.sequence + m.prompt/m.passes }

// computedFactor is the work factor that follows from a skew of the expert map.
func (m *model) computedFactor(skew float64) float64 { return 1 - m.expertShare + m.expertShare*skew }

// passTime forecasts the duration of a pass. copying is by how much copies of experts lengthen it.
func (m *model) passTime(slowdown, factor, n, copying float64) float64 {
	return copying * (m.fixed*slowdown + factor*n*m.workPerSequence())
}

// maxSequences returns at how many sequences per rank a pass takes as long as duration.
func (m *model) maxSequences(slowdown, factor, copying, duration float64) float64 {
	return max(0, (duration/copying-m.fixed*slowdown)/(factor*m.workPerSequence()))
}

// maxStarts returns how many sequences per rank may start in a pass of n sequences that takes at
// most as long as duration.
func (m *model) maxStarts(slowdown, factor, copying, duration, n float64) float64 {
	if m.prompt == 0 {
		return math.Inf(1)
	}

	return ((duration/copying-m.fixed*slowdown)/factor - n*m.sequence) / m.prompt
}
