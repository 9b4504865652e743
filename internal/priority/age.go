package priority

import (
	"math"
	"time"
)

// The load pattern that this file addresses: callers that are refused return, to any entry, and
// some of them at once. To serve them by the time of their first attempt, an entry must know how
// old a request is that it sees for the first time.

// Attempt says what the age of a request tells about its caller's earlier attempts.
type Attempt uint8

const (
	// FirstAttempt is a request that no entry has refused before, as far as its age tells.
	FirstAttempt Attempt = iota
	// ReturnedAsTold is a request whose caller has waited before it tried again.
	ReturnedAsTold
	// RepeatedAtOnce is a request whose caller tried again before it was told to.
	RepeatedAtOnce
)

// String returns the name of a in log lines.
func (a Attempt) String() string {
	switch a {
	case ReturnedAsTold:
		return "ReturnedAsTold"
	case RepeatedAtOnce:
		return "RepeatedAtOnce"
	default:
		return "First"
	}
}

// firstAttemptAge is the age up to which a request is a first attempt. Callers of one kind state
// times that differ by some milliseconds.
const firstAttemptAge = 30 * time.Millisecond

// AttemptOf returns what an age tells, where refused callers are told to wait for minRetryAfter or
// longer.
func AttemptOf(age, minRetryAfter time.Duration) Attempt {
	switch {
	case age <= firstAttemptAge:
		return FirstAttempt
	case age >= minRetryAfter:
		return ReturnedAsTold
	default:
		return RepeatedAtOnce
	}
}

// Ages estimates how long ago callers made their first attempt, from the time that they say they
// still wait: it counts from the first attempt, so a request's age is the time that callers state
// at first, less what this one states. It is not safe for concurrent use.
//
// The times stated are kept for each workspace, as callers could otherwise make the requests of
// another workspace look old.
type Ages struct {
	// MaxRetryAfter is the longest time that a refused caller is told to wait.
	MaxRetryAfter time.Duration

	stated recent[callerKind, statedTimes]
}

// callerKind identifies callers that are expected to state the same time at first.
type callerKind struct{ route, workspace string }

const (
	// statedTimeTTL is how long a stated time is remembered that is not stated again.
	statedTimeTTL = time.Minute
	// statedTimeDecay is the time constant with which the numbers of stated times decay. A time that
	// was stated once falls below usualFraction within about statedTimeTTL.
	statedTimeDecay = 30 * time.Second
	// maxCallerKinds is the number of workspaces to design for.
	maxCallerKinds = 13_000
	// firstAttemptSpread is the shortest time that callers of one kind state at first, as a part of
	// the longest. Only a shorter one shows a retry.
	firstAttemptSpread = 0.85
	// usualFraction is the fraction of the requests from which on a stated time counts as what
	// callers state at first. A caller that makes fewer requests cannot make those of others look
	// old by a time longer than theirs. Callers that return state many different times.
	usualFraction = 1. / 8
	// maxStatedTimes is how many different times can be stated so often, and one that is new.
	maxStatedTimes = 1/usualFraction + 1
	// sameTimeTolerance is how far two times may differ that count as the same. It keeps all that
	// count as the longest within firstAttemptAge of each other.
	sameTimeTolerance = firstAttemptAge / 2
)

// AgeOf records that the caller of a request says it still waits for left, where timeout is the
// longest time that a caller waits on the route. It returns the age of the request.
func (a *Ages) AgeOf(now time.Time, route, workspace string, left, timeout time.Duration) time.Duration {
	a.stated.ttl, a.stated.capacity = statedTimeTTL, maxCallerKinds
	s := a.stated.use(now, callerKind{route: route, workspace: workspace})
	left = min(max(left, 0), timeout)
	own := s.record(now, left)
	// The timeout may have been lowered since.
	longest := min(s.longestUsual(), timeout)

	// Callers return within MaxRetryAfter, so a time that is stated often and far below the
	// longest one is what another kind of caller states at first.
	if longest-left > a.MaxRetryAfter && s.isUsual(own) {
		return 0
	}

	age := time.Duration(firstAttemptSpread*float64(longest)) - left

	return max(age, 0)
}

// statedTimes are the times that callers of one kind have stated.
type statedTimes struct {
	times [maxStatedTimes]statedTime
	// total is the decayed number of requests, valid at updatedAt.
	total     float64
	updatedAt time.Time
}

// statedTime stands for the times within sameTimeTolerance of first.
type statedTime struct {
	first, longest time.Duration
	// n is the decayed number of requests that stated it, the last one at statedAt. It is 0 for an
	// unused element.
	n        float64
	statedAt time.Time
}

// record counts a request whose caller states left. It returns the time that stands for it.
func (s *statedTimes) record(now time.Time, left time.Duration) *statedTime {
	s.decay(now)
	s.total++

	rarest := &s.times[0]

	for i := range s.times {
		t := &s.times[i]
		if t.n > 0 && (left-t.first).Abs() <= sameTimeTolerance {
			t.n++
			t.longest, t.statedAt = max(t.longest, left), now

			return t
		}

		if t.n < rarest.n {
			rarest = t
		}
	}

	*rarest = statedTime{first: left, longest: left, n: 1, statedAt: now}

	return rarest
}

func (s *statedTimes) decay(now time.Time) {
	factor := 1.0
	if since := now.Sub(s.updatedAt); since > 0 {
		factor = math.Exp(-float64(since) / float64(statedTimeDecay))
	}

	s.updatedAt = now
	s.total *= factor

	for i := range s.times {
		s.times[i].n *= factor

		if now.Sub(s.times[i].statedAt) > statedTimeTTL {
			s.times[i] = statedTime{}
		}
	}
}

func (s *statedTimes) isUsual(t *statedTime) bool { return t.n >= usualFraction*s.total }

// longestUsual returns the longest of the times that are stated often.
func (s *statedTimes) longestUsual() time.Duration {
	longest := time.Duration(0)

	for i := range s.times {
		if t := &s.times[i]; t.n > 0 && s.isUsual(t) {
			longest = max(longest, t.longest)
		}
	}

	return longest
}

// Workspaces returns the number of pairs of a workspace and a route that are remembered.
func (a *Ages) Workspaces() int { return a.stated.len() }
