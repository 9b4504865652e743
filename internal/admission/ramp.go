package admission

import "time"

// limitIncrement is how much one completed request adds to the limit of a ramping
// target. As in TCP slow start, the limit doubles within the duration of a request.
const limitIncrement = 1.0

// ramp controls the limit on requests in flight, between the cold and the warm limit.
//
// It guards against a cold target that is overloaded by the full load of a warm one.
// Whenever the target appears to be cold, the limit drops to its floor. It then grows
// only on requests that were admitted after the drop and that completed at normal
// speed while at least half of the limit was in use. It at most doubles in each
// interval, however short the requests are.
type ramp struct {
	floor   float64
	ceiling float64
	limit   float64
	// epoch counts the resets. Requests admitted before the last reset do not raise
	// the limit.
	epoch uint64
	// engineCold is set while the engine itself reports that it is cold.
	engineCold  bool
	windowEnd   time.Time
	windowLimit float64
	baseline    firstTokenBaseline
}

// setBounds sets floor and ceiling, and reports whether the floor is lower than before.
// Without a warm limit and a capacity, one request is admitted at a time.
func (r *ramp) setBounds(cold, warm, capacity uint32) bool {
	ceiling := warm
	if capacity > 0 && (ceiling == 0 || capacity < ceiling) {
		ceiling = capacity
	}

	floor := max(cold, 1)
	ceiling = max(ceiling, 1)
	floor = min(floor, ceiling)
	lowered := float64(floor) < r.floor
	r.floor = float64(floor)
	r.ceiling = float64(ceiling)
	r.limit = min(max(r.limit, r.floor), r.ceiling)

	return lowered
}

// ramping reports whether the target has not reached its warm limit yet.
func (r *ramp) ramping() bool { return r.engineCold || r.limit < r.ceiling }

// current returns the limit as a whole number of requests.
func (r *ramp) current() int {
	if r.engineCold {
		return int(r.floor)
	}

	return int(r.limit)
}

// reset drops the limit to its floor.
func (r *ramp) reset(now time.Time, interval time.Duration) {
	r.epoch++
	r.limit = r.floor
	r.windowLimit = r.floor
	r.windowEnd = now.Add(interval)
	r.baseline.slowStreak = 0
}

// completed raises the limit after a complete answer to a. inFlight still includes a.
func (r *ramp) completed(now time.Time, a *attempt, inFlight int, interval time.Duration) {
	if r.engineCold || a.slow || a.epoch != r.epoch || 2*inFlight < r.current() {
		return
	}

	if !now.Before(r.windowEnd) {
		r.windowEnd = now.Add(interval)
		r.windowLimit = 2 * r.limit
	}

	r.limit = max(r.limit, min(r.limit+limitIncrement, r.windowLimit, r.ceiling))
}
