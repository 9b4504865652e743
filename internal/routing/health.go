package routing

import "time"

// The weights of one new sample in the running means of a target's health.
const (
	failureSample = 0.2
	waitSample    = 0.2
	// waitsNeeded is how many samples a running mean of waits needs to count.
	waitsNeeded = 5
)

// fault says why a target is set aside.
type fault uint8

const (
	faultNone fault = iota
	// faultDown: dials to it fail, or its agent says that it is gone.
	faultDown
	// faultSilent: several connections in a row went silent, with no success between.
	faultSilent
	// faultFailing: its answers are broken or server errors.
	faultFailing
	// faultSlow: it answers far more slowly than its peers.
	faultSlow
)

// unreachable reports whether the target can't be reached, so that setting it
// aside loses nothing, and only an answer of its agent ends that.
func (f fault) unreachable() bool { return f == faultDown || f == faultSilent }

// health is what a target's recent answers say about it. A target that fails
// at once looks idle and would draw all work; a slow one holds its callers up.
// Both are set aside, and return by a few probes.
type health struct {
	// failures is a running mean of answers that failed, 0 to 1.
	failures   float64
	failureRun int
	downRun    int
	// wait is a running mean of the time to the first byte, in nanoseconds.
	wait  float64
	waits int
	// silences counts silent connections since the last success.
	silences int

	aside      fault
	asideUntil time.Time
	pause      time.Duration
	// answered says that the target's agent was reached since it was set aside.
	answered bool
	probing  int
	probed   int
}

// succeeded records an answer without fault.
func (h *health) succeeded() {
	h.failures -= failureSample * h.failures
	h.failureRun, h.downRun, h.silences = 0, 0, 0
}

// failed records a fault of the target.
func (h *health) failed() {
	h.failures += failureSample * (1 - h.failures)
	h.failureRun++
}

// waited records the time to a first byte. A slow target's probe counts alone:
// the mean that set it aside would take many to fall.
func (h *health) waited(d time.Duration) {
	h.waits++
	if h.waits == 1 || h.aside == faultSlow {
		h.wait = float64(d)

		return
	}

	h.wait += waitSample * (float64(d) - h.wait)
}

// setAside starts or lengthens the pause before the next probe. Entries that
// set a target aside together probe it at different times.
func (h *health) setAside(now time.Time, why fault, s *Settings, jitter float64) {
	h.pause = min(max(2*h.pause, s.ProbeAfter), s.ProbeAtMost)
	h.aside = why
	h.answered = false
	h.probed, h.probing = 0, 0
	h.asideUntil = now.Add(h.pause + time.Duration(jitter*float64(h.pause)/2))
}

// takeBack ends the pause and forgets what led to it.
func (h *health) takeBack() { *h = health{} }

// fault says what in the target's own record calls for setting it aside.
func (h *health) fault(s *Settings, medianWait float64) fault {
	switch {
	case h.downRun >= s.DownRun:
		return faultDown
	case h.silences >= s.SilentLimit:
		return faultSilent
	case h.failureRun >= s.FailureRun, h.failures > s.FailureShare:
		return faultFailing
	case h.waits >= waitsNeeded && medianWait > 0 && h.wait > s.SlowRatio*medianWait:
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
	case h.aside.unreachable():
		return h.answered
	case idempotent:
		return !now.Before(h.asideUntil)
	}

	return !now.Before(h.asideUntil.Add(h.pause))
}

// probeEnded counts the end of a probe. While one runs, the end of an older
// request is taken for it: the pause is then a little off, and no more.
func (h *health) probeEnded() { h.probing = max(0, h.probing-1) }

// penalty is what the record adds to the cost of a target that is not set aside.
func (h *health) penalty() float64 {
	return h.failures + silencePenalty*float64(h.silences)
}

// silencePenalty is the cost of one silent connection since the last success:
// its peers come first, but it stays in use, for new connections may work.
const silencePenalty = 0.25
