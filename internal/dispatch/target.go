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

	age := float64(now.Sub(t.reported)) / float64(cfg.LoadMemory)

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

	if t.Silent {
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
	case Served:
		t.fails = 0
	case Shed:
		t.pause(now.Add(cfg.ShedPause), true)
	case Failed:
		t.fails++
		t.pause(now.Add(min(cfg.FirstPause<<min(t.fails-1, 8), cfg.LongestPause)), false)
	case Moved:
		// The directory will name the address's new holder.
		t.pause(now.Add(cfg.LongestPause), false)
	case Left:
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

	if l.Pace > 0 {
		t.pace, t.pacedAt = l.Pace, now
		s.leastPace, s.mostPace = s.paces(now)
	}
}

// paces returns the paces of the fastest and of the slowest target that takes requests.
func (s *service) paces(now time.Time) (least, most float64) {
	least = math.Inf(1)

	for _, t := range s.targets {
		if t.pace > 0 && now.Sub(t.pacedAt) <= paceLife && !t.Leaving {
			least, most = min(least, t.pace), max(most, t.pace)
		}
	}

	return least, most
}

const (
	// paceLife is how long a target's word on its pace holds: four of the words that
	// the agent beside it sends at least.
	paceLife = 2 * time.Second
	// leastSlow is the pace from which a target counts as slow.
	leastSlow = 1.25
	// fixedPart is how many requests take as long as the fixed part of a step, at the
	// engines of today: 4.55 ms against 0.905 ms.
	fixedPart = 5
)

// crowdedAt returns how many requests t may have where the fastest targets may have
// bound. In a lock-step group all wait for the last: a slow rank that is given as much
// as the others holds all of them up, so it gets what it does in the time that the
// others take, which may be nothing. Where all are slow alike, they share as usual.
// Worth of a day with ranks at a fifth and a third of their pace: 0.35 without, 0.68 with.
func (s *service) crowdedAt(now time.Time, t *target, bound float64) float64 {
	slow := t.pace / s.leastPace
	if slow < leastSlow || now.Sub(t.pacedAt) > paceLife {
		return bound
	}

	return max(0, (fixedPart+bound)/slow-fixedPart)
}

// crowdedPart returns which part of the pauses of a lock-step group is due to how many
// requests run. With a slow rank, all wait for the fixed part of its step, which fewer
// requests do not shorten: a bound that fell for it turned callers away for nothing.
// Worth of three days with ranks at a fifth and a third of their pace: 0.64 in the mean
// without, 0.67 with.
func (s *service) crowdedPart() float64 {
	if s.mostPace == 0 {
		return 1
	}

	usual := fixedPart + s.crowding.bound
	last := fixedPart * s.mostPace / s.leastPace

	return max(leastCrowdedPart, usual/max(usual, last))
}

// leastCrowdedPart bounds how much of a pause is put down to a slow rank. At more than
// twice the pauses that callers accept, their streams end late whatever the bound is.
const leastCrowdedPart = 0.5

// faultAt leaves the group of a target alone for a while, and the target longer.
func (s *service) faultAt(now time.Time, id string, cfg *Settings) {
	culprit := s.targets[id]
	if culprit == nil || culprit.Group == "" {
		return
	}

	for _, t := range s.targets {
		if t.Group == culprit.Group {
			t.pause(now.Add(cfg.GroupPause), false)
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

// paceWindow is over how long the rate of ended requests is taken.
const paceWindow = 3 * time.Second

// pace is how many requests end in a second.
type pace struct {
	ends []time.Time
}

func (p *pace) ended(now time.Time) {
	p.forget(now)
	p.ends = append(p.ends, now)
}

func (p *pace) forget(now time.Time) {
	i := 0
	for i < len(p.ends) && now.Sub(p.ends[i]) > paceWindow {
		i++
	}

	p.ends = p.ends[i:]
}

// perSecond returns the rate, or zero where too little is known.
func (p *pace) perSecond(now time.Time) float64 {
	p.forget(now)

	if len(p.ends) < paceLeast {
		return 0
	}

	return float64(len(p.ends)) / paceWindow.Seconds()
}

// paceLeast is how many ends tell a rate.
const paceLeast = 5
