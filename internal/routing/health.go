package routing

import "time"

// The weights of one new sample in the running means of a target's health.
const (
	failureWeight = 0.2
	waitWeight    = 0.2
	// minWaitSamples is how many samples a running mean of waits needs to count.
	minWaitSamples = 5
)

// fault says why a target is set aside.
type fault uint8

const (
	faultNone fault = iota
	// faultDown: dials to it fail, or its agent says that it is gone.
	faultDown
	// faultUnresponsive: several connections in a row went silent, with no success between.
	faultUnresponsive
	// faultFailing: its answers are broken or server errors.
	faultFailing
	// faultSlow: it answers far more slowly than its peers.
	faultSlow
)

// unreachable reports whether the target can't be reached, so that setting it
// aside loses nothing, and only an answer of its agent ends that.
func (f fault) unreachable() bool { return f == faultDown || f == faultUnresponsive }

// health is what a target's recent answers say about it. A target that fails
// at once looks idle and would draw all work; a slow one holds its callers up.
// Both are set aside, and return by a few probes.
type health struct {
	// failureRatio is a running mean of answers that failed, 0 to 1.
	failureRatio               float64
	consecutiveFailures        int
	consecutiveConnectFailures int
	// meanWait is a running mean of the time to the first byte, in nanoseconds.
	meanWait    float64
	waitSamples int
	// unresponsive counts silent connections since the last success.
	unresponsive int

	ejectedFor   fault
	ejectedUntil time.Time
	ejectionTime time.Duration
	// reachable says that the target's agent was reached since it was set aside.
	reachable    bool
	probing      int
	probesPassed int
}

// recordSuccess records an answer without fault.
func (h *health) recordSuccess() {
	h.failureRatio -= failureWeight * h.failureRatio
	h.consecutiveFailures, h.consecutiveConnectFailures, h.unresponsive = 0, 0, 0
}

// recordFailure records a fault of the target.
func (h *health) recordFailure() {
	h.failureRatio += failureWeight * (1 - h.failureRatio)
	h.consecutiveFailures++
}

// recordWait records the time to a first byte. A slow target's probe counts alone:
// the mean that set it aside would take many to fall.
func (h *health) recordWait(d time.Duration) {
	h.waitSamples++
	if h.waitSamples == 1 || h.ejectedFor == faultSlow {
		h.meanWait = float64(d)

		return
	}

	h.meanWait += waitWeight * (float64(d) - h.meanWait)
}

// eject starts or lengthens the pause before the next probe. Entries that
// set a target aside together probe it at different times.
func (h *health) eject(now time.Time, reason fault, s *Settings, jitter float64) {
	h.ejectionTime = min(max(2*h.ejectionTime, s.BaseEjectionTime), s.MaxEjectionTime)
	h.ejectedFor = reason
	h.reachable = false
	h.probesPassed, h.probing = 0, 0
	h.ejectedUntil = now.Add(h.ejectionTime + time.Duration(jitter*float64(h.ejectionTime)/2))
}

// reinstate ends the pause and forgets what led to it.
func (h *health) reinstate() { *h = health{} }

// detectFault says what in the target's own record calls for setting it aside.
func (h *health) detectFault(s *Settings, medianWait float64) fault {
	switch {
	case h.consecutiveConnectFailures >= s.ConsecutiveConnectFailures:
		return faultDown
	case h.unresponsive >= s.ConsecutiveUnresponsive:
		return faultUnresponsive
	case h.consecutiveFailures >= s.ConsecutiveFailures, h.failureRatio > s.MaxFailureRatio:
		return faultFailing
	case h.waitSamples >= minWaitSamples && medianWait > 0 && h.meanWait > s.SlowRatio*medianWait:
		return faultSlow
	default:
		return faultNone
	}
}

// mayProbe reports whether ask may be the probe of a target that is set aside:
// one at a time, and one that may be repeated. Where all work is of the other
// kind, as bookings are, that probes too, but only after twice the pause. One
// that was down gets none before its agent has granted a credit again: a probe
// of a dead machine costs its caller the whole time of a dial.
func (h *health) mayProbe(now time.Time, idempotent bool) bool {
	switch {
	case h.probing > 0:
		return false
	case h.ejectedFor.unreachable():
		return h.reachable
	case idempotent:
		return !now.Before(h.ejectedUntil)
	}

	return !now.Before(h.ejectedUntil.Add(h.ejectionTime))
}

// probeEnded counts the end of a probe. While one runs, the end of an older
// request is taken for it: the pause is then a little off, and no more.
func (h *health) probeEnded() { h.probing = max(0, h.probing-1) }

// penalty is what the record adds to the cost of a target that is not set aside.
func (h *health) penalty() float64 {
	return h.failureRatio + unresponsivePenalty*float64(h.unresponsive)
}

// unresponsivePenalty is the cost of one silent connection since the last success:
// its peers come first, but it stays in use, for new connections may work.
const unresponsivePenalty = 0.25
