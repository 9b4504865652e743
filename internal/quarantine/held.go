package quarantine

import (
	"slices"
	"time"
)

// Held returns the held parts. The caller must not change the result.
func (e *Evidence) Held(now time.Time) map[Part]Hold {
	if e.stale || e.latest.After(now) || !e.nextExpiry.IsZero() && !now.Before(e.nextExpiry) {
		e.Expire(now)
	}

	return e.held
}

// occurrence is an end in which a part is an unsound candidate.
type occurrence struct {
	end   *endState
	lead  time.Duration
	depth int
}

// chain is the longest sequence of ends in which a part was sent to each target after the target
// before had ended.
type chain struct {
	part  Part
	ends  []*endState
	depth int
}

// computeHeld computes the held parts. The part with the longest chain explains all ends in which
// it was, so that a part that always came with it is not held too; then the rest is looked at
// again.
func (e *Evidence) computeHeld() {
	e.stale = false
	e.held = nil
	e.unsound = make(map[Part]int)
	ends := e.sorted()

	for _, s := range ends {
		s.explained = false

		for _, c := range s.candidates {
			if !c.sound {
				e.unsound[c.part]++
			}
		}
	}

	occurrences := make(map[Part][]occurrence)

	for _, s := range ends {
		for _, c := range s.candidates {
			if !c.sound && e.unsound[c.part] >= minEnds {
				occurrences[c.part] = append(occurrences[c.part], occurrence{end: s, lead: c.lead, depth: c.depth})
			}
		}
	}

	for {
		best, ok := longestChain(occurrences)
		if !ok {
			return
		}

		if e.held == nil {
			e.held = make(map[Part]Hold)
		}

		e.held[best.part] = best.hold()

		for _, o := range occurrences[best.part] {
			o.end.explained = true
		}

		delete(occurrences, best.part)
	}
}

// longestChain returns the longest chain of at least minEnds ends. Parts that have none are deleted:
// they get none when more ends are explained.
func longestChain(occurrences map[Part][]occurrence) (best chain, ok bool) {
	for p, of := range occurrences {
		c := newChain(p, of)

		switch {
		case len(c.ends) < minEnds:
			delete(occurrences, p)
		case !ok || c.isBetter(&best):
			best, ok = c, true
		}
	}

	return best, ok
}

// newChain counts the ends of a part, which are sorted by time. Taking the earliest end that fits
// gives the longest chain.
func newChain(p Part, of []occurrence) chain {
	c := chain{part: p, depth: maxRequestParts}

	var lastAt time.Time

	groups := make(map[string]time.Time)

	for _, o := range of {
		if o.end.explained {
			continue
		}

		sentAt := o.end.at.Add(-o.lead)

		after := sentAt
		if isOfRequest(o.depth) {
			// A request may be sent again as soon as its target has ended.
			after = after.Add(atTolerance)
		}

		if len(c.ends) > 0 && !after.After(lastAt) {
			continue
		}

		if failedAt, ok := groups[o.end.group]; ok && !sentAt.After(failedAt.Add(GroupFailureTime)) {
			continue
		}

		if o.end.group != "" {
			groups[o.end.group] = o.end.at
		}

		c.ends = append(c.ends, o.end)
		c.depth = min(c.depth, o.depth)
		lastAt = o.end.at
	}

	return c
}

// isBetter reports whether c explains more ends than other. Among parts that explain as many, the
// deeper one is less likely to be shared with sound requests.
func (c *chain) isBetter(other *chain) bool {
	switch {
	case len(c.ends) != len(other.ends):
		return len(c.ends) > len(other.ends)
	case c.depth != other.depth:
		return c.depth > other.depth
	default:
		return c.part > other.part
	}
}

func (c *chain) hold() Hold {
	n := len(c.ends)

	duration := firstHold
	if isOfRequest(c.depth) {
		duration = firstRequestHold
	}

	for i := minEnds; i < n && duration < maxHold; i++ {
		duration *= holdGrowth
	}

	return Hold{Ends: n, Until: c.ends[n-1].at.Add(min(duration, maxHold)), Depth: c.depth, companions: c.companions()}
}

// companions returns the other parts that are unsound candidates in each end of the chain.
func (c *chain) companions() []Part {
	var out []Part

	for _, first := range c.ends[0].candidates {
		inAll := first.part != c.part && !slices.ContainsFunc(c.ends, func(s *endState) bool {
			i, ok := s.find(first.part)

			return !ok || s.candidates[i].sound
		})

		if inAll {
			out = append(out, first.part)
		}
	}

	return out
}
