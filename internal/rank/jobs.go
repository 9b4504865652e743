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

// jobQueue holds the orders that have not been sent to the engine yet, in the order in
// which they were added.
type jobQueue struct {
	// notEmpty receives a value when there may be jobs.
	notEmpty chan struct{}

	mu   sync.Mutex
	jobs []*job
}

// add appends a job. A Run replaces all queued jobs, because it determines the engine's
// behaviour from then on. This bounds the queue while an engine accepts nothing, and a
// Run is dropped only for a newer one.
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

// superseded reports whether the next queued job is a Run, or is for another boot than
// j.
func (q *jobQueue) superseded(j *job) bool {
	q.mu.Lock()
	defer q.mu.Unlock()

	return len(q.jobs) > 0 && (q.jobs[0].action.Kind == expertmap.ActionRun || q.jobs[0].bootID != j.bootID)
}

// sendOrders sends the queued orders to the engine, one at a time.
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
		r.Logger.Debug("Order to the engine failed.", "group", r.Group, "error", err)
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

// handleHoldResult records the outcome of a Hold. A failed Hold may be in effect
// nevertheless, if only its answer was lost. The rank has refused the switch in this
// case, so the end of the switch releases nothing, and the group would stay held. The
// last Run is therefore sent again. This is safe because a refused switch cannot be
// committed.
func (r *Rank) handleHoldResult(ctx context.Context, now time.Time, j *job, ok bool) {
	r.perform(ctx, r.participant.Held(now, j.action.Fence, ok))

	if !ok && j.action.Step != 0 && r.lastRun != nil {
		r.jobs.add(r.newJob(*r.lastRun))
	}
}

// mustRetry reports whether an order is retried until the engine accepts it. A Run
// releases a hold; nothing else does, and an unreleased hold blocks the whole group. A
// Hold without a step stops an engine whose rank does not know which map version is in
// use.
func mustRetry(a expertmap.Action) bool {
	return a.Kind == expertmap.ActionRun || (a.Kind == expertmap.ActionHold && a.Step == 0)
}

// isCurrentBoot reports whether the engine still runs the boot that the job is for.
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
