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
	lastCapacity int
	emptySince   time.Time
	// virtual is the fair queueing clock: work per weight given to the flow served last.
	virtual float64
	// weights is the sum of the weights of the flows that wait.
	weights float64
	// work is the sum of the work that waits.
	work    float64
	waiting int

	flows    map[string]*flow
	entries  map[uint64]*entry
	backlog  flowHeap
	expiring expiryHeap
	service  service
	sweepAt  int
	hopeless int
	actions  []Action
}

// firstCapacity is what is expected before the first SetCapacity.
const firstCapacity = 8

// start fills in the defaults. It needs the lock.
func (q *Queue) start() {
	if q.ready {
		return
	}

	q.ready = true
	q.Settings = q.Settings.withDefaults()
	q.flows = map[string]*flow{}
	q.entries = map[uint64]*entry{}
	q.lastCapacity = firstCapacity
	q.service.mean = float64(q.Settings.Service)
	q.service.deviation = q.service.mean / 2
}

// SetCapacity says how many requests may run at once. What can no longer end in
// time is refused at once.
func (q *Queue) SetCapacity(now time.Time, n int) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.start()

	less := n < q.capacity
	q.capacity = n

	switch {
	case n > 0:
		q.lastCapacity, q.emptySince = n, time.Time{}
	case q.emptySince.IsZero():
		q.emptySince = now
	}

	if less {
		q.recheck(now)
	}

	q.dispatch(now)

	return q.taken()
}

// Offer brings in a new item. The first action is its own; others follow.
func (q *Queue) Offer(now time.Time, it Item) (Action, []Action) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.start()

	e := q.newEntry(it)
	f := q.flowOf(now, &e.Item)
	e.flow = f

	if q.running < q.capacity && q.waiting == 0 {
		return q.startOrRefuse(now, e), nil
	}

	if excess, late := q.late(now, e, f.workAhead(e.level), q.Settings.Reserve); late {
		q.forget(f)

		return q.refusal(now, e, excess), nil
	}

	if f.waiting >= q.Settings.MostOfOne || !q.makePlace(now, f) {
		q.forget(f)

		return q.refusal(now, e, q.wait(now, f, f.workAhead(0))), nil
	}

	q.enqueue(e, false)
	q.dispatch(now)

	if e.running {
		return Action{ID: it.ID, Kind: Start}, q.without(it.ID)
	}

	return Action{ID: it.ID, Kind: Wait}, q.taken()
}

// tryOneIn: of the requests that are too short of time by what others took, one
// in so many is let in where there is room, so that the estimate can be corrected.
const tryOneIn = 16

// startOrRefuse decides about an item that need not wait.
func (q *Queue) startOrRefuse(now time.Time, e *entry) Action {
	if !e.Deadline.IsZero() && now.Add(q.service.needs(e.Cost, -1)).After(e.Deadline) {
		q.hopeless++

		if !now.Before(e.Deadline) || q.hopeless%tryOneIn != 0 {
			q.forget(e.flow)

			return q.refusal(now, e, 0)
		}
	}

	q.run(now, e)

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
	q.start()

	e := q.entries[id]
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
	q.charge(f, f.start-e.work/f.weight)
	q.enqueue(e, true)

	if excess, late := q.late(now, e, 0, 1); late {
		q.refuse(now, e, excess)
	}

	q.dispatch(now)

	return q.taken()
}

func (q *Queue) end(now time.Time, id uint64, whole bool) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.start()

	e := q.entries[id]
	if e == nil {
		return nil
	}

	if e.running {
		q.stop(now, e, whole)
	} else {
		q.dequeue(e)
		delete(q.entries, id)
		q.forget(e.flow)
	}

	q.dispatch(now)

	return q.taken()
}

// Tick refuses what can no longer end in time. A shell calls it some ten times
// a second, and at the time that Next returns.
func (q *Queue) Tick(now time.Time) []Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.start()
	q.recheck(now)
	q.dispatch(now)

	return q.taken()
}

// Next returns when the next waiting item becomes hopeless; zero for none.
func (q *Queue) Next() time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()

	if len(q.expiring) == 0 {
		return time.Time{}
	}

	return q.expiring[0].latestStart
}

// State returns the queue's state.
func (q *Queue) State() State {
	q.mu.Lock()
	defer q.mu.Unlock()

	return State{
		Capacity: q.capacity, Running: q.running, Waiting: q.waiting,
		Workspaces: len(q.flows), Service: time.Duration(q.service.mean),
	}
}
