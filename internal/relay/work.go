package relay

import (
	"math"
	"time"

	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/tokens"
)

// routeID identifies a route. No two routes have the same host and prefix, while names may repeat.
type routeID struct{ host, prefix string }

func (p *proxiedRequest) routeID() routeID {
	return routeID{host: p.route.Host, prefix: p.route.Prefix}
}

// expectedAnswer returns what is known about the size of the answer.
func (p *proxiedRequest) expectedAnswer() tokens.Request {
	return tokens.Request{Hint: p.caller.LengthHint, Max: p.caller.AnswerTokens, Usual: p.engine.UsualAnswerTokens}
}

// estimateWork returns the expected work of a request to a prioritized service, relative to a
// typical request. It addresses load in which callers state a maximum of answer tokens that most
// answers do not reach.
func (p *proxiedRequest) estimateWork() float64 {
	answer, ok := p.relay.answers.Estimate(p.routeID(), p.expectedAnswer())
	if !ok {
		return 1
	}

	return workOf(p.engine, float64(p.caller.PromptTokens), answer)
}

// observeAnswerLength records how many tokens the answer had, if the request is a stream that this
// entry has forwarded from its beginning to its end.
func (p *proxiedRequest) observeAnswerLength() {
	if p.prioritized && p.events > 0 && p.caller.LastEvent == "" {
		p.relay.answers.Observe(p.routeID(), p.expectedAnswer(), float64(p.events)*float64(p.engine.Stride))
	}
}

const (
	// minWork and maxWork bound the expected work: token counts are callers' statements.
	minWork = 0.01
	maxWork = 100
)

// workOf returns the expected work of a request relative to a typical one. prompt is zero if it is
// not known. Without usable figures of the engine, it is computed as for other services.
func workOf(f *routes.EngineFigures, prompt, answer float64) float64 {
	work := (prompt/10 + answer) / baselineTokens

	switch {
	case isUsable(f):
		if prompt == 0 {
			prompt = f.UsualPromptTokens
		}

		work = engineTime(f, prompt, answer) / engineTime(f, f.UsualPromptTokens, f.UsualAnswerTokens)
	case prompt == 0:
		return 1
	}

	if math.IsNaN(work) {
		return 1
	}

	return min(max(work, minWork), maxWork)
}

// isUsable reports whether the figures that engineTime needs are published and possible.
func isUsable(f *routes.EngineFigures) bool {
	for _, n := range []float64{f.PromptTokensPerSecond, f.UsualPromptTokens, f.UsualAnswerTokens} {
		if !(n > 0) || math.IsInf(n, 0) { // not above 0 if NaN
			return false
		}
	}

	return f.SequenceTime >= 0 && f.ContextTime >= 0
}

// engineTime returns how much time of an engine (ns) the tokens of a request take, in addition to
// the fixed part of the steps: reading the prompt, and in each step the sequence and its context.
func engineTime(f *routes.EngineFigures, prompt, answer float64) float64 {
	read := prompt / f.PromptTokensPerSecond * float64(time.Second)
	context := (prompt + answer/2) / 1000

	return read + answer*(float64(f.SequenceTime)+float64(f.ContextTime)*context)
}
