package dispatch

import (
	"slices"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// The load pattern that this file addresses: a group that can serve fewer requests in time than
// arrive, of callers that differ in urgency. Whoever cannot be served in time learns that at once,
// and the least urgent do.

// placeByPriority assigns the waiting requests of a prioritized service while targets have
// capacity, and refuses those that will not be answered in time.
func (d *Dispatcher) placeByPriority(now time.Time, s *service) []Action {
	answerAt := now.Add(s.firstAnswerTime(now))
	awaitTimely := s.updateLateGroups(now)
	anyLate := s.describeWaiting(now, answerAt, &d.Settings)
	d.findOpenTargets(now, s, anyLate)

	s.levels.beginPlacement()

	var out []Action

	unplaced := s.unplaced[:0]

	for _, i := range s.order.Arrange(now, s.items) {
		w, item := &s.waiting[i], &s.items[i]

		var t *target
		if answerAt.Before(w.Deadline) {
			t = d.chooseOpen(now, s, &w.Request, item.Late, awaitTimely)

			if t == nil && !item.Late && s.levels.mayExceedShare(now, w.Level) {
				t = d.chooseBeyondShare(now, s, &w.Request, !awaitTimely)
			}
		}

		if t == nil {
			unplaced = append(unplaced, *w)

			continue
		}

		s.order.Place(now, item)
		out = append(out, d.placeAt(now, s, t, &w.Request))
	}

	s.waiting, s.unplaced = unplaced, s.waiting[:0]

	if len(s.waiting) > 0 {
		out = append(out, d.refuseLate(now, s, answerAt)...)
	}

	s.levels.recordWaiting(now, len(s.waiting))

	return out
}

// refusedWait is the longest time that requests waited lately until they were refused.
type refusedWait struct {
	longest time.Duration
	at      time.Time
}

// refusedWaitTTL is how long a wait before a refusal is remembered. It exceeds the time within which
// refused callers return.
const refusedWaitTTL = 10 * time.Second

func (r *refusedWait) record(now time.Time, waited time.Duration) {
	if waited >= r.longestAt(now) {
		r.longest, r.at = waited, now
	}
}

func (r *refusedWait) longestAt(now time.Time) time.Duration {
	if now.Sub(r.at) > refusedWaitTTL {
		return 0
	}

	return r.longest
}

// describeWaiting sets the items of the waiting requests, where a request placed now is answered at
// answerAt. It reports whether one of them is late.
func (s *service) describeWaiting(now, answerAt time.Time, cfg *Settings) (anyLate bool) {
	s.items = s.items[:0]
	surelyAsTold := cfg.MinRetryAfter + s.refusedWait.longestAt(now)

	for i := range s.waiting {
		w := &s.waiting[i]
		item := priority.Item{
			Level: clampLevel(w.Level), Workspace: w.Workspace, Work: w.Work, Attempt: w.Attempt, Late: !answerAt.Before(w.SoftDeadline),
			Since: w.since, Deadline: w.Deadline,
		}

		if !w.FirstAttemptAt.IsZero() {
			item.Since = w.FirstAttemptAt
		}

		// A caller that has waited in vain and repeats at once is as old as one that was refused at
		// once and returns as told. With precedence for both, those who repeat at once gain.
		if w.Attempt == priority.ReturnedAsTold && w.since.Sub(item.Since) < surelyAsTold {
			item.Attempt = priority.FirstAttempt
		}

		anyLate = anyLate || item.Late
		s.items = append(s.items, item)
	}

	return anyLate
}

// refuseLate refuses the waiting requests that will not be answered by their soft deadline, as
// there are too many ahead of them. If they will be answered by their deadline, such requests may
// wait while places for late requests are open, one for each such target, and those that have been at
// a target before may always. The waiting requests must be in the order of placement, and none of
// them can be placed now.
func (d *Dispatcher) refuseLate(now time.Time, s *service, answerAt time.Time) []Action {
	var out []Action

	perSecond := s.completions.perSecond(now)
	sends, rateLimited := d.sendTimes(now, s)
	ahead, latePlaces := 0, -1

	// Both are the same for all requests that are refused now.
	refusalCause := sync.OnceValue(func() verdict.Cause { return d.refusalCause(now, s) })
	capacity := sync.OnceValue(func() CapacitySummary { return d.capacity(now, s) })

	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool {
		openAt, ok := s.availableAt(now, &w.Request, &d.Settings)
		if !ok {
			out = append(out, Action{ID: w.ID, Cause: s.noTargetCause(now, &w.Request, &d.Settings), RetryAt: s.noTargetRetryAt(now, &d.Settings), Capacity: capacity()})
			s.levels.recordRefused(now, w.Level, out[len(out)-1].Cause)

			return true
		}

		if rateLimited {
			openAt = latest(openAt, sends.after(ahead))
		}

		wait := openAt.Sub(now)
		if perSecond > 0 {
			wait += time.Duration(float64(ahead) / perSecond * float64(time.Second))
		}

		if answerAt.Add(wait).Before(w.SoftDeadline) {
			ahead++

			return false
		}

		if latePlaces < 0 {
			latePlaces = d.latePlaces(now, s)
		}

		started := wasAtTarget(&w.Request)

		if (started || latePlaces > 0) && answerAt.Add(wait).Before(w.Deadline) {
			ahead++

			if !started {
				latePlaces--
			}

			return false
		}

		s.refusedWait.record(now, now.Sub(w.since))

		out = append(out, Action{
			ID: w.ID, Cause: refusalCause(), RetryAt: now.Add(d.retryAfter(wait)), ExpectedWait: wait, Capacity: capacity(),
		})
		s.levels.recordRefused(now, w.Level, out[len(out)-1].Cause)

		return true
	})

	return out
}

// latePlaces returns the number of targets that have a place for requests that are late already,
// although other reasons may delay the start of requests there.
func (d *Dispatcher) latePlaces(now time.Time, s *service) int {
	n := 0

	for _, t := range s.sorted {
		if !t.isDraining(now) && !t.group.isDown(now, &d.Settings) && t.Slots > 0 && !d.isFullForLate(now, s, t) {
			n++
		}
	}

	return n
}
