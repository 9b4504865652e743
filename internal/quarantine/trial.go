package quarantine

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/shares"
)

// Quarantine decides which requests one entry refuses because of held parts. It is not safe for
// concurrent use. The zero value holds nothing.
type Quarantine struct {
	Evidence

	// recent holds sound shared parts, answered those of single requests.
	recent, answered recentParts
	// trials holds the parts that requests of this entry are trying.
	trials map[Part]uint64
	serial uint64
}

// Decision says whether a request may be sent.
type Decision struct {
	// Held is set if the request must be refused because of Part. It may be sent again at RetryAt.
	Held    bool
	Part    Part
	RetryAt time.Time
	// Trial is set if the request may be sent as a trial of Part, after BeginTrial.
	Trial bool
}

// Trial is a request that tries held parts. The zero value tries none.
type Trial struct {
	parts  []Part
	serial uint64
}

// maxEndsOfEarlyTrial is the number of ends from which a part is tried only after its hold.
const maxEndsOfEarlyTrial = 5

// Check decides about a request with the given parts. share returns this entry's share in the trials of a part. One unit of it, which goes round
// the entries, lets one entry at a time try the part.
func (q *Quarantine) Check(now time.Time, parts []Part, share func(Part) shares.Share) Decision {
	q.rotateRecent(now)

	if len(q.ends) == 0 {
		return Decision{}
	}

	held := q.Held(now)
	if len(held) == 0 {
		return Decision{}
	}

	parts = parts[:min(len(parts), maxRequestParts)]

	var out Decision

	for _, p := range parts {
		h, ok := held[p]
		if !ok {
			continue
		}

		retryAt := q.nextTrial(now, p, &h, parts, share(p))

		switch {
		case retryAt.After(now) && (!out.Held || retryAt.After(out.RetryAt)):
			out = Decision{Held: true, Part: p, RetryAt: retryAt}
		case !out.Held && !out.Trial:
			out = Decision{Part: p, Trial: true}
		}
	}

	return out
}

// nextTrial returns when a request with a held part may be sent as a trial.
func (q *Quarantine) nextTrial(now time.Time, p Part, h *Hold, parts []Part, share shares.Share) time.Time {
	from := now
	if h.Until.After(now) && !h.distinguishes(parts) {
		from = h.Until
	}

	next := share.NextUnit(from, 1)
	if _, trying := q.trials[p]; trying && !next.After(now) {
		return now.Add(trialRetryDelay)
	}

	// A caller that comes back at the end of the hold learns the next turn then.
	if from.After(now) {
		return from
	}

	return next
}

// trialRetryDelay is after what time a request may be sent again that was refused because another
// one tries its part.
const trialRetryDelay = time.Second

// distinguishes reports whether a request lacks a part that was in all ends of the held part. Its
// result shows which of the two ended the targets, so it is tried without waiting: otherwise a
// caller that puts another caller's part beside the cause could have that part held. All requests with
// a part of one request have the same other parts, or nearly.
func (h *Hold) distinguishes(parts []Part) bool {
	return !isOfRequest(h.Depth) && h.Ends < maxEndsOfEarlyTrial && slices.ContainsFunc(h.companions, func(p Part) bool { return !slices.Contains(parts, p) })
}

// BeginTrial records that a request with the given parts is sent as a trial. EndTrial must be
// called when its answer has begun or it has ended without one, after MarkSound or Record.
func (q *Quarantine) BeginTrial(now time.Time, parts []Part) Trial {
	q.serial++
	t := Trial{serial: q.serial}
	held := q.Held(now)

	for _, p := range parts[:min(len(parts), maxRequestParts)] {
		if _, ok := held[p]; !ok {
			continue
		}

		if q.trials == nil {
			q.trials = make(map[Part]uint64)
		}

		q.trials[p] = t.serial
		t.parts = append(t.parts, p)
	}

	return t
}

// EndTrial lets another request try the parts.
func (q *Quarantine) EndTrial(t Trial) {
	for _, p := range t.parts {
		if q.trials[p] == t.serial {
			delete(q.trials, p)
		}
	}
}
