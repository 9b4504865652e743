package dispatch

import (
	"math"
	"time"
)

// target is what this entry knows of one target beside the directory's word.
type target struct {
	Target

	// own is how many requests this entry has there, work their expected work.
	own  int
	work float64
	// others is what the other entries had there at reported.
	others   float64
	reported time.Time
	// pace is how many times longer than usual it took when it said so last, at pacedAt.
	pace    float64
	pacedAt time.Time
	// pausedUntil is until when it is left alone, after fails failures in a row.
	pausedUntil time.Time
	// full says that it is left alone because it said that it was full, not for a fault.
	full  bool
	fails int
	// newUntil is until when it counts as just come into use.
	newUntil time.Time
	// sent are the times at which this entry sent it requests, the latest last.
	sent []time.Time
}

// usualSlots stands for the slots of a target that does not say them.
const usualSlots = 8

func (t *target) slots() float64 {
	if t.Slots > 0 {
		return float64(t.Slots)
	}

	return usualSlots
}

// load is how many requests are expected at t.
func (t *target) load(now time.Time, s *service, cfg *Settings) float64 {
	mean := s.others.at(now)
	if t.reported.IsZero() {
		return float64(t.own) + mean
	}

	age := float64(now.Sub(t.reported)) / float64(cfg.LoadDecay)

	return float64(t.own) + mean + (t.others-mean)*math.Exp(-age)
}

// silentCost makes silent targets the last choice.
const silentCost = 10

// workShare is the weight of the expected work of this entry's own requests
// against their number: long prompts hold a lock-step group longer.
const workShare = 0.3

func (t *target) cost(now time.Time, s *service, cfg *Settings) float64 {
	c := t.load(now, s, cfg) + workShare*(t.work-float64(t.own))
	c /= t.slots()

	if t.Unresponsive {
		c += silentCost
	}

	return c
}

func (t *target) place(now time.Time, work float64) {
	t.own++
	t.work += work
	t.sent = append(t.sent, now)
}

// sentSince counts the requests that were sent after from, and forgets the rest.
func (t *target) sentSince(from time.Time) int {
	i := 0
	for i < len(t.sent) && !t.sent[i].After(from) {
		i++
	}

	t.sent = t.sent[i:]

	return len(t.sent)
}

func (t *target) finish(now time.Time, work float64, o Outcome, cfg *Settings) {
	t.own = max(0, t.own-1)
	t.work = max(0, t.work-work)

	switch o {
	case Completed:
		t.fails = 0
	case Rejected:
		t.pause(now.Add(cfg.RejectionBackoff), true)
	case Failed:
		t.fails++
		t.pause(now.Add(min(cfg.BaseEjectionTime<<min(t.fails-1, 8), cfg.MaxEjectionTime)), false)
	case Misdirected:
		// The directory will name the address's new holder.
		t.pause(now.Add(cfg.MaxEjectionTime), false)
	case Canceled:
	}
}

func (t *target) pause(until time.Time, full bool) {
	if until.After(t.pausedUntil) {
		t.pausedUntil, t.full = until, full
	}
}

// report takes in a target's word on its load. The own requests are in it too.
func (s *service) report(now time.Time, t *target, l Load) {
	t.others = max(0, float64(l.Running+l.Waiting-t.own))
	t.reported = now
	s.others.add(now, t.others, len(s.targets))

	if l.Slowdown > 0 {
		s.setPace(now, t, l.Slowdown)
	}
}

// faultAt leaves the group of a target alone for a while, and the target longer.
func (s *service) faultAt(now time.Time, id string, cfg *Settings) {
	culprit := s.targets[id]
	if culprit == nil || culprit.Group == "" {
		return
	}

	for _, t := range s.targets {
		if t.Group == culprit.Group {
			t.pause(now.Add(cfg.GroupEjectionTime), false)
		}
	}
}

// mean is a running mean over about as many values as there are targets. It fades
// while nothing is added: where all targets look full nothing is sent, so nothing
// would ever be heard again.
type mean struct {
	value float64
	added time.Time
}

// meanMemory is how long a mean holds without anything added.
const meanMemory = time.Second

func (m *mean) at(now time.Time) float64 {
	if m.added.IsZero() {
		return 0
	}

	return m.value * math.Exp(-float64(now.Sub(m.added))/float64(meanMemory))
}

func (m *mean) add(now time.Time, v float64, n int) {
	m.value += (v - m.value) / float64(max(1, n))
	m.added = now
}

// rateWindow is over how long the rate of ended requests is taken.
const rateWindow = 3 * time.Second

// rate is how many requests end in a second.
type rate struct {
	ends []time.Time
}

func (r *rate) add(now time.Time) {
	r.forget(now)
	r.ends = append(r.ends, now)
}

func (r *rate) forget(now time.Time) {
	i := 0
	for i < len(r.ends) && now.Sub(r.ends[i]) > rateWindow {
		i++
	}

	r.ends = r.ends[i:]
}

// perSecond returns the rate, or zero where too little is known.
func (r *rate) perSecond(now time.Time) float64 {
	r.forget(now)

	if len(r.ends) < rateLeast {
		return 0
	}

	return float64(len(r.ends)) / rateWindow.Seconds()
}

// rateLeast is how many ends tell a rate.
const rateLeast = 5
