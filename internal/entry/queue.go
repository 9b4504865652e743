package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/fairness"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// queue connects the fairness queue of a service with the goroutines of waiting
// requests.
type queue struct {
	core *fairness.Queue

	mu      sync.Mutex
	waiting map[uint64]chan fairness.Action
}

func (e *Entry) queue(service string) *queue {
	e.mu.Lock()
	defer e.mu.Unlock()

	if q := e.queues[service]; q != nil {
		return q
	}

	if e.queues == nil {
		e.queues = make(map[string]*queue)
	}

	q := &queue{
		core:    &fairness.Queue{Rand: e.newRand(uint64(len(e.queues)) + 1)},
		waiting: make(map[uint64]chan fairness.Action),
	}
	q.core.SetCapacity(time.Now(), e.Chooser.Capacity(time.Now(), service).Slots)
	e.queues[service] = q

	return q
}

// setCapacity updates the queue's capacity and starts waiting requests that now fit.
func (q *queue) setCapacity(now time.Time, capacity routing.Capacity) {
	q.deliver(q.core.SetCapacity(now, capacity.Slots))
}

func (e *Entry) tickQueues(now time.Time) {
	e.mu.Lock()
	queues := maps.Clone(e.queues)
	e.mu.Unlock()

	for name, q := range queues {
		if q.core.State().Waiting > 0 {
			e.Chooser.RecordDemand(now, name)
		}

		q.setCapacity(now, e.Chooser.Capacity(now, name))
		q.deliver(q.core.Tick(now))
	}
}

// QueueState is the state of one service's queue, for dumps.
type QueueState struct {
	Service string
	State   fairness.State
}

// Queues returns the state of each service's queue, sorted by name.
func (e *Entry) Queues() []QueueState {
	e.mu.Lock()
	defer e.mu.Unlock()

	var out []QueueState
	for _, name := range slices.Sorted(maps.Keys(e.queues)) {
		out = append(out, QueueState{Service: name, State: e.queues[name].core.State()})
	}

	return out
}

// enqueue adds an item and waits for its turn. It returns a refusal if the queue
// refuses the item or ctx ends first.
func (q *queue) enqueue(ctx context.Context, item fairness.Item) *verdict.Error {
	turn := make(chan fairness.Action, 1)

	q.mu.Lock()
	q.waiting[item.ID] = turn
	q.mu.Unlock()

	action, others := q.core.Submit(time.Now(), item)
	if action.Kind != fairness.Wait {
		others = append(others, action)
	}

	q.deliver(others)

	return q.awaitTurn(ctx, item.ID, turn)
}

// requeue waits for another turn of an item for which no target had capacity.
func (q *queue) requeue(ctx context.Context, id uint64) *verdict.Error {
	turn := make(chan fairness.Action, 1)

	q.mu.Lock()
	q.waiting[id] = turn
	q.mu.Unlock()

	q.deliver(q.core.Requeue(time.Now(), id))

	return q.awaitTurn(ctx, id, turn)
}

func (q *queue) awaitTurn(ctx context.Context, id uint64, turn chan fairness.Action) *verdict.Error {
	select {
	case a := <-turn:
		return refusalIn(a)
	case <-ctx.Done():
	}

	q.mu.Lock()
	delete(q.waiting, id)
	q.mu.Unlock()
	q.release(id, false)

	return &verdict.Error{Verdict: verdict.NotRun, Cause: verdict.CauseCancelled, Err: ctx.Err()}
}

func refusalIn(a fairness.Action) *verdict.Error {
	if a.Kind == fairness.Refuse {
		return a.Refusal()
	}

	return nil
}

// release removes an item from the queue. completed is set if its request was answered.
func (q *queue) release(id uint64, completed bool) {
	if completed {
		q.deliver(q.core.Finish(time.Now(), id))

		return
	}

	q.deliver(q.core.Cancel(time.Now(), id))
}

func (q *queue) deliver(actions []fairness.Action) {
	q.mu.Lock()
	defer q.mu.Unlock()

	for _, a := range actions {
		turn, ok := q.waiting[a.ID]
		if !ok || a.Kind == fairness.Wait {
			continue
		}

		delete(q.waiting, a.ID)
		turn <- a
	}
}
