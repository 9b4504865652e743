package lockstep

import (
	"slices"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Tallies keeps counts as they were, so that an asker is told what has been added since it
// asked before. Counts grow for the whole life of an engine, and those of a large group
// filled the links of the agents that add them up. One goroutine at a time uses it.
type Tallies struct {
	// Mark is the last one that was given. It is set before the first call to a number
	// above those of all earlier lives, whose counts an asker may still hold.
	Mark uint64

	told []tally
}

// tally is counts of some ranks, by their names, as they were told.
type tally struct {
	ranks  string
	mark   uint64
	counts []uint64
}

// mostTallies bounds the counts that are kept: the last ones told to a directing agent, its
// successor, and one that adds them up, with some whose answer was lost.
const mostTallies = 6

// Tell puts what has been added to the counts of some ranks into an answer, since those with
// the mark known. Who knows none is told the mark only: whole counts would be too long for
// the time that an answer has, and were asked for again and again.
func (t *Tallies) Tell(out *wire.LookAnswer, ranks string, counts []uint64, known uint64) {
	t.Mark++
	out.Mark = t.Mark
	out.Numbers = uint32(len(counts))
	out.Counts = nil

	for _, base := range t.told {
		if base.mark != known || base.ranks != ranks {
			continue
		}

		if more, ok := added(base.counts, counts); ok {
			out.Base, out.Counts = known, more
		}
	}

	if len(t.told) == mostTallies {
		t.told = t.told[1:]
	}

	t.told = append(t.told, tally{ranks: ranks, mark: t.Mark, counts: slices.Clone(counts)})
}

// added returns what has been added to counts. It reports false where they have fallen: an
// engine has started anew.
func added(before, now []uint64) ([]uint64, bool) {
	if len(before) != len(now) {
		return nil, false
	}

	out := make([]uint64, len(now))

	for i := range now {
		if now[i] < before[i] {
			return nil, false
		}

		out[i] = now[i] - before[i]
	}

	return out, true
}

// Heard is what an asker has been told of counts by one agent, all additions together. It
// never falls, also where an engine starts anew. The zero value has heard nothing.
type Heard struct {
	Mark   uint64
	Counts []uint64
}

// Take takes in an answer, and reports whether it goes on from the last one.
func (h *Heard) Take(a *wire.LookAnswer) bool {
	numbers := int(a.GetNumbers())

	switch {
	case a.GetBase() == 0:
		if len(h.Counts) != numbers {
			h.Counts = make([]uint64, numbers)
		}
	case a.GetBase() != h.Mark || len(a.GetCounts()) != len(h.Counts):
		return false
	}

	for i, n := range a.GetCounts() {
		h.Counts[i] += n
	}

	h.Mark = a.GetMark()

	return true
}
