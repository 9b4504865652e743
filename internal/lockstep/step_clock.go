package lockstep

import "time"

// stepClock predicts when the steps of a group begin, from the steps that were observed.
//
// A switch holds its step until all ranks are armed. If that takes longer than until the step
// is due, the wait delays every stream of the group, so the step must be far enough ahead.
type stepClock struct {
	step      uint64
	startedAt time.Time
	length    time.Duration
}

// maxStepLength bounds the estimated duration of a step. An interval above that means that a
// step was held or the group was idle.
const maxStepLength = 250 * time.Millisecond

// observe records that step was the last one begun as of now.
func (c *stepClock) observe(now time.Time, step uint64) {
	if step == c.step {
		return
	}

	if c.step != 0 && step > c.step {
		c.length = min(now.Sub(c.startedAt)/time.Duration(step-c.step), maxStepLength)
	}

	c.step, c.startedAt = step, now
}

// firstStepAfter returns the first step that is expected to begin at or after earliest. It
// never returns a step that may have begun by now.
func (c *stepClock) firstStepAfter(now, earliest time.Time) uint64 {
	length := max(c.length, minStepLength)

	next := c.startedAt.Add(length)
	if next.Before(now) {
		// The next step is overdue and may begin at any moment.
		next = now
	}

	step := c.step + 1

	for next.Before(earliest) {
		next = next.Add(length)
		step++
	}

	return step
}
