package dispatch

import (
	"math"
	"time"
)

// target is the state that this entry keeps for one target, in addition to its directory
// entry.
type target struct {
	Target

	group        *group
	backpressure *backpressure
	// inFlight is the number of requests that this entry has at the target, work their
	// expected work.
	inFlight int
	work     float64
	// otherRequests is the number of requests that other entries had there at reportedAt.
	otherRequests float64
	reportedAt    time.Time
	others        expectedOthers
	// slowdown is the last reported ratio of the target's step time to its baseline,
	// received at slowdownAt.
	slowdown   float64
	slowdownAt time.Time
	// ejectedUntil is the time until which the target receives no requests.
	ejectedUntil time.Time
	// rejected reports whether the target was ejected because it rejected a request, not
	// because of a failure. failures counts consecutive failures.
	rejected bool
	failures int
	// settlingUntil is the time until which the target counts as new, unless it has reported
	// its load often enough before.
	settlingUntil time.Time
	reports       int
}

// defaultSlots is assumed for targets that do not report their slots.
const defaultSlots = 8

func (t *target) slots() float64 {
	if t.Slots > 0 {
		return float64(t.Slots)
	}

	return defaultSlots
}

// load returns the expected number of requests at t from all entries.
func (t *target) load(now time.Time, cfg *Settings) float64 {
	mean := t.group.otherRequests.at(now)
	if t.reportedAt.IsZero() {
		return float64(t.inFlight) + mean
	}

	if !now.Equal(t.others.at) || mean != t.others.mean {
		age := float64(now.Sub(t.reportedAt)) / float64(cfg.LoadDecay)
		t.others = expectedOthers{at: now, mean: mean, excess: (t.otherRequests - mean) * math.Exp(-age)}
	}

	return float64(t.inFlight) + mean + t.others.excess
}

// expectedOthers is by how much the expected number of other entries' requests exceeds their mean in
// the group at a time. It is needed several times for each decision.
type expectedOthers struct {
	at           time.Time
	mean, excess float64
}

// unresponsiveCost is high enough that unresponsive targets are chosen last.
const unresponsiveCost = 10

// workWeight is the weight of the expected work of this entry's requests relative to their
// number: long prompts occupy a lock-step group longer.
const workWeight = 0.3

func (t *target) cost(now time.Time, cfg *Settings) float64 {
	c := t.load(now, cfg) + workWeight*(t.work-float64(t.inFlight))
	c /= t.slots()

	if t.Unresponsive {
		c += unresponsiveCost
	}

	return c
}

func (t *target) place(now time.Time, work float64) {
	t.inFlight++
	t.work += work
	t.backpressure.send(now)
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
		// The directory will list the target that now holds the address.
		t.eject(now.Add(cfg.MaxEjectionTime), false)
	case Canceled:
	}
}

// isDraining reports whether the target accepts no new requests, as listed in the directory or as
// it has said in an answer. The directory may not know yet, or may be out of reach.
func (t *target) isDraining(now time.Time) bool { return t.Draining || t.backpressure.isLeaving(now) }

// availableAt returns when the target is neither ejected nor resting: now or later.
func (t *target) availableAt(now time.Time) time.Time {
	return latest(latest(now, t.ejectedUntil), t.backpressure.restUntil)
}

func (t *target) eject(until time.Time, rejected bool) {
	if until.After(t.ejectedUntil) {
		t.ejectedUntil, t.rejected = until, rejected
	}
}

// reportLoad records the load that the target reported, which includes this entry's requests.
func (t *target) reportLoad(now time.Time, l Load) {
	t.otherRequests = max(0, float64(l.Running+l.Waiting-t.inFlight))
	t.reportedAt = now
	t.others = expectedOthers{}
	t.reports++

	t.group.otherRequests.add(now, t.otherRequests, len(t.group.targets))
	t.group.reportCondition(now, l)

	if l.Slowdown > 0 {
		t.group.setSlowdown(now, t, l.Slowdown)
	}
}

// decayingMean is a running mean over about as many values as there are targets. It decays
// while no value is added. Otherwise, once all targets look full, nothing would be sent and
// no new load would ever be reported.
type decayingMean struct {
	value     float64
	updatedAt time.Time
	// last is the mean at lastAt: it is needed for many targets at the same time.
	last   float64
	lastAt time.Time
}

// meanDecay is the time constant of the decay while no value is added.
const meanDecay = time.Second

func (m *decayingMean) at(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}

	if !now.Equal(m.lastAt) {
		m.last, m.lastAt = m.value*math.Exp(-float64(now.Sub(m.updatedAt))/float64(meanDecay)), now
	}

	return m.last
}

func (m *decayingMean) add(now time.Time, v float64, n int) {
	m.value += (v - m.value) / float64(max(1, n))
	m.updatedAt, m.lastAt = now, time.Time{}
}

// completionRate measures how many requests complete per second.
type completionRate struct {
	times []time.Time
	// since is when the first request completed after a window without any.
	since time.Time
}

const (
	// rateWindow is the period over which the completion rate is measured.
	rateWindow = 3 * time.Second
	// minRateSpan is the shortest such period, after a window without a completion.
	minRateSpan = 250 * time.Millisecond
	// minRateSamples is the minimum number of completions for an estimate of the rate.
	minRateSamples = 5
)

func (r *completionRate) add(now time.Time) {
	r.expire(now)

	if len(r.times) == 0 {
		r.since = now
	}

	r.times = append(r.times, now)
}

func (r *completionRate) expire(now time.Time) {
	i := 0
	for i < len(r.times) && now.Sub(r.times[i]) > rateWindow {
		i++
	}

	r.times = r.times[i:]
}

// perSecond returns the rate, or zero if there are too few samples. The time of an outage
// before the first completion does not count.
func (r *completionRate) perSecond(now time.Time) float64 {
	r.expire(now)

	if len(r.times) < minRateSamples {
		return 0
	}

	return float64(len(r.times)) / min(max(now.Sub(r.since), minRateSpan), rateWindow).Seconds()
}
