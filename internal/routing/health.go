package routing

import "time"

// The weight of a new sample in each moving average.
const (
	failureWeight = 0.2
	waitWeight    = 0.2
	// minWaitSamples is how many samples the mean wait needs before it is used.
	minWaitSamples = 5
)

// fault is the reason for which a target is ejected.
type fault uint8

const (
	faultNone fault = iota
	// faultDown: connecting fails, or the agent reports that the target is down.
	faultDown
	// faultUnresponsive: several consecutive connections stopped responding, without a
	// success in between.
	faultUnresponsive
	// faultFailing: answers are broken or server errors.
	faultFailing
	// faultSlow: answers take far longer than those of the other targets.
	faultSlow
)

// unreachable reports whether the target can't be reached. Ejecting such a target loses
// no capacity, and only an answer of its agent ends the ejection.
func (f fault) unreachable() bool { return f == faultDown || f == faultUnresponsive }

// health tracks a target's recent results. A target that fails immediately looks idle
// and would attract all requests, and a slow one delays its callers. Both are ejected,
// and return after successful probes.
type health struct {
	// failureRatio is a moving average of the failed answers, 0 to 1.
	failureRatio               float64
	consecutiveFailures        int
	consecutiveConnectFailures int
	// meanWait is a moving average of the time to first byte, in nanoseconds.
	meanWait    float64
	waitSamples int
	// unresponsive counts the unresponsive connections since the last success.
	unresponsive int

	ejectedFor   fault
	ejectedUntil time.Time
	ejectionTime time.Duration
	// reachable is true if the target's agent answered since the ejection.
	reachable    bool
	probing      int
	probesPassed int
}

// recordSuccess records an answer without a fault.
func (h *health) recordSuccess() {
	h.failureRatio -= failureWeight * h.failureRatio
	h.consecutiveFailures, h.consecutiveConnectFailures, h.unresponsive = 0, 0, 0
}

// recordFailure records a fault of the target.
func (h *health) recordFailure() {
	h.failureRatio += failureWeight * (1 - h.failureRatio)
	h.consecutiveFailures++
}

// recordWait records a time to first byte. For a slow target the last probe replaces
// the mean, which would take many samples to fall.
func (h *health) recordWait(d time.Duration) {
	h.waitSamples++
	if h.waitSamples == 1 || h.ejectedFor == faultSlow {
		h.meanWait = float64(d)

		return
	}

	h.meanWait += waitWeight * (float64(d) - h.meanWait)
}

// eject starts an ejection, or extends it after a failed probe for twice as long. The
// jitter spreads the probes of entries that eject a target at the same time.
func (h *health) eject(now time.Time, reason fault, s *Settings, jitter float64) {
	h.ejectionTime = min(max(2*h.ejectionTime, s.BaseEjectionTime), s.MaxEjectionTime)
	h.ejectedFor = reason
	h.reachable = false
	h.probesPassed, h.probing = 0, 0
	h.ejectedUntil = now.Add(h.ejectionTime + time.Duration(jitter*float64(h.ejectionTime)/2))
}

// reinstate ends the ejection and clears the recorded results.
func (h *health) reinstate() { *h = health{} }

// detectFault returns the fault for which the recorded results call for an ejection.
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

// mayProbe reports whether a request may probe the ejected target. There is one probe
// at a time, and it should be idempotent. If a service has only other requests, such as
// bookings, they probe too, after twice the ejection time. An unreachable target is
// probed only after its agent granted a credit, because a probe of a dead machine costs
// its caller a full connect timeout.
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

// probeEnded counts the end of a probe. The end of an older request during a probe
// counts as the end of that probe, which only makes the ejection time slightly
// inaccurate.
func (h *health) probeEnded() { h.probing = max(0, h.probing-1) }

// penalty returns the cost that recent faults add to a target that is not ejected.
func (h *health) penalty() float64 {
	return h.failureRatio + unresponsivePenalty*float64(h.unresponsive)
}

// unresponsivePenalty is the cost of one unresponsive connection since the last
// success. Other targets are preferred, but this one stays in use because new
// connections may work.
const unresponsivePenalty = 0.25
