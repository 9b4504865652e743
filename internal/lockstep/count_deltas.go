package lockstep

import (
	"slices"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// CountEncoder sends expert counts as differences from counts that the receiver already has.
// Counts grow over the whole life of an engine, and sending them in full used up the bandwidth
// of the agents that sum the counts of a large group. A CountEncoder must not be used
// concurrently.
type CountEncoder struct {
	// Mark identifies the counts sent last. Set it before the first call to Encode, above the
	// marks of all earlier runs of this agent, whose counts a receiver may still hold.
	Mark uint64

	sent []sentCounts
}

// sentCounts holds the counts of the named ranks as they were sent.
type sentCounts struct {
	ranks  string
	mark   uint64
	counts []uint64
}

// maxKeptCounts bounds the sent counts that are kept as bases: the latest ones sent to a
// directing agent, to its successor and to an agent that sums them, and a few whose answer was
// lost.
const maxKeptCounts = 6

// Encode writes counts of the named ranks into an answer to a receiver that holds the counts
// with the mark knownMark.
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

// countDiff returns the increase from before to now. It returns false if a count has fallen,
// which means that an engine has restarted.
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

// CountDecoder holds the counts that one agent has sent. The zero value holds none.
type CountDecoder struct {
	Mark   uint64
	Counts []uint64
}

// Decode applies an answer. It returns false if the answer is based on counts that the decoder
// does not hold.
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
