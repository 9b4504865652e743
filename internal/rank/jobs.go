package rank

import (
	"context"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/expertmap"
)

// job is one order for one boot of the engine.
type job struct {
	action expertmap.Action
	bootID string
	engine *expertmap.Engine
}

// jobQueue holds the orders that the engine has yet to get, in their order.
type jobQueue struct {
	// notEmpty gets a value when there may be jobs.
	notEmpty chan struct{}

	mu   sync.Mutex
	jobs []*job
}

// add appends a job. A Run says all that the engine is to do from then on, so it
// takes the place of what waits: that bounds the queue while an engine takes
// nothing, and no Run is ever dropped.
func (q *jobQueue) add(j *job) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if j.action.Kind == expertmap.ActionRun {
		q.jobs = nil
	}

	q.jobs = append(q.jobs, j)

	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

func (q *jobQueue) pop() *job {
	q.mu.Lock()
	defer q.mu.Unlock()

	if len(q.jobs) == 0 {
		return nil
	}

	j := q.jobs[0]
	q.jobs = q.jobs[1:]

	return j
}

// superseded reports whether a Run waits behind j, or an order for another boot.
func (q *jobQueue) superseded(j *job) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return len(q.jobs) > 0 && (q.jobs[0].action.Kind == expertmap.ActionRun || q.jobs[0].bootID != j.bootID)
}

// sendOrders gives the engine its orders, one after the other.
func (r *Rank) sendOrders(ctx context.Context) {
	for {
		for j := r.jobs.pop(); j != nil && ctx.Err() == nil; j = r.jobs.pop() {
			r.sendOrder(ctx, j)
		}

		select {
		case <-ctx.Done():
			return
		case <-r.jobs.notEmpty:
		}
	}
}

func (r *Rank) sendOrder(ctx context.Context, j *job) {
	err := r.sendOnce(ctx, j)

	for err != nil && mustRetry(j.action) && ctx.Err() == nil && r.isCurrentBoot(j) && !r.jobs.superseded(j) {
		waitBeforeRetry(ctx)

		err = r.sendOnce(ctx, j)
	}

	if err != nil {
		r.Logger.Debug("order failed", "group", r.Group, "error", err)
	}

	if j.action.Kind != expertmap.ActionHold {
		return
	}

	r.postEvent(ctx, func(ctx context.Context, now time.Time) {
		if r.bootID == j.bootID {
			r.handleHoldResult(ctx, now, j, err == nil)
		}
	})
}

// handleHoldResult takes in the outcome of a hold. One that failed may stand all the same,
// where only its answer was lost. The rank has refused the switch then, so its
// end will lift nothing, and the group would be held for good: the last Run is
// given again. That is safe because a refused switch can't be committed.
func (r *Rank) handleHoldResult(ctx context.Context, now time.Time, j *job, ok bool) {
	r.perform(ctx, r.participant.Held(now, j.action.Fence, ok))

	if !ok && j.action.Step != 0 && r.lastRun != nil {
		r.jobs.add(r.newJob(*r.lastRun))
	}
}

// mustRetry names the orders that are repeated until the engine took them. A
// hold that is not lifted holds the whole group for good: nothing else lifts it.
// A hold of no step stops a rank that does not know which map rules.
func mustRetry(a expertmap.Action) bool {
	return a.Kind == expertmap.ActionRun || (a.Kind == expertmap.ActionHold && a.Step == 0)
}

// isCurrentBoot reports whether the engine's boot is still the one that the job is for.
func (r *Rank) isCurrentBoot(j *job) bool {
	s := r.engineState.Load()

	return s != nil && s.BootID == j.bootID
}

func (r *Rank) sendOnce(ctx context.Context, j *job) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return j.engine.Do(ctx, j.action)
}

func waitBeforeRetry(ctx context.Context) {
	t := time.NewTimer(retryDelay)
	defer t.Stop()

	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
