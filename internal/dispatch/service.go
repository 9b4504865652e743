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
	sorted  []*target
	waiting []waiting
	ends    rate
	// others is the mean of what other entries have at a target.
	others mean
	// crowding bounds how many requests a target is given.
	crowding crowding
	// surge holds back starts while steps are suddenly long.
	surge surge
	// leastPace and mostPace are the paces of the fastest and of the slowest target,
	// 0 while none has said one. They hold until pacesUntil.
	leastPace  float64
	mostPace   float64
	pacesUntil time.Time
	// firstAnswer is how long a placed request usually waits for its first answer.
	firstAnswer time.Duration
}

type waiting struct {
	Request

	since time.Time
}

func (s *service) set(now time.Time, t Target) {
	have := s.targets[t.ID]

	switch {
	case have == nil || have.Address != t.Address:
		have = &target{newUntil: now.Add(newFor)}
		s.targets[t.ID] = have
	case have.Broken && !t.Broken:
		have.newUntil = now.Add(newFor)
	}

	have.Target = t
}

// newFor is how long a target, or this entry, counts as just come into use: some words of
// the target's load, or of the other entries.
const newFor = time.Second

func (s *service) keepOnly(fresh map[string]bool) {
	for id := range s.targets {
		if !fresh[id] {
			delete(s.targets, id)
		}
	}

	s.sorted = slices.SortedFunc(maps.Values(s.targets), func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
}

func (s *service) drop(id uint64) {
	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool { return w.ID == id })
}

func (s *service) refuseAll(now time.Time, cause verdict.Cause, retry time.Duration) []Action {
	out := make([]Action, 0, len(s.waiting))
	for _, w := range s.waiting {
		out = append(out, Action{ID: w.ID, Cause: cause, RetryAt: now.Add(retry)})
	}

	s.waiting = nil

	return out
}

// opensAt returns from when on some target may take r: now, or the end of the first
// pause where all are left alone. It reports false if there is none to wait for.
func (s *service) opensAt(now time.Time, r *Request) (at time.Time, ok bool) {
	for _, t := range s.sorted {
		if t.Draining || slices.Contains(r.Excluded, t.ID) {
			continue
		}

		if !t.pausedUntil.After(now) {
			return now, true
		}

		if !ok || t.pausedUntil.Before(at) {
			at, ok = t.pausedUntil, true
		}
	}

	return at, ok
}

func (s *service) absence(r *Request) verdict.Cause {
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
	out := d.refuseHopeless(now, s)
	kept := s.waiting[:0]

	for i := range s.waiting {
		w := &s.waiting[i]

		var t *target
		if !s.Streams || !s.surge.holds(now) {
			t = d.choose(now, s, &w.Request)
		}

		if t == nil {
			kept = append(kept, *w)

			continue
		}

		t.place(now, w.Work)
		s.surge.start()
		out = append(out, Action{ID: w.ID, Target: t.Target, Placed: true})
	}

	s.waiting = kept

	return out
}

// limit returns how many requests t may have.
func (s *service) limit(now time.Time, t *target, cfg *Settings) float64 {
	most := float64(t.Slots) + cfg.MaxQueuedPerTarget
	if !s.Streams {
		return most
	}

	return min(s.crowdedAt(now, t, s.crowding.limit(t)), most)
}

// order says which of two waiting requests goes first, where one that is placed now
// is answered at due. What can still be in time goes before what is late already, the
// newest first: in a burst, first come, first served would make every request late. Late
// ones follow in the order in which their callers give up.
func order(due time.Time, a, b *waiting) int {
	if a.Priority != b.Priority {
		return cmp.Compare(a.Priority, b.Priority)
	}

	lateA, lateB := !due.Before(a.SoftDeadline), !due.Before(b.SoftDeadline)

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

// refuseHopeless refuses what its caller will have given up before an answer, and
// what no target is left for. A late request is refused as soon as more late ones
// go before it than end in the time that it has. Where all targets failed lately and
// are left alone, a caller that gives up before the first is tried again is refused at
// once. The rest is left in order.
func (d *Dispatcher) refuseHopeless(now time.Time, s *service) []Action {
	var out []Action

	perSecond := s.ends.perSecond(now)
	ahead := 0

	due := now.Add(s.firstAnswer)
	slices.SortStableFunc(s.waiting, func(a, b waiting) int { return order(due, &a, &b) })

	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool {
		opens, ok := s.opensAt(now, &w.Request)
		closed := opens.Sub(now)
		left := w.Deadline.Sub(due) - closed
		queued := time.Duration(0)

		if perSecond > 0 {
			queued = time.Duration(float64(ahead) / perSecond * float64(time.Second))
		}

		late := !due.Before(w.SoftDeadline)

		switch {
		case !ok:
			out = append(out, Action{ID: w.ID, Cause: s.absence(&w.Request), RetryAt: now.Add(d.Settings.NoTargetRetryAfter), Capacity: d.room(now, s)})
		case left <= 0, late && perSecond > 0 && queued > left:
			out = append(out, Action{ID: w.ID, Cause: d.shortage(now, s), RetryAt: now.Add(d.retryIn(closed + queued)), Capacity: d.room(now, s)})
		default:
			ahead++

			return false
		}

		return true
	})

	return out
}

