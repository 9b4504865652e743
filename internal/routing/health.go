package routing

import "time"

// The weights of one new sample in the running means of a target's health.
const (
	failureSample = 0.2
	waitSample    = 0.2
	// waitsNeeded is how many samples a running mean of waits needs to count.
	waitsNeeded = 5
)

// health is what a target's recent answers say about it. A target that fails
// at once looks idle and would draw all work; a slow one holds its callers up.
// Both are set aside, and return by a few probes.
type health struct {
	failures    float64
	failureRun  int
	wait        float64
	waits       int
	silences    int
	asideUntil  time.Time
	aside       bool
	pause       time.Duration
	probing     int
	probesTaken int
}

// succeeded records an answer without fault.
func (h *health) succeeded() {
	h.failures -= failureSample * h.failures
	h.failureRun = 0
	h.silences = 0
}

// failed records a fault of the target.
func (h *health) failed() {
	h.failures += failureSample * (1 - h.failures)
	h.failureRun++
}

// waited records the time to a first byte.
func (h *health) waited(d time.Duration) {
	h.waits++
	if h.waits == 1 {
		h.wait = float64(d)

		return
	}

	h.wait += waitSample * (float64(d) - h.wait)
}

// setAside starts or lengthens the pause before the next probe.
func (h *health) setAside(now time.Time, s *Settings, jitter float64) {
	h.pause = min(max(2*h.pause, s.ProbeAfter), s.ProbeAtMost)
	h.aside = true
	h.probesTaken = 0
	h.asideUntil = now.Add(h.pause + time.Duration(jitter*float64(h.pause)/2))
}

// takeBack ends the pause and forgets what led to it.
func (h *health) takeBack() {
	*h = health{probing: h.probing}
}

// suspect reports whether the target's own record calls for setting it aside.
func (h *health) suspect(s *Settings, medianWait float64) bool {
	switch {
	case h.failureRun >= s.FailureRun:
		return true
	case h.failures > s.FailureShare:
		return true
	case h.silences >= s.SilentLimit:
		return true
	default:
		return h.waits >= waitsNeeded && medianWait > 0 && h.wait > s.SlowRatio*medianWait
	}
}
