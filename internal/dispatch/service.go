package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// service holds the targets of a service and the requests that wait for them.
type service struct {
	Service

	targets map[string]*target
	// sorted lists the targets by ID, so that decisions do not depend on map order.
	sorted      []*target
	groups      map[string]*group
	waiting     []waiting
	completions completionRate
	// order is the order of placement if the service is prioritized. items and unplaced are
	// reused by each placement.
	order       priority.Order
	refusedWait refusedWait
	items       []priority.Item
	unplaced    []waiting
	// open are the targets that may receive a request, openForLate those for requests that are
	// late already.
	open, openForLate openTargets
	// levels is nil unless the service is prioritized.
	levels *levels
}

func newService() *service {
	return &service{targets: make(map[string]*target), groups: make(map[string]*group)}
}

type waiting struct {
	Request

	since time.Time
}

func (s *service) setTarget(now time.Time, t Target, b *backpressure) {
	current := s.targets[t.ID]

	switch {
	case current == nil || current.Address != t.Address:
		current = &target{settlingUntil: now.Add(settlingTime)}
		s.targets[t.ID] = current
	case current.Broken && !t.Broken:
		current.settlingUntil, current.reports = now.Add(settlingTime), 0
	}

	current.Target, current.backpressure = t, b
}

// settlingTime is how long a target or this entry counts as new. It covers several load
// reports of the target, or several updates about the other entries.
const settlingTime = time.Second

// settlingReports is the number of load reports after which a target no longer counts as new:
// the first ones do not contain what all entries have just sent there.
const settlingReports = 4

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

// availableAt returns the earliest time at which some target may accept r: now, or the end
// of the first ejection or rest if all targets are ejected or rest. It returns false if no
// target can accept r.
func (s *service) availableAt(now time.Time, r *Request, cfg *Settings) (at time.Time, ok bool) {
	for _, t := range s.sorted {
		if t.isDraining(now) || t.group.isDown(now, cfg) || slices.Contains(r.Excluded, t.ID) {
			continue
		}

		available := t.availableAt(now)
		if available.Equal(now) {
			return now, true
		}

		if !ok || available.Before(at) {
			at, ok = available, true
		}
	}

	return at, ok
}

func (s *service) noTargetCause(now time.Time, r *Request, cfg *Settings) verdict.Cause {
	if _, allDown := s.downSince(now, cfg); allDown || len(r.Excluded) > 0 {
		return verdict.CauseTargetDown
	}

	return verdict.CauseNoTarget
}

// noTargetRetryAt returns when a caller should retry after no target could accept its
// request. The longer all groups are broken already, the longer they will probably remain so.
func (s *service) noTargetRetryAt(now time.Time, cfg *Settings) time.Time {
	wait := cfg.NoTargetRetryAfter
	if since, allDown := s.downSince(now, cfg); allDown {
		wait = max(wait, now.Sub(since))
	}

	return now.Add(min(wait, cfg.MaxRetryAfter))
}

// downSince returns when the last group of the service broke. It returns false unless all of
// its groups are down.
func (s *service) downSince(now time.Time, cfg *Settings) (since time.Time, allDown bool) {
	for _, g := range s.groups {
		switch {
		case len(g.targets) == 0:
		case !g.isDown(now, cfg):
			return time.Time{}, false
		case g.brokenSince.After(since):
			since = g.brokenSince
		}
	}

	return since, !since.IsZero()
}

// place assigns waiting requests while targets have capacity, and refuses those that can no
// longer be answered in time.
func (d *Dispatcher) place(now time.Time, s *service) []Action {
	if len(s.waiting) == 0 {
		return nil
	}

	s.updatePlans(now, &d.Settings)

	if s.Prioritized && !s.isSlow(now) {
		return d.placeByPriority(now, s)
	}

	// refuseUnservable leaves the waiting requests sorted in the order of placement.
	out := d.refuseUnservable(now, s)
	answerAt := now.Add(s.firstAnswerTime(now))
	awaitTimely := s.updateLateGroups(now)
	remaining := s.waiting[:0]

	isLate := func(w waiting) bool { return !answerAt.Before(w.SoftDeadline) }
	d.findOpenTargets(now, s, slices.ContainsFunc(s.waiting, isLate))

	for i := range s.waiting {
		w := &s.waiting[i]
		late := isLate(*w)

		t := d.chooseOpen(now, s, &w.Request, late, awaitTimely)
		if t == nil {
			remaining = append(remaining, *w)

			continue
		}

		out = append(out, d.placeAt(now, s, t, &w.Request))
	}

	s.waiting = remaining

	return out
}

// chooseOpen returns the open target for r, or nil if there is none. late is set if r is late
// already, awaitTimely if another request should wait for a group that is in time.
func (d *Dispatcher) chooseOpen(now time.Time, s *service, r *Request, late, awaitTimely bool) *target {
	open := &s.open
	if late {
		open = &s.openForLate
	}

	t := d.choose(now, open.timely, r)
	if t == nil && (late || !awaitTimely) {
		t = d.choose(now, open.late, r)
	}

	return t
}

