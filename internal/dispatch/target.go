package dispatch

import (
	"math"
	"time"
)

// target is what this entry knows of one target beside the directory's word.
type target struct {
	Target

	// inFlight is how many requests this entry has there, work their expected work.
	inFlight int
	work     float64
	// otherRequests is what the other entries had there at reported.
	otherRequests float64
	reportedAt    time.Time
	// slowdown is how many times longer than usual it took when it said so last, at pacedAt.
	slowdown   float64
	slowdownAt time.Time
	// ejectedUntil is until when it is left alone, after fails failures in a row.
	ejectedUntil time.Time
	// rejected says that it is left alone because it said that it was full, not for a fault.
	rejected bool
	failures int
	// newUntil is until when it counts as just come into use.
	newUntil time.Time
	// sentAt are the times at which this entry sent it requests, the latest last.
	sentAt []time.Time
}

// defaultSlots stands for the slots of a target that does not say them.
const defaultSlots = 8

func (t *target) slots() float64 {
	if t.Slots > 0 {
		return float64(t.Slots)
	}

	return defaultSlots
}

// load is how many requests are expected at t.
func (t *target) load(now time.Time, s *service, cfg *Settings) float64 {
	mean := s.otherRequests.at(now)
	if t.reportedAt.IsZero() {
		return float64(t.inFlight) + mean
	}

	age := float64(now.Sub(t.reportedAt)) / float64(cfg.LoadDecay)

	return float64(t.inFlight) + mean + (t.otherRequests-mean)*math.Exp(-age)
}

// unresponsiveCost makes silent targets the last choice.
const unresponsiveCost = 10

// workWeight is the weight of the expected work of this entry's own requests
// against their number: long prompts hold a lock-step group longer.
const workWeight = 0.3

func (t *target) cost(now time.Time, s *service, cfg *Settings) float64 {
	c := t.load(now, s, cfg) + workWeight*(t.work-float64(t.inFlight))
	c /= t.slots()

	if t.Unresponsive {
		c += unresponsiveCost
	}

	return c
}

func (t *target) place(now time.Time, work float64) {
	t.inFlight++
	t.work += work
	t.sentAt = append(t.sentAt, now)
}

// sentSince counts the requests that were sent after from, and forgets the rest.
func (t *target) sentSince(from time.Time) int {
	i := 0
	for i < len(t.sentAt) && !t.sentAt[i].After(from) {
		i++
	}

	t.sentAt = t.sentAt[i:]

	return len(t.sentAt)
}

func (t *target) finish(now time.Time, work float64, o Outcome, cfg *Settings) {
	t.inFlight = max(0, t.inFlight-1)
	t.work = max(0, t.work-work)

	switch o {
	case Completed:
		t.failures = 0
	case Rejected:
		t.eject(now.Add(cfg.RejectionBackoff), true)
	case Failed:
		t.failures++
		t.eject(now.Add(min(cfg.BaseEjectionTime<<min(t.failures-1, 8), cfg.MaxEjectionTime)), false)
	case Misdirected:
		// The directory will name the address's new holder.
		t.eject(now.Add(cfg.MaxEjectionTime), false)
	case Canceled:
	}
}

func (t *target) eject(until time.Time, rejected bool) {
	if until.After(t.ejectedUntil) {
		t.ejectedUntil, t.rejected = until, rejected
	}
}

// reportLoad takes in a target's word on its load. The own requests are in it too.
func (s *service) reportLoad(now time.Time, t *target, l Load) {
	t.otherRequests = max(0, float64(l.Running+l.Waiting-t.inFlight))
	t.reportedAt = now
	s.otherRequests.add(now, t.otherRequests, len(s.targets))

	if l.Slowdown > 0 {
		s.setSlowdown(now, t, l.Slowdown)
	}
}

// ejectGroup leaves the group of a target alone for a while, and the target longer.
func (s *service) ejectGroup(now time.Time, id string, cfg *Settings) {
	faulty := s.targets[id]
	if faulty == nil || faulty.Group == "" {
		return
	}

	for _, t := range s.targets {
		if t.Group == faulty.Group {
			t.eject(now.Add(cfg.GroupEjectionTime), false)
		}
	}
}

// decayingMean is a running mean over about as many values as there are targets. It fades
// while nothing is added: where all targets look full nothing is sent, so nothing
// would ever be heard again.
type decayingMean struct {
	value     float64
	updatedAt time.Time
}

// meanDecay is how long a mean holds without anything added.
const meanDecay = time.Second

func (m *decayingMean) at(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}

	return m.value * math.Exp(-float64(now.Sub(m.updatedAt))/float64(meanDecay))
}

func (m *decayingMean) add(now time.Time, v float64, n int) {
	m.value += (v - m.value) / float64(max(1, n))
	m.updatedAt = now
}

// rateWindow is over how long the rate of ended requests is taken.
const rateWindow = 3 * time.Second

// completionRate is how many requests end in a second.
type completionRate struct {
	times []time.Time
}

func (r *completionRate) add(now time.Time) {
	r.expire(now)
	r.times = append(r.times, now)
}

func (r *completionRate) expire(now time.Time) {
	i := 0
	for i < len(r.times) && now.Sub(r.times[i]) > rateWindow {
		i++
	}

	r.times = r.times[i:]
}

// perSecond returns the rate, or zero where too little is known.
func (r *completionRate) perSecond(now time.Time) float64 {
	r.expire(now)

	if len(r.times) < minRateSamples {
		return 0
	}

	return float64(len(r.times)) / rateWindow.Seconds()
}

// minRateSamples is how many ends tell a rate.
const minRateSamples = 5
