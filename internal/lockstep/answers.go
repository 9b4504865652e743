package lockstep

import (
	"time"

	"github.com/parsleygate/parsleygate/internal/latency"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// answers learns how soon ranks answer orders of each kind.
//
// The failure is an order that is never answered, and may be carried out seconds later.
// A switch needs an answer from every rank, so with one order in ten lost most switches
// met one or more, and each cost a fixed time-out of 150 to 250 ms while the group worked
// on with the old map. Answers come within a few ms as a rule: what takes much longer is
// given again. Ranks take an order that they have already as done, or refuse it, so that
// one more of them does no harm.
type answers struct {
	kinds latency.Estimators[wire.EngineOrderKind]
}

const (
	// answerMemory is over how many answers the mean is taken: those of a few switches
	// of a group of twelve.
	answerMemory = 64
	// answerMargin is how many mean distances above the mean an answer may take.
	answerMargin = 4
	// leastAnswer bounds from below how long an answer is waited for: some times the
	// longest way within a region. Each rank that is ordered at once adds leastPerRank: all
	// of that leaves one VM with a quarter of a processor.
	leastAnswer  = 25 * time.Millisecond
	leastPerRank = time.Millisecond
)

// learn takes in how long the answer to an order took.
func (a *answers) learn(kind wire.EngineOrderKind, took time.Duration) {
	a.kinds.Observe(kind, took, answerMemory)
}

// timeout says how long the answer to an order that got none so many times before is
// waited for: twice as long each time, since ranks may have become slower, and never
// longer than most.
func (a *answers) timeout(kind wire.EngineOrderKind, ranks int, most time.Duration, unanswered int) time.Duration {
	within, known := a.kinds.UpperBound(kind, answerMargin)
	if !known {
		return most
	}

	least := leastAnswer + time.Duration(ranks)*leastPerRank

	return min(max(within, least)<<min(unanswered, mostDoublings), most)
}

// mostDoublings keeps the doubled time within its type.
const mostDoublings = 10
