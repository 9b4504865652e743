package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/forecast"
)

// group is what an entry knows about the steps of one lock-step group. All ranks of a group
// wait for its slowest one, so load, limits and times of one group say nothing about another
// one of the same service. The targets of a service that belong to no group share one.
type group struct {
	name    string
	targets []*target
	// slots is the largest number of slots of a target.
	slots int
	// otherRequests is the mean number of requests that the other entries have at a target.
	otherRequests    decayingMean
	concurrencyLimit concurrencyLimit
	startLimit       startLimit
	// forecast and plan limit the requests of a group of a prioritized service. reportedProblem is
	// the last problem of the forecast that was returned for the log.
	forecast        forecast.Group
	plan            capacityPlan
	reportedProblem string
	// minSlowdown and maxSlowdown are the smallest and largest slowdown of the targets, 0
	// while none has been reported. They are valid until slowdownsUntil.
	minSlowdown    float64
	maxSlowdown    float64
	slowdownsUntil time.Time
	// firstAnswer is the average time from placing a request to its first answer.
	firstAnswer time.Duration
	// eventAt is when a stream of the group had an event last. answerDue is when the first of
	// the streams is expected to have one that were started while none was running.
	eventAt   time.Time
	answerDue time.Time
	// reportedStalledUntil and reportedBrokenUntil are until when the last such report of a
	// target counts. They are zero once a target reports otherwise.
	reportedStalledUntil time.Time
	reportedBrokenUntil  time.Time
	// late reports whether its streams were late when requests were placed last.
	late bool
	// brokenSince is when the last target of the group broke; zero while one is not broken.
	brokenSince time.Time
	// placed counts the requests placed in the group.
	placed int64
	// emptySince is when the last target left the group; zero while it has targets.
	emptySince time.Time
	// levels is used in prioritized services.
	levels groupLevels
}

// emptyGroupTTL is how long the state of a group without targets is kept. Targets that
// restart are missing from the directory for some seconds.
const emptyGroupTTL = time.Minute

// group returns the group with a name. A new one starts with the estimates of the group of
// the service that bears most: both run the same model for the same callers.
func (s *service) group(name string) *group {
	g := s.groups[name]
	if g != nil {
		return g
	}

	g = &group{name: name}

	for _, other := range s.groups {
		if other.concurrencyLimit.bound > g.concurrencyLimit.bound {
			g.concurrencyLimit.bound = other.concurrencyLimit.bound
			g.startLimit.typicalStarts = other.startLimit.typicalStarts
			g.firstAnswer = other.firstAnswer
			g.forecast.Adopt(&other.forecast)
		}
	}

	s.groups[name] = g

	return g
}

// assignGroups assigns the targets to their groups and drops groups that have been empty for
// a while.
func (s *service) assignGroups(now time.Time) {
	for _, g := range s.groups {
		g.targets, g.slots = g.targets[:0], 0
		g.slowdownsUntil = time.Time{} // The set of targets may have changed.
	}

	for _, t := range s.sorted {
		t.group = s.group(t.Group)
		t.group.targets = append(t.group.targets, t)
		t.group.slots = max(t.group.slots, t.Slots)
	}

	for name, g := range s.groups {
		g.updateBroken(now)

		switch {
		case len(g.targets) > 0:
			g.emptySince = time.Time{}
		case g.emptySince.IsZero():
			g.emptySince = now
		case now.Sub(g.emptySince) > emptyGroupTTL:
			delete(s.groups, name)
		}
	}
}

const (
	// stallTime is how long no stream of a group has an event until the group counts as
	// stalled. Its ranks may be waiting for one that is lost, which takes them seconds to
	// find out.
	stallTime = 250 * time.Millisecond
	// stallTTL is how long a group counts as stalled. Afterwards it must be tried again.
	stallTTL = 2 * time.Second
)

// isStalled reports whether the group has running requests, and none of them makes progress.
// Time without an event says nothing while no request was running.
func (g *group) isStalled(now time.Time) bool {
	since := g.eventAt
	if g.answerDue.After(since) {
		since = g.answerDue
	}

	if silence := now.Sub(since); silence < stallTime || silence > stallTTL {
		return false
	}

	return g.isRunning()
}

// isRunning reports whether this entry has a request in the group.
func (g *group) isRunning() bool {
	return slices.ContainsFunc(g.targets, func(t *target) bool { return t.inFlight > 0 })
}

// place counts a request that is placed at one of the group's targets.
func (g *group) place(now time.Time) {
	if !g.isRunning() {
		g.answerDue = now.Add(g.firstAnswer)
	}

	g.placed++
	g.startLimit.recordStart()
	g.plan.place()
}

// isLate reports whether streams of the group will be late: its steps are too long, or none
// ends.
func (g *group) isLate(now time.Time) bool {
	return g.startLimit.isLate(now) || g.isStalled(now) || now.Before(g.reportedStalledUntil)
}

