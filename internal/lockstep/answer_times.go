package lockstep

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/latency"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// answerTimes estimates how long ranks take to answer orders, by kind of order, and derives
// timeouts from that.
//
// A switch needs an answer from every rank. With one order in ten unanswered, most switches met
// at least one, and with a fixed timeout each of them cost 150 to 250 ms, during which the
// group kept using the old map. Answers usually arrive within a few milliseconds, so an order
// that takes much longer is resent. Resending is safe: a rank reports an order that it has
// already carried out as done, or refuses it.
type answerTimes struct {
	byKind latency.Estimators[wire.EngineOrderKind]
}

const (
	// answerTimeWindow is the number of answers in the running mean, about those of a few
	// switches of a group of twelve ranks.
	answerTimeWindow = 64
	// answerTimeMargin is the number of mean deviations above the mean that an answer may take.
	answerTimeMargin = 4
	// minAnswerTimeout is the shortest timeout for an answer, several times the longest
	// network latency within a region. Each rank that is addressed at the same time adds
	// minTimeoutPerRank, because all requests leave one VM that has a quarter of a processor.
	minAnswerTimeout  = 25 * time.Millisecond
	minTimeoutPerRank = time.Millisecond
)

// record adds the time that an answer to an order of this kind took.
func (a *answerTimes) record(kind wire.EngineOrderKind, took time.Duration) {
	a.byKind.Observe(kind, took, answerTimeWindow)
}

// known reports whether an order of this kind was answered before.
func (a *answerTimes) known(kind wire.EngineOrderKind) bool {
	_, known := a.byKind.UpperBound(kind, answerTimeMargin)

	return known
}

// timeout returns how long to wait for the answer to an order that has already timed out the
// given number of times. It doubles with each timeout, because ranks may have become slower,
// up to maxWait.
func (a *answerTimes) timeout(kind wire.EngineOrderKind, ranks int, maxWait time.Duration, timeouts int) time.Duration {
	bound, known := a.byKind.UpperBound(kind, answerTimeMargin)
	if !known {
		return maxWait
	}

	minWait := minAnswerTimeout + time.Duration(ranks)*minTimeoutPerRank

	return min(max(bound, minWait)<<min(timeouts, maxTimeoutDoublings), maxWait)
}

// maxTimeoutDoublings keeps the shifted duration from overflowing.
const maxTimeoutDoublings = 10
