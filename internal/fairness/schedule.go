package fairness

import (
	"container/heap"
	"time"
)

// takeActions returns and clears the pending actions. The caller must hold q.mu.
func (q *Queue) takeActions() []Action {
	a := q.actions
	q.actions = nil

	return a
}

// takeActionsExcept is like takeActions but leaves out the action on one item.
func (q *Queue) takeActionsExcept(id uint64) []Action {
	all := q.takeActions()
	kept := all[:0]

	for _, a := range all {
		if a.ID != id {
			kept = append(kept, a)
		}
	}

	return kept
}

func (q *Queue) newItemState(it Item) *itemState {
	if it.Cost <= 0 {
		it.Cost = 1
	}

	e := &itemState{Item: it, level: levelOf(it.Priority), expiryIndex: -1}
	e.work = q.serviceTime.expected(it.Cost)

	if !it.Deadline.IsZero() {
		e.latestUsefulStart = it.Deadline.Add(-q.serviceTime.required(it.Cost, q.Settings.DeadlineMargin))
	}

	return e
}

// enqueue adds e to the back of its FIFO, or to the front.
func (q *Queue) enqueue(e *itemState, front bool) {
	f := e.flow
	if front {
		f.fifos[e.level].pushFront(e)
	} else {
		f.fifos[e.level].pushBack(e)
	}

	f.waiting++
	q.waiting++
	q.waitingWork += e.work
	q.items[e.ID] = e

	if !e.latestUsefulStart.IsZero() {
		heap.Push(&q.expiring, e)
	}

	if f.heapIndex < 0 {
		f.virtualStart = max(f.virtualStart, q.virtualTime)
		q.waitingWeight += f.weight
		heap.Push(&q.backlog, f)
	}
}

// dequeue removes e from its FIFO.
func (q *Queue) dequeue(e *itemState) {
	f := e.flow
	f.fifos[e.level].remove(e)
	f.waiting--
	q.waiting--
	q.waitingWork -= e.work

	if e.expiryIndex >= 0 {
		heap.Remove(&q.expiring, e.expiryIndex)
	}

	if f.waiting == 0 {
		heap.Remove(&q.backlog, f.heapIndex)
		q.waitingWeight -= f.weight
	}

	if q.waiting == 0 {
		q.waitingWork, q.waitingWeight = 0, 0
	}
}

// dispatch starts waiting items while there is capacity.
func (q *Queue) dispatch(now time.Time) {
	q.expire(now)

	for q.running < q.capacity && len(q.backlog) > 0 {
		f := q.backlog[0]
		e := f.head()
		q.virtualTime = max(q.virtualTime, f.virtualStart)
		q.dequeue(e)
		q.startItem(now, e)
		q.actions = append(q.actions, Action{ID: e.ID, Kind: Start})
	}
}

// startItem starts e and charges the expected work to its flow.
func (q *Queue) startItem(now time.Time, e *itemState) {
	f := e.flow
	e.running = true
	e.startedAt = now
	q.running++
	f.running++
	q.items[e.ID] = e
	q.virtualTime = max(f.virtualStart, q.virtualTime)
	q.setVirtualStart(f, q.virtualTime+e.work/f.weight)
}

// setVirtualStart changes a flow's virtual start and its position in the heap.
func (q *Queue) setVirtualStart(f *flow, start float64) {
	f.virtualStart = start
	if f.heapIndex >= 0 {
		heap.Fix(&q.backlog, f.heapIndex)
	}
}

// finishItem ends a running item and corrects its flow's charge to the work done.
func (q *Queue) finishItem(now time.Time, e *itemState, completed bool) {
	f := e.flow
	duration := now.Sub(e.startedAt)
	q.running--
	f.running--
	f.lastEndedAt = now
	delete(q.items, e.ID)

	if completed {
		q.serviceTime.record(duration, e.Cost)
	}

	q.setVirtualStart(f, f.virtualStart+(float64(duration)-e.work)/f.weight)
	q.dropIfIdle(f)
}
