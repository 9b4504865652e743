package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// service is one service's targets and the requests that wait for them.
type service struct {
	Service

	targets map[string]*target
	// sorted are the targets by ID: what is decided must not depend on a map's order.
	sorted      []*target
	waiting     []waiting
	completions completionRate
	// otherRequests is the mean of what other entries have at a target.
	otherRequests decayingMean
	// concurrencyLimit bounds how many requests a target is given.
	concurrencyLimit concurrencyLimit
	// startLimit holds back starts while steps are suddenly long.
	startLimit startLimit
	// minSlowdown and mostPace are the paces of the fastest and of the slowest target,
	// 0 while none has said one. They hold until pacesUntil.
	minSlowdown    float64
	maxSlowdown    float64
	slowdownsUntil time.Time
	// firstAnswer is how long a placed request usually waits for its first answer.
	firstAnswer time.Duration
}

type waiting struct {
	Request

	since time.Time
}

func (s *service) setTarget(now time.Time, t Target) {
	current := s.targets[t.ID]

	switch {
	case current == nil || current.Address != t.Address:
		current = &target{newUntil: now.Add(newDuration)}
		s.targets[t.ID] = current
	case current.Broken && !t.Broken:
		current.newUntil = now.Add(newDuration)
	}

	current.Target = t
}

// newDuration is how long a target, or this entry, counts as just come into use: some words of
// the target's load, or of the other entries.
const newDuration = time.Second

func (s *service) retainTargets(ids map[string]bool) {
	for id := range s.targets {
		if !ids[id] {
			delete(s.targets, id)
		}
	}

	s.sorted = slices.SortedFunc(maps.Values(s.targets), func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *service) removeWaiting(id uint64) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool { return w.ID == id })
}

func (s *service) refuseAll(now time.Time, cause verdict.Cause, retryAfter time.Duration) []Action {
	out := make([]Action, 0, len(s.waiting))
	for _, w := range s.waiting {
		out = append(out, Action{ID: w.ID, Cause: cause, RetryAt: now.Add(retryAfter)})
	}

	s.waiting = nil

	return out
}

// availableAt returns from when on some target may take r: now, or the end of the first
// pause where all are left alone. It reports false if there is none to wait for.
func (s *service) availableAt(now time.Time, r *Request) (at time.Time, ok bool) {
	for _, t := range s.sorted {
		if t.Draining || slices.Contains(r.Excluded, t.ID) {
			continue
		}

		if !t.ejectedUntil.After(now) {
			return now, true
		}

		if !ok || t.ejectedUntil.Before(at) {
			at, ok = t.ejectedUntil, true
		}
	}

	return at, ok
}

func (s *service) noTargetCause(r *Request) verdict.Cause {
	if len(r.Excluded) > 0 {
		return verdict.CauseTargetDown
	}

	return verdict.CauseNoTarget
}

// place places waiting requests while there is room, and refuses those that
// cannot be served any more.
func (d *Dispatcher) place(now time.Time, s *service) []Action {
	if len(s.waiting) == 0 {
		return nil
	}

	// What is left is in the order in which it is to be placed.
	out := d.refuseUnservable(now, s)
	remaining := s.waiting[:0]

	for i := range s.waiting {
		w := &s.waiting[i]

		var t *target
		if !s.Streams || !s.startLimit.blocked(now) {
			t = d.choose(now, s, &w.Request)
		}

		if t == nil {
			remaining = append(remaining, *w)

			continue
		}

		t.place(now, w.Work)
		s.startLimit.recordStart()
		out = append(out, Action{ID: w.ID, Target: t.Target, Placed: true})
	}

	s.waiting = remaining

	return out
}

// limit returns how many requests t may have.
func (s *service) limit(now time.Time, t *target, cfg *Settings) float64 {
	maximum := float64(t.Slots) + cfg.MaxQueuedPerTarget
	if !s.Streams {
		return maximum
	}

	return min(s.slowdownLimit(now, t, s.concurrencyLimit.limit(t)), maximum)
}

// compareWaiting says which of two waiting requests goes first, where one that is placed now
// is answered at due. What can still be in time goes before what is late already, the
// newest first: in a burst, first come, first served would make every request late. Late
// ones follow in the order in which their callers give up.
func compareWaiting(answerAt time.Time, a, b *waiting) int {
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}

	lateA, lateB := !answerAt.Before(a.SoftDeadline), !answerAt.Before(b.SoftDeadline)

	switch {
	case lateA != lateB && lateB:
		return -1
	case lateA != lateB:
		return 1
	case lateA:
		return a.Deadline.Compare(b.Deadline)
	default:
		return b.since.Compare(a.since)
	}
}

