// Package fairness decides at an entry which requests start, wait or are refused while
// a service has less capacity than its callers demand. Each workspace gets its weighted
// share, and requests that can't end in time are refused immediately.
package fairness

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Queue is the queue of one service at one entry. It does start-time fair queueing over
// workspaces, by time spent in a slot. All methods are safe for concurrent use. Each
// holds one lock for about a microsecond, except Tick and SetCapacity, which may pass
// over all waiting items.
type Queue struct {
	// Settings and Rand must be set before the first call. Nothing else may use Rand.
	Settings Settings
	Rand     *rand.Rand

	mu       sync.Mutex
	ready    bool
	capacity int
	running  int
	// lastCapacity is the last capacity above 0. zeroCapacitySince is when it fell to 0.
	lastCapacity      int
	zeroCapacitySince time.Time
	// virtualTime is the fair queueing clock: the virtual start of the flow served
	// last, in work per weight.
	virtualTime float64
	// waitingWeight is the total weight of the flows that have waiting items.
	waitingWeight float64
	// waitingWork is the total work of the waiting items.
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

// initialCapacity is the capacity assumed for estimates before the first SetCapacity.
const initialCapacity = 8

// initLocked fills in the defaults. The caller must hold q.mu.
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

// SetCapacity sets how many requests may run at once. Items that can no longer end in
// time are refused.
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

// Submit adds a new item. The first result is the action on that item, the second those
// on others.
func (q *Queue) Submit(now time.Time, it Item) (Action, []Action) {
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

// infeasibleAdmitInterval: one in this many requests that seem to have too little time
// left, by the estimated service time, is admitted if there is capacity, so that the
// estimate can be corrected.
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

// Finish ends a running item that completed, and updates the service time estimate.
func (q *Queue) Finish(now time.Time, id uint64) []Action { return q.end(now, id, true) }

// Cancel removes a waiting or running item and frees its slot: its caller disconnected,
// or it did not run after all. The service time estimate does not change.
func (q *Queue) Cancel(now time.Time, id uint64) []Action { return q.end(now, id, false) }

// Requeue queues a started item again that did not run because the targets had no
// capacity. It is first among the items of its workspace and priority. The result
// includes its own action: it may start again immediately or be refused.
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
	// The targets had less capacity than assumed. Without this the next item would
	// start immediately, be refused too, and so on until the next SetCapacity.
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

// Tick refuses items that can no longer end in time. It should be called about ten
// times a second, and at the time that Next returns.
func (q *Queue) Tick(now time.Time) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initLocked()
	q.refuseLate(now)
	q.dispatch(now)

	return q.takeActions()
}

// Next returns when the next waiting item can no longer end in time; zero for none.
func (q *Queue) Next() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()

	if len(q.expiring) == 0 {
		return time.Time{}
	}

	return q.expiring[0].latestUsefulStart
}

// State returns the state of the queue for a dump.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()

	return State{
		Capacity: q.capacity, Running: q.running, Waiting: q.waiting,
		Workspaces: len(q.flows), Service: time.Duration(q.serviceTime.mean),
	}
}
