package admission

import "time"

// growth is how much one completed request adds to the limit of a ramping target,
// so that it doubles in the time that requests take (slow start).
const growth = 1.0

// ramp holds the limit on requests in flight between the cold and the warm limit.
//
// It guards against a cold target that falls over under full load. The limit
// falls to its floor at any sign of cold, and grows only on requests that were
// admitted since then and completed at the usual speed while the limit was in
// use; it at most doubles in each interval, however short the requests are.
type ramp struct {
	floor float64
	top   float64
	limit float64
	// epoch counts the falls; work admitted before the last fall doesn't raise the limit.
	epoch uint64
	// held is set while the engine itself says that it is cold.
	held        bool
	windowEnds  time.Time
	windowLimit float64
	norm        norm
}

// bounds sets floor and top, and reports whether the floor is lower than before.
// Without a warm limit and a capacity one request is let through at a time.
func (r *ramp) bounds(cold, warm, capacity uint32) bool {
	top := warm
	if capacity > 0 && (top == 0 || capacity < top) {
		top = capacity
	}

	floor := max(cold, 1)
	top = max(top, 1)
	floor = min(floor, top)
	fell := float64(floor) < r.floor
	r.floor = float64(floor)
	r.top = float64(top)
	r.limit = min(max(r.limit, r.floor), r.top)

	return fell
}

// ramping reports whether the target isn't yet trusted with its warm limit.
func (r *ramp) ramping() bool { return r.held || r.limit < r.top }

// current is the limit in whole requests.
func (r *ramp) current() int {
	if r.held {
		return int(r.floor)
	}

	return int(r.limit)
}

// fall drops the limit to its floor.
func (r *ramp) fall(now time.Time, interval time.Duration) {
	r.epoch++
	r.limit = r.floor
	r.windowLimit = r.floor
	r.windowEnds = now.Add(interval)
	r.norm.row = 0
}

// completed takes one whole answer; inFlight counts it still.
func (r *ramp) completed(now time.Time, a *attempt, inFlight int, interval time.Duration) {
	if r.held || a.slow || a.epoch != r.epoch || 2*inFlight < r.current() {
		return
	}

	if !now.Before(r.windowEnds) {
		r.windowEnds = now.Add(interval)
		r.windowLimit = 2 * r.limit
	}

	r.limit = max(r.limit, min(r.limit+growth, r.windowLimit, r.top))
}
