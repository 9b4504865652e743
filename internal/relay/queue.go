package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/dispatch"
	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// tickInterval is the interval at which waiting requests are reconsidered. It is short
// compared with the ejection times of targets, and no timer runs while nothing waits.
const tickInterval = 20 * time.Millisecond

// queue serializes calls of the dispatcher, and wakes the goroutines of requests that were
// assigned to a target or refused.
type queue struct {
	dispatcher *dispatch.Dispatcher
	now        func() time.Time

	mu          sync.Mutex
	lastID      uint64
	waiters     map[uint64]chan dispatch.Action
	tickPending bool
	// engines holds the targets whose load an agent reports, by VM. It is an index because
	// each agent of a deployment sends ten reports per second.
	engines map[netip.Addr][]engine
	// directors holds the group that the agent on a VM directs. It may be one whose rank 0 this
	// entry does not use.
	directors map[netip.Addr]groupID
	// onForecast is called with each group whose forecast has become invalid or valid.
	onForecast func(p dispatch.ForecastProblem)
	// onOverload is called when a request is refused because no target has room for it.
	onOverload func(now time.Time)
}

type engine struct{ service, target string }

// acquireTarget waits until r is assigned to a target or refused, or ctx ends.
func (q *queue) acquireTarget(ctx context.Context, r dispatch.Request) (dispatch.Action, error) {
	q.mu.Lock()
	q.lastID++
	r.ID = q.lastID
	placed := make(chan dispatch.Action, 1)
	q.waiters[r.ID] = placed
	q.notify(q.dispatcher.Submit(q.now(), r))
	q.scheduleTick()
	q.mu.Unlock()

	select {
	case a := <-placed:
		return actionResult(a)
	case <-ctx.Done():
	}

	q.mu.Lock()
	q.dispatcher.Cancel(r.Service, r.ID)
	delete(q.waiters, r.ID)
	q.mu.Unlock()

	select {
	case a := <-placed:
		if a.Placed {
			q.finish(a, r.Work, dispatch.Canceled)
		}
	default:
	}

	return dispatch.Action{}, verdict.Refuse(verdict.CauseCancelled, time.Time{})
}

func actionResult(a dispatch.Action) (dispatch.Action, error) {
	if a.Placed {
		return a, nil
	}

	return a, verdict.Refuse(a.Cause, a.RetryAt)
}

func (q *queue) finish(a dispatch.Action, work float64, o dispatch.Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.notify(q.dispatcher.Finish(q.now(), a, work, o))

	for _, p := range q.dispatcher.ForecastChanges() {
		q.onForecast(p)
	}
}

// recordResponse passes on the load and the fault that a target's response reports.
func (q *queue) recordResponse(a dispatch.Action, info ResponseInfo) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if info.HasLoad {
		q.notify(q.dispatcher.ReportLoad(q.now(), a.Target.Service, a.Target.ID, info.Load))
	}

	if info.AtFault != "" {
		q.dispatcher.ReportFault(q.now(), a, info.AtFault)
	}
}

// recordTargetEnd records that the target of a request ended at a time.
func (q *queue) recordTargetEnd(a dispatch.Action, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.dispatcher.ReportTargetEnd(a, at.Add(quarantine.GroupFailureTime))
}

// updateLoad records a reported load for the engines on a VM.
func (q *queue) updateLoad(vm netip.Addr, l dispatch.Load) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, e := range q.engines[vm] {
		q.notify(q.dispatcher.ReportLoad(q.now(), e.service, e.target, l))
	}

	if g, ok := q.directors[vm]; ok && l.Skew > 0 && len(q.engines[vm]) == 0 {
		q.notify(q.dispatcher.ReportSkew(q.now(), g.service, g.group, l.Skew))
	}
}

// recordEventGap records a gap between two events of a stream, of which the route allows accepted.
func (q *queue) recordEventGap(a dispatch.Action, gap, accepted time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.now()
	q.dispatcher.ReportEventGap(now, a, float64(gap)/float64(accepted))
	q.dispatcher.ReportGapDuration(now, a, gap)
}

func (q *queue) recordFirstAnswer(a dispatch.Action, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.dispatcher.ReportFirstAnswer(a, took)
}

// levelReports returns what this entry reports about the groups of prioritized services.
func (q *queue) levelReports() []dispatch.LevelReport {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.dispatcher.LevelReports(q.now())
}

// countGroups returns the number of groups whose state matches.
func (q *queue) countGroups(match func(g *dispatch.GroupState) bool) int64 {
	q.mu.Lock()
	defer q.mu.Unlock()

	n := int64(0)
	groups := q.dispatcher.Groups(q.now())

	for i := range groups {
		if match(&groups[i]) {
			n++
		}
	}

	return n
}

// waiting returns the number of requests that wait for a target.
func (q *queue) waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.dispatcher.Waiting()
}

func (q *queue) refusedByAdmission() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.dispatcher.RefusedByAdmission()
}

// updateLevels records the sums over all entries for a group.
func (q *queue) updateLevels(group string, c priority.Counts, entries int) error {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.dispatcher.ReportLevels(q.now(), group, c, entries)
}

// update replaces the services and targets.
func (q *queue) update(services []dispatch.Service, targets []dispatch.Target, directors map[netip.Addr]groupID, rosterIncomplete bool) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.dispatcher.RosterIncomplete = rosterIncomplete
	q.engines = make(map[netip.Addr][]engine)

	for i := range targets {
		if t := &targets[i]; t.Group != "" {
			vm := t.Address.Addr()
			q.engines[vm] = append(q.engines[vm], engine{service: t.Service, target: t.ID})
		}
	}

	q.directors = directors
	q.notify(q.dispatcher.Update(q.now(), services, targets))
}

// hasEngineOn reports whether a target is an engine on a VM.
func (q *queue) hasEngineOn(vm netip.Addr) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return len(q.engines[vm]) > 0
}

// hasDirectorOn reports whether the agent on a VM directs a group whose skew this entry needs.
func (q *queue) hasDirectorOn(vm netip.Addr) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	_, ok := q.directors[vm]

	return ok
}

// notify sends actions to the requests that wait for them. The caller holds mu.
func (q *queue) notify(actions []dispatch.Action) {
	for _, a := range actions {
		if !a.Placed && a.Cause == verdict.CauseOverload {
			q.onOverload(q.now())
		}

		if c := q.waiters[a.ID]; c != nil {
			c <- a

			delete(q.waiters, a.ID)
		}
	}
}

// scheduleTick starts a timer for the next tick while requests wait. The caller holds mu.
func (q *queue) scheduleTick() {
	if q.tickPending || q.dispatcher.Waiting() == 0 {
		return
	}

	q.tickPending = true

	time.AfterFunc(tickInterval, func() {
		q.mu.Lock()
		defer q.mu.Unlock()

		q.notify(q.dispatcher.Tick(q.now()))
		q.tickPending = false
		q.scheduleTick()
	})
}
