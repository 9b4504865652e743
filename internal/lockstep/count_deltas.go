package lockstep

import (
	"slices"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// CountEncoder keeps counts as they were told, so that later ones can be told as what has been
// added: counts grow for the whole life of an engine, and those of a large group filled the
// links of the agents that add them up. One goroutine at a time uses it.
type CountEncoder struct {
	// Mark is the last one that was given. It is set before the first call to a number
	// above those of all earlier lives, whose counts an asker may still hold.
	Mark uint64

	sent []sentCounts
}

// sentCounts is counts of some ranks, by their names, as they were told.
type sentCounts struct {
	ranks  string
	mark   uint64
	counts []uint64
}

// maxKeptCounts bounds the counts that are kept: the last ones told to a directing agent, its
// successor, and one that adds them up, with some whose answer was lost.
const maxKeptCounts = 6

// Encode puts counts of some ranks into an answer to who holds those with the mark known.
func (t *CountEncoder) Encode(out *wire.LookAnswer, ranks string, counts []uint64, knownMark uint64) {
	t.Mark++
	out.Mark = t.Mark
	out.Counts = counts

	for _, base := range t.sent {
		if base.mark != knownMark || base.ranks != ranks {
			continue
		}

		if diff, ok := countDiff(base.counts, counts); ok {
			out.Base, out.Counts = knownMark, diff
		}
	}

	if len(t.sent) == maxKeptCounts {
		t.sent = t.sent[1:]
	}

	t.sent = append(t.sent, sentCounts{ranks: ranks, mark: t.Mark, counts: slices.Clone(counts)})
}

// countDiff returns what has been added to counts. It reports false where they have fallen: an
// engine has started anew.
func countDiff(before, now []uint64) ([]uint64, bool) {
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

// CountDecoder is the counts that an asker holds of what one agent told. The zero value holds none.
type CountDecoder struct {
	Mark   uint64
	Counts []uint64
}

// Decode takes in an answer, and reports whether the counts are known with it.
func (h *CountDecoder) Decode(a *wire.LookAnswer) bool {
	switch {
	case a.GetBase() == 0:
		h.Counts = slices.Clone(a.GetCounts())
	case a.GetBase() != h.Mark || len(a.GetCounts()) != len(h.Counts):
		return false
	default:
		for i, n := range a.GetCounts() {
			h.Counts[i] += n
		}
	}

	h.Mark = a.GetMark()

	return true
}
