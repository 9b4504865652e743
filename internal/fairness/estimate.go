package fairness

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// estimateWait estimates how long a new item of f waits behind the given work of its
// workspace: until the virtual time reaches the item's virtual start, but no longer
// than that work and all waiting work of other workspaces take.
func (q *Queue) estimateWait(now time.Time, f *flow, ahead float64) time.Duration {
	slots := q.expectedSlots(now)
	if slots == 0 {
		return q.Settings.MaxRetryAfter
	}

	weights := q.waitingWeight
	if f.heapIndex < 0 {
		weights += f.weight
	}

	startsAt := max(f.virtualStart, q.virtualTime) + ahead/f.weight - q.virtualTime
	totalWork := ahead + q.waitingWork - f.workAhead(0)
	wait := min(startsAt*weights, totalWork) / slots
	// The next slot becomes free after a fraction of the mean service time.
	wait += q.serviceTime.mean / slots

	return time.Duration(wait)
}

// expectedSlots returns the capacity used for estimates. If the capacity is 0, as at
// startup or while all targets restart, the last one above 0 is expected to return
// within ZeroCapacityGrace.
func (q *Queue) expectedSlots(now time.Time) float64 {
	switch {
	case q.capacity > 0:
		return float64(q.capacity)
	case q.zeroCapacitySince.IsZero() || now.Sub(q.zeroCapacitySince) < q.Settings.ZeroCapacityGrace:
		return float64(q.lastCapacity)
	default:
		return 0
	}
}

// lateness reports whether an item behind the given work would end after its deadline,
// and by how much, if the wait were factor times the estimate.
func (q *Queue) lateness(now time.Time, e *itemState, ahead, factor float64) (time.Duration, bool) {
	if e.latestUsefulStart.IsZero() {
		return 0, false
	}

	wait := time.Duration(factor * float64(q.estimateWait(now, e.flow, ahead)))
	excess := now.Add(wait).Sub(e.latestUsefulStart)

	return excess, excess > 0
}

// zeroCapacityRetryAfter is the minimum retry delay while there is no capacity at all,
// because the end of that state can't be estimated.
const zeroCapacityRetryAfter = 5 * time.Second

// refusal returns a refusal of e with the time after which a retry may succeed. Up to
// half of the delay is added at random, to spread the retries of callers that are
// refused together.
func (q *Queue) refusal(now time.Time, e *itemState, excess time.Duration) Action {
	delay := min(max(excess, q.Settings.MinRetryAfter), q.Settings.MaxRetryAfter)
	if q.expectedSlots(now) == 0 {
		delay = zeroCapacityRetryAfter
	}

	delay += time.Duration(q.Rand.Float64() * float64(delay) / 2)

	return Action{ID: e.ID, Kind: Refuse, Cause: verdict.CauseOverload, RetryAt: now.Add(delay)}
}

// refuse removes a waiting item from the queue and refuses it.
func (q *Queue) refuse(now time.Time, e *itemState, excess time.Duration) {
	q.dequeue(e)
	delete(q.items, e.ID)
	q.actions = append(q.actions, q.refusal(now, e, excess))
	q.dropIfIdle(e.flow)
}

// expire refuses items that would miss their deadline even if they started now. Keeping
// such an item would make those behind it late too: at a load of twice the
// capacity all requests would be answered just too late.
func (q *Queue) expire(now time.Time) {
	for len(q.expiring) > 0 && now.After(q.expiring[0].latestUsefulStart) {
		e := q.expiring[0]
		q.refuse(now, e, q.estimateWait(now, e.flow, 0))
	}
}

// refuseLate refuses items that can't start in time at the current rate. After a loss
// of capacity callers get the refusal now instead of at their deadline.
func (q *Queue) refuseLate(now time.Time) {
	q.expire(now)

	flows := append([]*flow(nil), q.backlog...)
	for _, f := range flows {
		q.refuseLateOfFlow(now, f)
	}
}

func (q *Queue) refuseLateOfFlow(now time.Time, f *flow) {
	ahead := 0.0

	for l := priorityLevels - 1; l >= 0; l-- {
		for e := f.fifos[l].first; e != nil; {
			next := e.next
			if excess, late := q.lateness(now, e, ahead, 1); late {
				q.refuse(now, e, excess)
			} else {
				ahead += e.work
			}

			e = next
		}
	}
}

// makeSpace makes space for one more item of f in a full queue, by refusing the last
// item of a workspace that has more items waiting relative to its weight. A workspace
// that floods the queue then takes no space from the others.
func (q *Queue) makeSpace(now time.Time, f *flow) bool {
	if q.waiting < q.Settings.MaxWaiting {
		return true
	}

	longest := q.sampleLongest()
	if longest == nil || float64(longest.waiting)/longest.weight <= float64(f.waiting+1)/f.weight {
		return false
	}

	q.refuse(now, longest.tail(), q.estimateWait(now, longest, longest.workAhead(0)))

	return true
}

// longestFlowSamples is how many flows are compared to find the longest one.
const longestFlowSamples = 16

// sampleLongest returns, of some flows taken at random, the one with most items waiting
// relative to its weight.
func (q *Queue) sampleLongest() *flow {
	var found *flow

	for range min(longestFlowSamples, len(q.backlog)) {
		f := q.backlog[q.Rand.IntN(len(q.backlog))]
		if found == nil || float64(f.waiting)/f.weight > float64(found.waiting)/found.weight {
			found = f
		}
	}

	return found
}

// flowOf returns the flow of the item's workspace, and creates it if needed.
func (q *Queue) flowOf(now time.Time, it *Item) *flow {
	f := q.flows[it.Workspace]
	if f == nil {
		q.dropIdleFlows(now)
		f = &flow{name: it.Workspace, heapIndex: -1, virtualStart: q.virtualTime, weight: 1}
		q.flows[it.Workspace] = f
	}

	if w := float64(max(it.Weight, 1)); w != f.weight {
		if f.heapIndex >= 0 {
			q.waitingWeight += w - f.weight
		}

		f.weight = w
	}

	return f
}

// dropIfIdle drops a flow that has no waiting or running items and has used no more
// than its share.
func (q *Queue) dropIfIdle(f *flow) {
	if f.waiting == 0 && f.running == 0 && f.virtualStart <= q.virtualTime {
		delete(q.flows, f.name)
	}
}

// debtTTL is how long usage ahead of its share counts against an idle workspace.
const debtTTL = 10 * time.Second

// dropIdleFlows drops idle flows from time to time, so that memory is bounded by the
// workspaces in use instead of all ever seen. A flow that used more than its share is
// kept for debtTTL while other items wait, and dropped if none do.
func (q *Queue) dropIdleFlows(now time.Time) {
	if len(q.flows) <= q.sweepThreshold {
		return
	}

	for name, f := range q.flows {
		noDebt := q.waiting == 0 || f.virtualStart <= q.virtualTime || now.Sub(f.lastEndedAt) > debtTTL
		if f.waiting == 0 && f.running == 0 && noDebt {
			delete(q.flows, name)
		}
	}

	q.sweepThreshold = 2*len(q.flows) + 64
}
