package fairness

import (
	"time"

	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// wait estimates how long a new item of f waits behind that much work of its
// own workspace: until the fair queueing clock reaches its virtual start, but
// no longer than that work and all that waits of the others take.
func (q *Queue) wait(now time.Time, f *flow, ahead float64) time.Duration {
	slots := q.slots(now)
	if slots == 0 {
		return q.Settings.LongestRetry
	}

	weights := q.weights
	if f.index < 0 {
		weights += f.weight
	}

	due := max(f.start, q.virtual) + ahead/f.weight - q.virtual
	all := ahead + q.work - f.workAhead(0)
	wait := min(due*weights, all) / slots
	// The next slot frees after a share of one usual request.
	wait += q.service.mean / slots

	return time.Duration(wait)
}

// slots is the capacity that estimates go by. Without any, as at the start or
// while all targets restart, the last one is expected back, for a short time.
func (q *Queue) slots(now time.Time) float64 {
	switch {
	case q.capacity > 0:
		return float64(q.capacity)
	case q.emptySince.IsZero() || now.Sub(q.emptySince) < q.Settings.EmptyFor:
		return float64(q.lastCapacity)
	default:
		return 0
	}
}

// late reports whether an item behind that much work would end after its
// deadline, and by how much, if the wait were that many times the estimate.
func (q *Queue) late(now time.Time, e *entry, ahead, times float64) (time.Duration, bool) {
	if e.latestStart.IsZero() {
		return 0, false
	}

	wait := time.Duration(times * float64(q.wait(now, e.flow, ahead)))
	excess := now.Add(wait).Sub(e.latestStart)

	return excess, excess > 0
}

// emptyRetry is the shortest time after which callers come back while nothing
// has room at all: nobody can tell when that ends.
const emptyRetry = 5 * time.Second

// refusal gives e up; the caller may retry when what is in its way has gone.
// Callers refused together come back spread over half that time again.
func (q *Queue) refusal(now time.Time, e *entry, excess time.Duration) Action {
	pause := min(max(excess, q.Settings.ShortestRetry), q.Settings.LongestRetry)
	if q.slots(now) == 0 {
		pause = emptyRetry
	}

	pause += time.Duration(q.Rand.Float64() * float64(pause) / 2)

	return Action{ID: e.ID, Kind: Refuse, Cause: verdict.CauseOverload, RetryAt: now.Add(pause)}
}

// refuse gives a waiting item up.
func (q *Queue) refuse(now time.Time, e *entry, excess time.Duration) {
	q.dequeue(e)
	delete(q.entries, e.ID)
	q.actions = append(q.actions, q.refusal(now, e, excess))
	q.forget(e.flow)
}

// expire refuses what can no longer end in time even if it started now. A
// hopeless item that is kept makes those behind it hopeless too: under twice
// the load all would be answered just too late.
func (q *Queue) expire(now time.Time) {
	for len(q.expiring) > 0 && now.After(q.expiring[0].latestStart) {
		e := q.expiring[0]
		q.refuse(now, e, q.wait(now, e.flow, 0))
	}
}

// recheck refuses what the present rate cannot reach in time: after a loss of
// capacity its callers hear so now, not at their deadline.
func (q *Queue) recheck(now time.Time) {
	q.expire(now)

	flows := append([]*flow(nil), q.backlog...)
	for _, f := range flows {
		q.recheckFlow(now, f)
	}
}

func (q *Queue) recheckFlow(now time.Time, f *flow) {
	ahead := 0.0

	for l := levels - 1; l >= 0; l-- {
		for e := f.lines[l].first; e != nil; {
			next := e.next
			if excess, late := q.late(now, e, ahead, 1); late {
				q.refuse(now, e, excess)
			} else {
				ahead += e.work
			}

			e = next
		}
	}
}

// makePlace makes room for one more item of f in a full queue, by giving up
// the last item of a workspace that has more waiting for its weight. A flood
// of one workspace then costs the others no place.
func (q *Queue) makePlace(now time.Time, f *flow) bool {
	if q.waiting < q.Settings.Most {
		return true
	}

	longest := q.longest()
	if longest == nil || float64(longest.waiting)/longest.weight <= float64(f.waiting+1)/f.weight {
		return false
	}

	q.refuse(now, longest.tail(), q.wait(now, longest, longest.workAhead(0)))

	return true
}

// looks is how many flows are compared for the longest one.
const looks = 16

// longest returns the flow with most waiting for its weight among a few taken at random.
func (q *Queue) longest() *flow {
	var found *flow

	for range min(looks, len(q.backlog)) {
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
		q.sweep(now)
		f = &flow{name: it.Workspace, index: -1, start: q.virtual, weight: 1}
		q.flows[it.Workspace] = f
	}

	if w := float64(max(it.Weight, 1)); w != f.weight {
		if f.index >= 0 {
			q.weights += w - f.weight
		}

		f.weight = w
	}

	return f
}

// forget drops a flow that neither waits nor runs nor owes anything.
func (q *Queue) forget(f *flow) {
	if f.waiting == 0 && f.running == 0 && f.start <= q.virtual {
		delete(q.flows, f.name)
	}
}

// debtLife is how long what an idle workspace has used ahead is held against it.
const debtLife = 10 * time.Second

// sweep forgets idle flows now and then, so that memory follows the workspaces
// in use and not all that were ever seen. What one used ahead is owed to others
// that wait, for a while; while none waits it is owed to nobody.
func (q *Queue) sweep(now time.Time) {
	if len(q.flows) <= q.sweepAt {
		return
	}

	for name, f := range q.flows {
		settled := q.waiting == 0 || f.start <= q.virtual || now.Sub(f.usedAt) > debtLife
		if f.waiting == 0 && f.running == 0 && settled {
			delete(q.flows, name)
		}
	}

	q.sweepAt = 2*len(q.flows) + 64
}