// placeAt places r at t, and updates the open targets.
func (d *Dispatcher) placeAt(now time.Time, s *service, t *target, r *Request) Action {
	t.group.place(now)
	t.place(now, r.Work)
	s.levels.recordPlaced(now, t.group, r.Level)

	s.open.removeIf(t, func(t *target) bool { return d.blockReason(now, s, t) != blockNone })
	s.openForLate.removeIf(t, func(t *target) bool {
		return d.blockReason(now, s, t) != blockNone || d.isFullForLate(now, s, t)
	})

	return Action{ID: r.ID, Target: t.Target, Placed: true, PlacedAt: now}
}

// openTargets are targets that may receive a request now.
type openTargets struct {
	// timely are those in groups whose streams are in time, late are the others.
	timely, late []*target
}

func (o *openTargets) add(t *target) {
	if t.group.late {
		o.late = append(o.late, t)
	} else {
		o.timely = append(o.timely, t)
	}
}

// removeIf removes the blocked targets after t has received a request. Others than t are
// blocked only if t is: by a limit of their group.
func (o *openTargets) removeIf(t *target, isBlocked func(*target) bool) {
	if isBlocked(t) {
		o.timely = slices.DeleteFunc(o.timely, isBlocked)
		o.late = slices.DeleteFunc(o.late, isBlocked)
	}
}

// findOpenTargets updates the open targets of a service, and those for late requests if there
// are any.
func (d *Dispatcher) findOpenTargets(now time.Time, s *service, anyLate bool) {
	s.open = openTargets{timely: s.open.timely[:0], late: s.open.late[:0]}
	s.openForLate = openTargets{timely: s.openForLate.timely[:0], late: s.openForLate.late[:0]}

	for _, t := range s.sorted {
		if d.blockReason(now, s, t) != blockNone {
			continue
		}

		s.open.add(t)

		if anyLate && !d.isFullForLate(now, s, t) {
			s.openForLate.add(t)
		}
	}
}

// isFullForLate reports whether t has as many requests as those that are late already may use.
// They leave some places of engines, and some of this entry's share of them, to requests that
// can still be answered in time: after an outage the callers of all that time return at once,
// and would occupy all places for as long as their streams last.
func (d *Dispatcher) isFullForLate(now time.Time, s *service, t *target) bool {
	if s.isPlanned(t) {
		return t.group.plan.isFull(t.group.plan.latePart(&d.Settings), false, &d.Settings)
	}

	return s.Streams && d.isFull(now, s, t, d.Settings.LateUtilization*s.limit(now, t, &d.Settings))
}

// updateLateGroups updates which groups are late. It reports whether some group is in time,
// although its targets may be full: a request that can still be answered in time waits for it.
func (s *service) updateLateGroups(now time.Time) (anyTimely bool) {
	for _, g := range s.groups {
		g.late = s.Streams && g.isLate(now)
		anyTimely = anyTimely || !g.late && g.isAvailable(now)
	}

	return anyTimely
}

// limit returns the maximum number of requests at t.
func (s *service) limit(now time.Time, t *target, cfg *Settings) float64 {
	maximum := float64(t.Slots) + cfg.MaxQueuedPerTarget
	if !s.Streams {
		return maximum
	}

	if s.isPlanned(t) {
		return maximum
	}

	return min(t.group.slowdownLimit(now, t, t.group.concurrencyLimit.limit(t)), maximum)
}

// compareWaiting orders two waiting requests by placement, where a request placed now is
// answered at answerAt. Requests that can still meet their soft deadline precede those that
// are late. The newest of them comes first: in a burst, first come, first served would make
// every request late. Late requests are ordered by their deadlines.
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