// shortage says why a request that waited got no target.
func (d *Dispatcher) shortage(now time.Time, s *service) verdict.Cause {
	cause := verdict.CauseNoTarget

	for _, t := range s.sorted {
		switch o := d.obstacle(now, s, t); {
		case o == obstacleLeaving:
		case o == obstacleBroken, o == obstaclePaused && !t.full:
			cause = verdict.CauseTargetDown
		default:
			return verdict.CauseOverload
		}
	}

	return cause
}

func (d *Dispatcher) retryIn(wait time.Duration) time.Duration {
	return min(max(wait, d.Settings.MinRetryAfter), d.Settings.MaxRetryAfter)
}

// choose returns the target with the least load that may take r now, or nil.
func (d *Dispatcher) choose(now time.Time, s *service, r *Request) *target {
	var best *target

	bestCost := 0.0
	ties := 0

	for _, t := range s.sorted {
		if d.obstacle(now, s, t) != obstacleNone || slices.Contains(r.Excluded, t.ID) {
			continue
		}

		c := t.cost(now, s, &d.Settings) + d.wayCost(t)

		switch {
		case best == nil || c < bestCost-costTie:
			best, bestCost, ties = t, c, 1
		case c <= bestCost+costTie:
			// Each of the equal ones is as likely: all entries would else choose the same.
			ties++
			if d.Rand.IntN(ties) == 0 {
				best = t
			}
		}
	}

	return best
}

// wayCost is what the way to t costs, in the terms of a target's load. A packet that is
// lost between zones is sent again later than callers accept between two events.
func (d *Dispatcher) wayCost(t *target) float64 {
	if d.Zone == "" || t.Zone == d.Zone {
		return 0
	}

	return d.Settings.CrossZoneCost
}

// costTie is the difference in load (parts of the slots) below which targets count as equal.
const costTie = 0.02

// obstacle returns why t may not get a request now; obstacleNone where it may.
func (d *Dispatcher) obstacle(now time.Time, s *service, t *target) obstacle {
	switch {
	case t.Draining:
		return obstacleLeaving
	case t.Broken:
		return obstacleBroken
	case now.Before(t.pausedUntil):
		return obstaclePaused
	case t.Slots > 0 && d.full(now, s, t):
		return obstacleFull
	case s.MaxConnections > 0 && t.own >= t.Share.Units(now, float64(s.MaxConnections)):
		return obstacleConnections
	case s.ColdPerSecond > 0 && t.sentSince(now.Add(-d.Settings.ColdWindow)) >= d.coldShare(now, s, t):
		return obstacleCold
	default:
		return obstacleNone
	}
}

func (d *Dispatcher) full(now time.Time, s *service, t *target) bool {
	limit := s.limit(now, t, &d.Settings)
	load := t.load(now, s, &d.Settings)

	if load >= limit {
		return true
	}

	return s.Streams && t.own >= t.Share.Units(now, math.Ceil(limit)) && !d.mayBorrow(now, t, limit, load)
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

// coldUnknown is how far above the declared bound of a cold target all entries
// together may go while it counts as warm: it may have turned cold without a word.
const coldUnknown = 1.5

// newPart is by how much smaller the part is, as a divisor, that an entry takes which may
// know few of the others.
const newPart = 4

// coldShare is how many requests this entry may send to t in a second. A cold
// target breaks down above its bound, and any target may turn cold without a
// word, so warm ones have a bound too, which usual load does not reach. An entry that has
// just started may know few of the others, and take too large a part.
func (d *Dispatcher) coldShare(now time.Time, s *service, t *target) int {
	bound := s.ColdPerSecond * d.Settings.ColdUtilization
	if !now.Before(t.ColdUntil) {
		bound *= coldUnknown
	}

	units := t.Share.Units(now, bound)
	if now.Before(d.newUntil) {
		return (units + newPart - 1) / newPart
	}

	return units
}
