package lockstep

import "time"

// stepClock tells which step of a group begins when, by the steps that were seen to
// have begun.
//
// A switch holds its step until all ranks are armed. Where that takes longer than until
// the step would have begun, the wait makes every stream of the group late, so the step
// must be one that leaves enough time.
type stepClock struct {
	step      uint64
	startedAt time.Time
	length    time.Duration
}

// maxStepLength bounds how long a step is thought to take: what took longer was held, or
// the group was idle.
const maxStepLength = 250 * time.Millisecond

// observe takes in that step was the last one begun at now.
func (c *stepClock) observe(now time.Time, step uint64) {
	if step == c.step {
		return
	}

	if c.step != 0 && step > c.step {
		c.length = min(now.Sub(c.startedAt)/time.Duration(step-c.step), maxStepLength)
	}

	c.step, c.startedAt = step, now
}

// firstStepAfter returns the first step that begins at from or later, as far as can be told. It
// is never one that may have begun at now.
func (c *stepClock) firstStepAfter(now, earliest time.Time) uint64 {
	length := max(c.length, minStepLength)

	next := c.startedAt.Add(length)
	if next.Before(now) {
		// It is overdue: it may begin at any moment.
		next = now
	}

	step := c.step + 1

	for next.Before(earliest) {
		next = next.Add(length)
		step++
	}

	return step
}