// refuseUnservable refuses requests that would exceed their deadline before an answer, and
// those without an eligible target. A late request is refused once the requests ahead of it
// are more than complete in its remaining time. If all targets are ejected or rest, a request
// whose deadline precedes the end of the first ejection or rest is refused immediately, and so
// is one that the rate limits of the targets cannot admit before its deadline. The remaining
// requests are left sorted.
func (d *Dispatcher) refuseUnservable(now time.Time, s *service) []Action {
	var out []Action

	perSecond := s.completions.perSecond(now)
	sends, rateLimited := d.sendTimes(now, s)
	ahead := 0

	answerAt := now.Add(s.firstAnswerTime(now))
	slices.SortStableFunc(s.waiting, func(a, b waiting) int { return compareWaiting(answerAt, &a, &b) })

	s.waiting = slices.DeleteFunc(s.waiting, func(w waiting) bool {
		openAt, ok := s.availableAt(now, &w.Request, &d.Settings)

		if rateLimited {
			openAt = latest(openAt, sends.after(ahead))
		}

		untilAvailable := openAt.Sub(now)
		remaining := w.Deadline.Sub(answerAt) - untilAvailable
		queueTime := time.Duration(0)

		if perSecond > 0 {
			queueTime = time.Duration(float64(ahead) / perSecond * float64(time.Second))
		}

		late := !answerAt.Before(w.SoftDeadline)

		switch {
		case !ok:
			out = append(out, Action{ID: w.ID, Cause: s.noTargetCause(now, &w.Request, &d.Settings), RetryAt: s.noTargetRetryAt(now, &d.Settings), Capacity: d.capacity(now, s)})
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

// refusalCause returns why a waiting request could not be placed.
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

// choose returns the target with the lowest cost for r, or nil if there is none. Among targets of
// equal cost it prefers those with an idle connection, if r may use one.
func (d *Dispatcher) choose(now time.Time, open []*target, r *Request) *target {
	var best *target

	bestCost := 0.0
	bestIdle := false
	ties := 0

	for _, t := range open {
		if slices.Contains(r.Excluded, t.ID) {
			continue
		}

		c := t.cost(now, &d.Settings) + d.zoneCost(t)
		idle := r.Reuse && t.Idle != nil && t.Idle()

		switch {
		case best == nil || c < bestCost-costTolerance:
			best, bestCost, bestIdle, ties = t, c, idle, 1
		case c <= bestCost+costTolerance && idle && !bestIdle:
			best, bestIdle, ties = t, true, 1
		case c <= bestCost+costTolerance && idle == bestIdle:
			// Choose among equal targets with equal probability. Otherwise all entries
			// would choose the same one.
			ties++
			if d.Rand.IntN(ties) == 0 {
				best = t
			}
		}
	}

	return best
}

// zoneCost returns the cost of the path to t, in units of relative target load. A packet
// lost between zones is retransmitted later than the event gap that callers accept.
func (d *Dispatcher) zoneCost(t *target) float64 {
	if d.Zone == "" || t.Zone == d.Zone {
		return 0
	}

	return d.Settings.CrossZoneCost
}

// costTolerance is the cost difference, as a fraction of the slots, below which targets
// count as equal.
const costTolerance = 0.02

// blockReason returns why t may not receive a request now, or blockNone if it may.
func (d *Dispatcher) blockReason(now time.Time, s *service, t *target) blockReason {
	switch {
	case t.isDraining(now):
		return blockDraining
	case t.Broken, t.group.isReportedBroken(now):
		return blockBroken
	case now.Before(t.ejectedUntil):
		return blockEjected
	case t.backpressure.isResting(now):
		return blockResting
	case d.isRateLimited(now, t):
		return blockRateLimit
	case t.Slots > 0 && d.isFull(now, s, t, s.limit(now, t, &d.Settings)):
		return blockFull
	case s.MaxConnections > 0 && t.inFlight >= t.Share.Units(now, float64(s.MaxConnections)):
		return blockConnections
	case s.isStartBlocked(now, t):
		return blockStart
	case s.ColdPerSecond > 0 && t.backpressure.sentSince(now.Add(-d.Settings.ColdWindow)) >= d.coldQuota(now, s, t):
		return blockCold
	default:
		return blockNone
	}
}

// isFull reports whether t has as many requests as limit allows, or this entry its share of
// them.
func (d *Dispatcher) isFull(now time.Time, s *service, t *target, limit float64) bool {
	load := t.load(now, &d.Settings)

	if load >= limit {
		return true
	}

	if s.isPlanned(t) {
		return t.group.plan.isFull(1, s.levels.exceedsShare(), &d.Settings)
	}

	if s.levels.exceedsShare() && !t.isSettling(now) {
		return false
	}

	return s.Streams && t.inFlight >= t.Share.Units(now, math.Ceil(limit)) && !d.mayBorrow(now, t, limit, load)
}

// mayBorrow reports whether this entry may exceed its share at t. It may if the other
// entries leave enough of their shares unused: they may all use them before their load is
// reported. Nothing has been reported for a new target, so borrowing is not allowed there.
func (d *Dispatcher) mayBorrow(now time.Time, t *target, limit, load float64) bool {
	if t.isSettling(now) {
		return false
	}

	return load+1+d.Settings.BorrowReserve*float64(t.Share.Entries-1) <= limit
}

// warmBoundFactor is the factor by which all entries together may exceed the declared limit
// of cold targets while a target counts as warm. The target may have become cold without
// notice.
const warmBoundFactor = 1.5

// settlingDivisor reduces the share of an entry that has just started and may know only a
// few of the others.
const settlingDivisor = 4

// coldQuota returns how many requests this entry may send to t per ColdWindow. A cold
// target fails above its limit, and any target may become cold without notice, so a limit
// applies to warm targets too; typical load does not reach it. An entry that has just
// started may know only a few of the others and overestimate its share, so it uses only a
// part.
func (d *Dispatcher) coldQuota(now time.Time, s *service, t *target) int {
	bound := s.ColdPerSecond * d.Settings.ColdUtilization
	if !now.Before(t.ColdUntil) {
		bound *= warmBoundFactor
	}

	units := t.Share.Units(now, bound)
	if d.isNew(now) {
		return (units + settlingDivisor - 1) / settlingDivisor
	}

	return units
}
