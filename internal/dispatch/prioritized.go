package dispatch

import (
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/priority"
)

// The load pattern that this file addresses: a group that can serve fewer requests in time than
// arrive, of callers that differ in urgency. Whoever cannot be served in time learns that at once,
// and the least urgent do.

// placeByPriority assigns the waiting requests of a prioritized service while targets have
// capacity, and refuses those that will not be answered in time.
func (d *Dispatcher) placeByPriority(now time.Time, s *service) []Action {
	answerAt := now.Add(s.firstAnswerTime(now))
	awaitTimely := s.updateLateGroups(now)
	anyLate := s.describeWaiting(answerAt)
	d.findOpenTargets(now, s, anyLate)

	var out []Action

	unplaced := s.unplaced[:0]

	for _, i := range s.order.Arrange(now, s.items) {
		w, item := &s.waiting[i], &s.items[i]

		var t *target
		if answerAt.Before(w.Deadline) {
			t = d.chooseOpen(now, s, &w.Request, item.Late, awaitTimely)
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
		out = append(out, d.refuseHopeless(now, s, answerAt)...)
	}

	return out
}

// describeWaiting sets the items of the waiting requests, where a request placed now is answered at
// answerAt. It reports whether one of them is late.
func (s *service) describeWaiting(answerAt time.Time) (anyLate bool) {
	s.items = s.items[:0]

	for i := range s.waiting {
		w := &s.waiting[i]
		late := !answerAt.Before(w.SoftDeadline)
		anyLate = anyLate || late

		s.items = append(s.items, priority.Item{
			Level: w.Level, Workspace: w.Workspace, Work: w.Work, Attempt: w.Attempt, Late: late, Since: w.since, Deadline: w.Deadline,
		})
	}

	return anyLate
}

// refuseHopeless refuses the waiting requests that will not be answered by their soft deadline, as
// there are too many ahead of them. Such requests may wait while places for late requests are open,
// one for each such target, if they will be answered by their deadline. The waiting requests must be
// in the order of placement, and none of them can be placed now.
func (d *Dispatcher) refuseHopeless(now time.Time, s *service, answerAt time.Time) []Action {
	var out []Action

	perSecond := s.completions.perSecond(now)
	sends, rateLimited := d.sendTimes(now, s)
	ahead, latePlaces := 0, -1

	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool {
		openAt, ok := s.availableAt(now, &w.Request, &d.Settings)
		if !ok {
			out = append(out, Action{ID: w.ID, Cause: s.noTargetCause(now, &w.Request, &d.Settings), RetryAt: s.noTargetRetryAt(now, &d.Settings), Capacity: d.capacity(now, s)})

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

		if latePlaces > 0 && answerAt.Add(wait).Before(w.Deadline) {
			ahead++
			latePlaces--

			return false
		}

		out = append(out, Action{
			ID: w.ID, Cause: d.refusalCause(now, s), RetryAt: now.Add(d.retryAfter(wait)), ExpectedWait: wait, Capacity: d.capacity(now, s),
		})

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