// refuseUnservable refuses what its caller will have given up before an answer, and
// what no target is left for. A late request is refused as soon as more late ones
// go before it than end in the time that it has. Where all targets failed lately and
// are left alone, a caller that gives up before the first is tried again is refused at
// once. The rest is left in order.
func (d *Dispatcher) refuseUnservable(now time.Time, s *service) []Action {
	var out []Action

	perSecond := s.completions.perSecond(now)
	ahead := 0

	answerAt := now.Add(s.firstAnswer)
	slices.SortStableFunc(s.waiting, func(a, b waiting) int { return compareWaiting(answerAt, &a, &b) })

	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool {
		openAt, ok := s.availableAt(now, &w.Request)
		untilAvailable := openAt.Sub(now)
		remaining := w.Deadline.Sub(answerAt) - untilAvailable
		queueTime := time.Duration(0)

		if perSecond > 0 {
			queueTime = time.Duration(float64(ahead) / perSecond * float64(time.Second))
		}

		late := !answerAt.Before(w.SoftDeadline)

		switch {
		case !ok:
			out = append(out, Action{ID: w.ID, Cause: s.noTargetCause(&w.Request), RetryAt: now.Add(d.Settings.NoTargetRetryAfter), Capacity: d.capacity(now, s)})
		case remaining <= 0, late && perSecond > 0 && queueTime > remaining:
			out = append(out, Action{ID: w.ID, Cause: d.refusalCause(now, s), RetryAt: now.Add(d.retryAfter(untilAvailable + queueTime)), Capacity: d.capacity(now, s)})
		default:
			ahead++

			return false
		}

		return true
	})

	return out
}

// refusalCause says why a request that waited got no target.
func (d *Dispatcher) refusalCause(now time.Time, s *service) verdict.Cause {
	cause := verdict.CauseNoTarget

	for _, t := range s.sorted {
		switch o := d.blockReason(now, s, t); {
		case o == blockDraining:
		case o == blockBroken, o == blockEjected && !t.rejected:
			cause = verdict.CauseTargetDown
		default:
			return verdict.CauseOverload
		}
	}

	return cause
}

func (d *Dispatcher) retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, d.Settings.MinRetryAfter), d.Settings.MaxRetryAfter)
}

// choose returns the target with the least load that may take r now, or nil.
func (d *Dispatcher) choose(now time.Time, s *service, r *Request) *target {
	var best *target

	bestCost := 0.0
	ties := 0

	for _, t := range s.sorted {
		if d.blockReason(now, s, t) != blockNone || slices.Contains(r.Excluded, t.ID) {
			continue
		}

		c := t.cost(now, s, &d.Settings) + d.zoneCost(t)

		switch {
		case best == nil || c < bestCost-costTolerance:
			best, bestCost, ties = t, c, 1
		case c <= bestCost+costTolerance:
			// Each of the equal ones is as likely: all entries would else choose the same.
			ties++
			if d.Rand.IntN(ties) == 0 {
				best = t
			}
		}
	}

	return best
}

// zoneCost is what the way to t costs, in the terms of a target's load. A packet that is
// lost between zones is sent again later than callers accept between two events.
func (d *Dispatcher) zoneCost(t *target) float64 {
	if d.Zone == "" || t.Zone == d.Zone {
		return 0
	}

	return d.Settings.CrossZoneCost
}

// costTolerance is the difference in load (parts of the slots) below which targets count as equal.
const costTolerance = 0.02

// blockReason returns why t may not get a request now; obstacleNone where it may.
func (d *Dispatcher) blockReason(now time.Time, s *service, t *target) blockReason {
	switch {
	case t.Draining:
		return blockDraining
	case t.Broken:
		return blockBroken
	case now.Before(t.ejectedUntil):
		return blockEjected
	case t.Slots > 0 && d.isFull(now, s, t):
		return blockFull
	case s.MaxConnections > 0 && t.inFlight >= t.Share.Units(now, float64(s.MaxConnections)):
		return blockConnections
	case s.ColdPerSecond > 0 && t.sentSince(now.Add(-d.Settings.ColdWindow)) >= d.coldQuota(now, s, t):
		return blockCold
	default:
		return blockNone
	}
}

func (d *Dispatcher) isFull(now time.Time, s *service, t *target) bool {
	limit := s.limit(now, t, &d.Settings)
	load := t.load(now, s, &d.Settings)

	if load >= limit {
		return true
	}

	return s.Streams && t.inFlight >= t.Share.Units(now, math.Ceil(limit)) && !d.mayBorrow(now, t, limit, load)
}

// mayBorrow reports whether this entry may have more than its share at t. It may where the
// others leave enough of theirs unused: they may all take it up before a word of it is heard.
// While t has just come into use nothing has been heard.
func (d *Dispatcher) mayBorrow(now time.Time, t *target, limit, load float64) bool {
	if now.Before(t.newUntil) {
		return false
	}

	return load+1+d.Settings.BorrowReserve*float64(t.Share.Entries-1) <= limit
}

// warmBoundFactor is how far above the declared bound of a cold target all entries
// together may go while it counts as warm: it may have turned cold without a word.
const warmBoundFactor = 1.5

// newEntryDivisor is by how much smaller the part is, as a divisor, that an entry takes which may
// know few of the others.
const newEntryDivisor = 4

// coldQuota is how many requests this entry may send to t in a second. A cold
// target breaks down above its bound, and any target may turn cold without a
// word, so warm ones have a bound too, which usual load does not reach. An entry that has
// just started may know few of the others, and take too large a part.
func (d *Dispatcher) coldQuota(now time.Time, s *service, t *target) int {
	bound := s.ColdPerSecond * d.Settings.ColdUtilization
	if !now.Before(t.ColdUntil) {
		bound *= warmBoundFactor
	}

	units := t.Share.Units(now, bound)
	if now.Before(d.newUntil) {
		return (units + newEntryDivisor - 1) / newEntryDivisor
	}

	return units
}