// conditionTTL is how long a report that a group is stalled or broken counts. It exceeds the
// interval at which an unchanged load is reported.
const conditionTTL = 800 * time.Millisecond

// reportCondition records whether a target reports that the group is stalled or broken.
func (g *group) reportCondition(now time.Time, l Load) {
	switch {
	case l.Broken:
		g.reportedBrokenUntil = now.Add(conditionTTL)
	case l.Stalled:
		g.reportedStalledUntil, g.reportedBrokenUntil = now.Add(conditionTTL), time.Time{}
	case l.Running > 0:
		g.reportedStalledUntil, g.reportedBrokenUntil = time.Time{}, time.Time{}
	default: // An idle target does not notice that its group is stalled.
		g.reportedBrokenUntil = time.Time{}
	}
}

// isReportedBroken reports whether a target has just reported that the group is broken.
func (g *group) isReportedBroken(now time.Time) bool { return now.Before(g.reportedBrokenUntil) }

// updateBroken updates since when all targets of the group are broken.
func (g *group) updateBroken(now time.Time) {
	switch {
	case len(g.targets) == 0 || slices.ContainsFunc(g.targets, func(t *target) bool { return !t.Broken }):
		g.brokenSince = time.Time{}
	case g.brokenSince.IsZero():
		g.brokenSince = now
	}
}

// isDown reports whether the group has been broken for so long that a request should not
// wait for it. A group whose ranks restart opens again within that time; one that misses a
// rank stays broken until the rank is replaced.
func (g *group) isDown(now time.Time, cfg *Settings) bool {
	return !g.brokenSince.IsZero() && now.Sub(g.brokenSince) >= cfg.MaxBrokenWait
}

// isAvailable reports whether some target of the group may accept requests, unless it is
// full.
func (g *group) isAvailable(now time.Time) bool {
	if g.isReportedBroken(now) {
		return false
	}

	for _, t := range g.targets {
		if !t.isDraining(now) && !t.Broken && t.availableAt(now).Equal(now) {
			return true
		}
	}

	return false
}

// eject ejects all targets of the group.
func (g *group) eject(until time.Time) {
	for _, t := range g.targets {
		t.eject(until, false)
	}
}

// firstAnswerTime returns the expected time from placing a request to its first answer, at
// the fastest group that is available, or at the fastest one if none is.
func (s *service) firstAnswerTime(now time.Time) time.Duration {
	fastest, fastestAvailable := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)

	for _, g := range s.groups {
		if len(g.targets) == 0 {
			continue
		}

		fastest = min(fastest, g.firstAnswer)

		if g.firstAnswer < fastestAvailable && g.isAvailable(now) {
			fastestAvailable = g.firstAnswer
		}
	}

	switch {
	case fastestAvailable != math.MaxInt64:
		return fastestAvailable
	case fastest != math.MaxInt64:
		return fastest
	default:
		return 0
	}
}

// GroupState describes a group as an entry sees it, for operators.
type GroupState struct {
	Service, Group string
	Targets        int
	// InFlight is the number of requests that this entry has in the group, Placed how many it
	// has placed there since its start.
	InFlight int
	Placed   int64
	// Limit is the concurrency limit of a target, 0 while it is not known. StepGap is the event
	// gap of the last steps, as a ratio of the gap that callers accept.
	Limit, StepGap float64
	FirstAnswer    time.Duration
	// Late is set while streams of the group are late, Broken while it cannot complete a step.
	Late, Broken bool
	// Forecast is what the forecast of the group's passes says; nil unless its service is
	// prioritized.
	Forecast *ForecastState `json:",omitempty"`
	// Admission is nil unless the service is prioritized.
	Admission *AdmissionState `json:",omitempty"`
}

// Groups returns the states of all groups that have targets, sorted by service and name.
func (d *Dispatcher) Groups(now time.Time) []GroupState {
	var out []GroupState

	for _, s := range d.services {
		for _, g := range s.groups {
			if len(g.targets) > 0 {
				out = append(out, g.state(now, s))
			}
		}
	}

	slices.SortFunc(out, func(a, b GroupState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Group, b.Group))
	})

	return out
}

func (g *group) state(now time.Time, s *service) GroupState {
	out := GroupState{
		Service: s.Name, Group: g.name, Targets: len(g.targets), Placed: g.placed, Limit: g.concurrencyLimit.bound,
		StepGap: g.startLimit.stepGap, FirstAnswer: g.firstAnswer, Late: s.Streams && g.isLate(now), Broken: !g.brokenSince.IsZero(),
	}

	for _, t := range g.targets {
		out.InFlight += t.inFlight
	}

	if s.Prioritized {
		out.Forecast = g.forecastState(now)
	}

	out.Admission = s.admissionState(now, g)

	return out
}
