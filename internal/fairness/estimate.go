package fairness

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// estimateWait estimates how long a new item of f waits behind that much work of its
// own workspace: until the fair queueing clock reaches its virtual start, but
// no longer than that work and all that waits of the others take.
func (q *Queue) estimateWait(now time.Time, f *flow, ahead float64) time.Duration {
	slots := q.expectedSlots(now)
	if slots == 0 {
		return q.Settings.MaxRetryDelay
	}

	weights := q.waitingWeight
	if f.heapIndex < 0 {
		weights += f.weight
	}

	startsAt := max(f.virtualStart, q.virtualTime) + ahead/f.weight - q.virtualTime
	totalWork := ahead + q.waitingWork - f.workAhead(0)
	wait := min(startsAt*weights, totalWork) / slots
	// The next slot frees after a share of one usual request.
	wait += q.serviceTime.mean / slots

	return time.Duration(wait)
}

// expectedSlots is the capacity that estimates go by. Without any, as at the start or
// while all targets restart, the last one is expected back, for a short time.
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

// lateness reports whether an item behind that much work would end after its
// deadline, and by how much, if the wait were that many times the estimate.
func (q *Queue) lateness(now time.Time, e *itemState, ahead, factor float64) (time.Duration, bool) {
	if e.latestUsefulStart.IsZero() {
		return 0, false
	}

	wait := time.Duration(factor * float64(q.estimateWait(now, e.flow, ahead)))
	excess := now.Add(wait).Sub(e.latestUsefulStart)

	return excess, excess > 0
}

// zeroCapacityRetryDelay is the shortest time after which callers come back while nothing
// has room at all: nobody can tell when that ends.
const zeroCapacityRetryDelay = 5 * time.Second

// refusal gives e up; the caller may retry when what is in its way has gone.
// Callers refused together come back spread over half that time again.
func (q *Queue) refusal(now time.Time, e *itemState, excess time.Duration) Action {
	delay := min(max(excess, q.Settings.MinRetryDelay), q.Settings.MaxRetryDelay)
	if q.expectedSlots(now) == 0 {
		delay = zeroCapacityRetryDelay
	}

	delay += time.Duration(q.Rand.Float64() * float64(delay) / 2)

	return Action{ID: e.ID, Kind: Refuse, Cause: verdict.CauseOverload, RetryAt: now.Add(delay)}
}

// refuse gives a waiting item up.
func (q *Queue) refuse(now time.Time, e *itemState, excess time.Duration) {
	q.dequeue(e)
	delete(q.items, e.ID)
	q.actions = append(q.actions, q.refusal(now, e, excess))
	q.dropIfIdle(e.flow)
}

// expire refuses what can no longer end in time even if it started now. A
// hopeless item that is kept makes those behind it hopeless too: under twice
// the load all would be answered just too late.
func (q *Queue) expire(now time.Time) {
	for len(q.expiring) > 0 && now.After(q.expiring[0].latestUsefulStart) {
		e := q.expiring[0]
		q.refuse(now, e, q.estimateWait(now, e.flow, 0))
	}
}

// refuseLate refuses what the present rate cannot reach in time: after a loss of
// capacity its callers hear so now, not at their deadline.
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

// makeSpace makes room for one more item of f in a full queue, by giving up
// the last item of a workspace that has more waiting for its weight. A flood
// of one workspace then costs the others no place.
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

// longestFlowSamples is how many flows are compared for the longest one.
const longestFlowSamples = 16

// sampleLongest returns the flow with most waiting for its weight among a few taken at random.
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

// flowOf returns the item's flow, made when it has none.
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

// dropIfIdle drops a flow that neither waits nor runs nor owes anything.
func (q *Queue) dropIfIdle(f *flow) {
	if f.waiting == 0 && f.running == 0 && f.virtualStart <= q.virtualTime {
		delete(q.flows, f.name)
	}
}

// debtTTL is how long what an idle workspace has used ahead is held against it.
const debtTTL = 10 * time.Second

// dropIdleFlows forgets idle flows now and then, so that memory follows the workspaces
// in use and not all that were ever seen. What one used ahead is owed to others
// that wait, for a while; while none waits it is owed to nobody.
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
