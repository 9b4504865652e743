// Package fairness decides at an entry which requests start, wait or are
// refused when a service has less room than its callers ask for: each workspace
// gets its weighted share, and what cannot end in time is refused at once.
package fairness

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Queue is one service's queue at one entry: start-time fair queueing over
// workspaces, in time spent in a slot. All methods may be called concurrently;
// each holds one lock for about a microsecond, but for Tick and SetCapacity,
// which may pass over all that wait.
type Queue struct {
	// Settings and Rand are set before the first call. Nothing else may use Rand.
	Settings Settings
	Rand     *rand.Rand

	mu       sync.Mutex
	ready    bool
	capacity int
	running  int
	// lastCapacity is the last one above 0, emptySince when it fell to 0.
	lastCapacity      int
	zeroCapacitySince time.Time
	// virtualTime is the fair queueing clock: work per weight given to the flow served last.
	virtualTime float64
	// waitingWeight is the sum of the weights of the flows that wait.
	waitingWeight float64
	// waitingWork is the sum of the work that waits.
	waitingWork float64
	waiting     int

	flows          map[string]*flow
	items          map[uint64]*itemState
	backlog        flowHeap
	expiring       expiryHeap
	serviceTime    serviceEstimate
	sweepThreshold int
	infeasible     int
	actions        []Action
}

// initialCapacity is what is expected before the first SetCapacity.
const initialCapacity = 8

// initLocked fills in the defaults. It needs the lock.
func (q *Queue) initLocked() {
	if q.ready {
		return
	}

	q.ready = true
	q.Settings = q.Settings.withDefaults()
	q.flows = map[string]*flow{}
	q.items = map[uint64]*itemState{}
	q.lastCapacity = initialCapacity
	q.serviceTime.mean = float64(q.Settings.InitialServiceTime)
	q.serviceTime.deviation = q.serviceTime.mean / 2
}

// SetCapacity says how many requests may run at once. What can no longer end in
// time is refused at once.
func (q *Queue) SetCapacity(now time.Time, n int) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initLocked()

	decreased := n < q.capacity
	q.capacity = n

	switch {
	case n > 0:
		q.lastCapacity, q.zeroCapacitySince = n, time.Time{}
	case q.zeroCapacitySince.IsZero():
		q.zeroCapacitySince = now
	}

	if decreased {
		q.refuseLate(now)
	}

	q.dispatch(now)

	return q.takeActions()
}

// Offer brings in a new item. The first action is its own; others follow.
func (q *Queue) Offer(now time.Time, it Item) (Action, []Action) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initLocked()

	e := q.newItemState(it)
	f := q.flowOf(now, &e.Item)
	e.flow = f

	if q.running < q.capacity && q.waiting == 0 {
		return q.startOrRefuse(now, e), nil
	}

	if excess, late := q.lateness(now, e, f.workAhead(e.level), q.Settings.WaitFactor); late {
		q.dropIfIdle(f)

		return q.refusal(now, e, excess), nil
	}

	if f.waiting >= q.Settings.MaxWaitingPerWorkspace || !q.makeSpace(now, f) {
		q.dropIfIdle(f)

		return q.refusal(now, e, q.estimateWait(now, f, f.workAhead(0))), nil
	}

	q.enqueue(e, false)
	q.dispatch(now)

	if e.running {
		return Action{ID: it.ID, Kind: Start}, q.takeActionsExcept(it.ID)
	}

	return Action{ID: it.ID, Kind: Wait}, q.takeActions()
}

// infeasibleAdmitInterval: of the requests that are too short of time by what others took, one
// in so many is let in where there is room, so that the estimate can be corrected.
const infeasibleAdmitInterval = 16

// startOrRefuse decides about an item that need not wait.
func (q *Queue) startOrRefuse(now time.Time, e *itemState) Action {
	if !e.Deadline.IsZero() && now.Add(q.serviceTime.required(e.Cost, -1)).After(e.Deadline) {
		q.infeasible++

		if !now.Before(e.Deadline) || q.infeasible%infeasibleAdmitInterval != 0 {
			q.dropIfIdle(e.flow)

			return q.refusal(now, e, 0)
		}
	}

	q.startItem(now, e)

	return Action{ID: e.ID, Kind: Start}
}

// Finish ends a running item that ran to its end, and learns from it.
func (q *Queue) Finish(now time.Time, id uint64) []Action { return q.end(now, id, true) }

// Cancel frees what a waiting or running item holds, at once: its caller has
// gone, or it was not run after all. Nothing is learned from it.
func (q *Queue) Cancel(now time.Time, id uint64) []Action { return q.end(now, id, false) }

// Requeue lets a running item that was not run after all, for want of room at
// the targets, wait again before the others of its workspace and priority. Its
// action comes with the rest: it may start again at once, or be refused.
func (q *Queue) Requeue(now time.Time, id uint64) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initLocked()

	e := q.items[id]
	if e == nil || !e.running {
		return nil
	}

	f := e.flow
	e.running = false
	q.running--
	f.running--
	// The room was not there. Without this the next would start at once, be
	// refused too, and so on until the next SetCapacity.
	q.capacity = min(q.capacity, q.running)
	q.setVirtualStart(f, f.virtualStart-e.work/f.weight)
	q.enqueue(e, true)

	if excess, late := q.lateness(now, e, 0, 1); late {
		q.refuse(now, e, excess)
	}

	q.dispatch(now)

	return q.takeActions()
}

func (q *Queue) end(now time.Time, id uint64, completed bool) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initLocked()

	e := q.items[id]
	if e == nil {
		return nil
	}

	if e.running {
		q.finishItem(now, e, completed)
	} else {
		q.dequeue(e)
		delete(q.items, id)
		q.dropIfIdle(e.flow)
	}

	q.dispatch(now)

	return q.takeActions()
}

// Tick refuses what can no longer end in time. A shell calls it some ten times
// a second, and at the time that Next returns.
func (q *Queue) Tick(now time.Time) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initLocked()
	q.refuseLate(now)
	q.dispatch(now)

	return q.takeActions()
}

// Next returns when the next waiting item becomes hopeless; zero for none.
func (q *Queue) Next() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()

	if len(q.expiring) == 0 {
		return time.Time{}
	}

	return q.expiring[0].latestUsefulStart
}

// State returns the queue's state.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()

	return State{
		Capacity: q.capacity, Running: q.running, Waiting: q.waiting,
		Workspaces: len(q.flows), Service: time.Duration(q.serviceTime.mean),
	}
}
