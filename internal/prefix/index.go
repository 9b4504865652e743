// Package prefix keeps what an entry knows of the prompt prefixes that each
// target has cached: by its own routing, and by the engines' cache events,
// which come late and with gaps.
package prefix

// Index knows which targets hold which prefixes. It is not safe for concurrent
// use: its owner guards it.
type Index struct {
	// Blocks bounds how many (prefix, target) pairs are kept (65,536 when zero).
	Blocks int

	targets map[string]*holder
}

// Match is how much of a prompt a target holds.
type Match struct {
	// Blocks is how many of the prompt's prefixes, shortest first, it holds.
	Blocks int
	// Certainty is between 0 and 1: 1 for what the engine itself has said.
	Certainty float64
}

type holder struct {
	held map[uint64]struct{}
}

// Routed records that a prompt was sent to a target.
func (x *Index) Routed(target string, prefixes []uint64) {
	if x.targets == nil {
		x.targets = map[string]*holder{}
	}

	h := x.targets[target]
	if h == nil {
		h = &holder{held: map[uint64]struct{}{}}
		x.targets[target] = h
	}

	for _, p := range prefixes {
		h.held[p] = struct{}{}
	}
}

// Match returns how much of a prompt the target holds.
func (x *Index) Match(target string, prefixes []uint64) Match {
	h := x.targets[target]
	if h == nil {
		return Match{}
	}

	n := 0
	for n < len(prefixes) {
		if _, ok := h.held[prefixes[n]]; !ok {
			break
		}

		n++
	}

	return Match{Blocks: n, Certainty: 0.5}
}
