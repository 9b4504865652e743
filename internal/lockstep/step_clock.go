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

// stepLength is the usual duration of a step, over the latest polls.
type stepLength struct {
	step       uint64
	observedAt time.Time
	mean       time.Duration
}

const (
	// stepLengthWindow is the number of polls over which the duration of a step is averaged.
	stepLengthWindow = 8
	// maxLongLeadGap is the fraction of the accepted event gap up to which a step is expected to
	// remain within it, although the forecast ignores how many requests start meanwhile.
	maxLongLeadGap = 0.8
)

// observe records that step was the last one begun as of now. Intervals in which the group was
// idle or held a step are ignored.
func (l *stepLength) observe(now time.Time, step uint64) {
	if step > l.step && l.step != 0 {
		if length := now.Sub(l.observedAt) / time.Duration(step-l.step); length < maxStepLength {
			if l.mean == 0 {
				l.mean = length
			}

			l.mean += (length - l.mean) / stepLengthWindow
		}
	}

	if step != l.step {
		l.step, l.observedAt = step, now
	}
}

// staysBelow reports whether steps that take factor times as long as usual remain within the event
// gap that callers accept. It returns false if the gap or the usual duration is not known.
func (l *stepLength) staysBelow(gap time.Duration, factor float64) bool {
	return l.mean > 0 && float64(l.mean)*factor <= maxLongLeadGap*float64(gap)
}
