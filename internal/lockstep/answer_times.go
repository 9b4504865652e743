package lockstep

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/latency"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// answerTimes learns how soon ranks answer orders of each kind.
//
// The failure is an order that is never answered, and may be carried out seconds later.
// A switch needs an answer from every rank, so with one order in ten lost most switches
// met one or more, and each cost a fixed time-out of 150 to 250 ms while the group worked
// on with the old map. Answers come within a few ms as a rule: what takes much longer is
// given again. Ranks take an order that they have already as done, or refuse it, so that
// one more of them does no harm.
type answerTimes struct {
	byKind latency.Estimators[wire.EngineOrderKind]
}

const (
	// answerTimeWindow is over how many answers the mean is taken: those of a few switches
	// of a group of twelve.
	answerTimeWindow = 64
	// answerTimeMargin is how many mean distances above the mean an answer may take.
	answerTimeMargin = 4
	// minAnswerTimeout bounds from below how long an answer is waited for: some times the
	// longest way within a region. Each rank that is ordered at once adds leastPerRank: all
	// of that leaves one VM with a quarter of a processor.
	minAnswerTimeout  = 25 * time.Millisecond
	minTimeoutPerRank = time.Millisecond
)

// record takes in how long the answer to an order took.
func (a *answerTimes) record(kind wire.EngineOrderKind, took time.Duration) {
	a.byKind.Observe(kind, took, answerTimeWindow)
}

// timeout says how long the answer to an order that got none so many times before is
// waited for: twice as long each time, since ranks may have become slower, and never
// longer than most.
func (a *answerTimes) timeout(kind wire.EngineOrderKind, ranks int, maxWait time.Duration, timeouts int) time.Duration {
	bound, known := a.byKind.UpperBound(kind, answerTimeMargin)
	if !known {
		return maxWait
	}

	minWait := minAnswerTimeout + time.Duration(ranks)*minTimeoutPerRank

	return min(max(bound, minWait)<<min(timeouts, maxTimeoutDoublings), maxWait)
}

// maxTimeoutDoublings keeps the doubled time within its type.
const maxTimeoutDoublings = 10
