package fairness

import (
	"container/heap"
	"time"
)

// taken returns the actions gathered for others. It needs the lock.
func (q *Queue) taken() []Action {
	a := q.actions
	q.actions = nil

	return a
}

// without returns the actions gathered, but for that of one item.
func (q *Queue) without(id uint64) []Action {
	all := q.taken()
	kept := all[:0]

	for _, a := range all {
		if a.ID != id {
			kept = append(kept, a)
		}
	}

	return kept
}

func (q *Queue) newEntry(it Item) *entry {
	if it.Cost <= 0 {
		it.Cost = 1
	}

	e := &entry{Item: it, level: levelOf(it.Priority), expiryIndex: -1}
	e.work = q.service.work(it.Cost)

	if !it.Deadline.IsZero() {
		e.latestStart = it.Deadline.Add(-q.service.needs(it.Cost, q.Settings.Margin))
	}

	return e
}

// enqueue puts e at the end of its line, or first.
func (q *Queue) enqueue(e *entry, first bool) {
	f := e.flow
	if first {
		f.lines[e.level].pushFirst(e)
	} else {
		f.lines[e.level].push(e)
	}

	f.waiting++
	q.waiting++
	q.work += e.work
	q.entries[e.ID] = e

	if !e.latestStart.IsZero() {
		heap.Push(&q.expiring, e)
	}

	if f.index < 0 {
		f.start = max(f.start, q.virtual)
		q.weights += f.weight
		heap.Push(&q.backlog, f)
	}
}

// dequeue takes e out of its line.
func (q *Queue) dequeue(e *entry) {
	f := e.flow
	f.lines[e.level].remove(e)
	f.waiting--
	q.waiting--
	q.work -= e.work

	if e.expiryIndex >= 0 {
		heap.Remove(&q.expiring, e.expiryIndex)
	}

	if f.waiting == 0 {
		heap.Remove(&q.backlog, f.index)
		q.weights -= f.weight
	}

	if q.waiting == 0 {
		q.work, q.weights = 0, 0
	}
}

// dispatch starts what there is room for.
func (q *Queue) dispatch(now time.Time) {
	q.expire(now)

	for q.running < q.capacity && len(q.backlog) > 0 {
		f := q.backlog[0]
		e := f.head()
		q.virtual = max(q.virtual, f.start)
		q.dequeue(e)
		q.run(now, e)
		q.actions = append(q.actions, Action{ID: e.ID, Kind: Start})
	}
}

// run starts e and charges its flow with the work expected.
func (q *Queue) run(now time.Time, e *entry) {
	f := e.flow
	e.running = true
	e.startedAt = now
	q.running++
	f.running++
	q.entries[e.ID] = e
	q.virtual = max(f.start, q.virtual)
	q.charge(f, q.virtual+e.work/f.weight)
}

// charge moves a flow's virtual time.
func (q *Queue) charge(f *flow, start float64) {
	f.start = start
	if f.index >= 0 {
		heap.Fix(&q.backlog, f.index)
	}
}

// stop ends a running item and corrects its flow's charge to the work done.
func (q *Queue) stop(now time.Time, e *entry, whole bool) {
	f := e.flow
	took := now.Sub(e.startedAt)
	q.running--
	f.running--
	f.usedAt = now
	delete(q.entries, e.ID)

	if whole {
		q.service.learn(took, e.Cost)
	}

	q.charge(f, f.start+(float64(took)-e.work)/f.weight)
	q.forget(f)
}
