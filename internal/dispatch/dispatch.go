// Package dispatch assigns requests to targets at an entry that proxies to its targets
// directly, without agents in between. It decides which target receives each request, which
// requests wait, and which are refused. It starts no goroutines and reads no clock: each
// method takes the current time and an input, and returns the resulting actions.
package dispatch

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/parsleygate/parsleygate/internal/priority"
	"github.com/parsleygate/parsleygate/internal/routes"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Target describes a target as listed in the directory.
type Target struct {
	ID string
	// StartTime identifies the incarnation of the target; a later one has a higher value.
	StartTime int64
	Service   string
	Address   netip.AddrPort
	Zone      string
	Group     string
	Slots     int
	// Draining is set for targets that drain and for those in a zone that is out. They
	// receive no new requests.
	Draining bool
	// Unresponsive is set when the target has not announced itself recently. Such targets
	// are used only when no other is available.
	Unresponsive bool
	// Broken is set while the target's group cannot complete a step.
	Broken    bool
	ColdUntil time.Time
	// Share is this entry's share of the limits that apply to the target across all
	// entries.
	Share shares.Share
	// Idle reports whether this entry has an idle connection to the target. It is nil if the
	// target's service keeps none.
	Idle func() bool
}

// Service holds the declared limits and properties of a service.
type Service struct {
	Name string
	// ColdPerSecond limits the requests per second that a cold target receives from all
	// entries together. Zero means no limit.
	ColdPerSecond float64
	// MaxConnections limits the connections that a target accepts from all entries
	// together. Zero means no limit.
	MaxConnections int
	// Streams reports whether the targets are engines that stream their answers and slow
	// each other down.
	Streams bool
	// Prioritized is set if requests are served by declared priorities, and the group's load is
	// limited by a forecast from Engine.
	Prioritized bool
	Engine      routes.EngineFigures
	// EventGap is the shortest gap between two events that a route of the service declares.
	// Timeout is the longest time that a caller waits for an answer.
	EventGap time.Duration
	Timeout  time.Duration
	// EventTimeout is the shortest time without an event after which callers leave a stream, zero
	// if they do not.
	EventTimeout time.Duration
}

// Request is a request to be assigned to a target.
type Request struct {
	ID        uint64
	Service   string
	Workspace string
	// Priority orders requests; 0 is the highest priority.
	Priority uint32
	// Level and Attempt order the requests of a prioritized service, instead of Priority.
	// FirstAttemptAt is when the caller first sent it; zero if it has not been refused before.
	Level          priority.Level
	Attempt        priority.Attempt
	FirstAttemptAt time.Time
	// SoftDeadline is the latency target for the first answer. Deadline is when the caller
	// disconnects.
	SoftDeadline time.Time
	Deadline     time.Time
	// Work is the expected work relative to a typical request. Zero and negative values
	// count as 1.
	Work float64
	// Excluded lists the IDs of targets that must not receive this request again.
	Excluded []string
	// Sent is set if a target may have read the request in an earlier attempt. It may have events
	// already, so that refusing it would cut its stream.
	Sent bool
	// Reuse is set if the request may be sent on an idle connection.
	Reuse bool
}

// Action assigns one request to a target, or refuses it.
type Action struct {
	ID uint64
	// Target is set if Placed is true. The caller must then call Finish.
	Target Target
	Placed bool
	// PlacedAt is when it was assigned.
	PlacedAt time.Time
	// Cause is the reason of a refusal, RetryAt the time at which the caller should retry.
	Cause   verdict.Cause
	RetryAt time.Time
	// ExpectedWait is how long a request of a prioritized service would have waited for a place.
	ExpectedWait time.Duration
	// Capacity describes the service's targets at the time of the refusal.
	Capacity CapacitySummary
}

// Load is the load that a target, or the agent beside it, reports.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the ratio of the target's step time to its baseline, or 0 if not
	// reported.
	Slowdown float64
	// Stalled is set while the target has requests and its group makes no progress, Broken while
	// its group cannot run steps. Agents see both sooner than an entry with few requests, and
	// than targets announce it.
	Stalled, Broken bool
	// Skew is the skew of the expert map that the target's group uses for its demand now, 0 if not
	// reported.
	Skew float64
}

// Outcome is the result of a request at a target.
type Outcome uint8

const (
	// Completed means that the target answered, whatever the answer.
	Completed Outcome = iota
	// Rejected means that the target reported that it did not run the request.
	Rejected
	// Failed means that the connection could not be opened, broke, or returned no valid
	// answer.
	Failed
	// Canceled means that the caller disconnected or its deadline expired. It is no
	// evidence about the target.
	Canceled
	// Misdirected means that a different target answered at the address.
	Misdirected
)

// Dispatcher assigns the requests of all services at one entry. Its fields must be set
// before the first call. It is not safe for concurrent use.
type Dispatcher struct {
	Settings Settings
	Rand     *rand.Rand
	// Zone is the zone of this entry. If empty, all targets count as local.
	Zone string
	// RosterIncomplete is set while other entries may be missing in the shares of Update.
	RosterIncomplete bool

	services map[string]*service
	// backpressure is what targets have said about their load, by target ID.
	backpressure map[string]*backpressure
	// settlingUntil is the time until which this entry may know only a few of the other
	// entries.
	settlingUntil time.Time
}

// isNew reports whether this entry may know only a few of the other entries.
func (d *Dispatcher) isNew(now time.Time) bool {
	return d.RosterIncomplete || now.Before(d.settlingUntil)
}

// Update replaces the sets of services and targets. It refuses the requests that wait for a
// removed service.
func (d *Dispatcher) Update(now time.Time, services []Service, targets []Target) []Action {
	if d.settlingUntil.IsZero() {
		d.settlingUntil = now.Add(settlingTime)
	}

	previous := d.services
	d.services = make(map[string]*service, len(services))

	for _, s := range services {
		svc := previous[s.Name]
		if svc == nil {
			svc = newService()
		}

		svc.Service = s
		svc.setLevels(d.Rand)
		d.services[s.Name] = svc
	}

	ids := make(map[string]bool, len(targets))

	for _, t := range targets {
		if s := d.services[t.Service]; s != nil {
			s.setTarget(now, t, d.backpressureOf(now, &t))

			ids[t.ID] = true
		}
	}

	d.expireBackpressure(now)

	var out []Action

	for _, s := range d.services {
		s.retainTargets(ids)
		s.assignGroups(now)

		out = append(out, d.place(now, s)...)
	}

	for name, s := range previous {
		if d.services[name] == nil {
			out = append(out, s.refuseAll(now, verdict.CauseUnknownService, d.Settings.MinRetryAfter)...)
		}
	}

	return out
}

// Submit adds a request. If the returned actions do not include one for it, the request
// waits.
func (d *Dispatcher) Submit(now time.Time, r Request) []Action {
	s := d.services[r.Service]
	if s == nil {
		return []Action{{ID: r.ID, Cause: verdict.CauseNoTarget, RetryAt: now.Add(d.Settings.NoTargetRetryAfter)}}
	}

	if !(r.Work > 0) || math.IsInf(r.Work, 1) { // not above 0 if it is no number
		r.Work = 1
	}

	// A caller may leave before the latency target of its route.
	if s.Prioritized && r.SoftDeadline.After(r.Deadline) {
		r.SoftDeadline = r.Deadline
	}

	s.levels.recordDemand(now, &r)

	if _, ok := s.availableAt(now, &r, &d.Settings); !ok {
		return []Action{{
			ID: r.ID, Cause: s.noTargetCause(now, &r, &d.Settings), RetryAt: s.noTargetRetryAt(now, &d.Settings), Capacity: d.capacity(now, s),
		}}
	}

	s.updatePlans(now, &d.Settings)

	if !s.isSlow(now) && !s.levels.admit(now, &r) {
		return d.submitSpare(now, s, r)
	}

	s.waiting = append(s.waiting, waiting{Request: r, since: now})

	return d.place(now, s)
}

// Cancel removes a waiting request.
func (d *Dispatcher) Cancel(name string, id uint64) {
	if s := d.services[name]; s != nil {
		s.removeWaiting(id)
	}
}

// ReportLoad records the load reported by a target or by the agent beside it.
func (d *Dispatcher) ReportLoad(now time.Time, serviceName, targetID string, l Load) []Action {
	s := d.services[serviceName]
	if s == nil || s.targets[targetID] == nil {
		return nil
	}

	s.targets[targetID].reportLoad(now, l)

	if s.Prioritized && l.Skew > 0 {
		s.targets[targetID].group.forecast.ObserveSkew(now, l.Skew)
	}

	return d.place(now, s)
}

// ReportEventGap records the gap between two events of a stream, as a ratio of the gap that
// the caller accepts.
func (d *Dispatcher) ReportEventGap(now time.Time, placed Action, ratio float64) {
	if g := d.groupOf(placed); g != nil && placed.Target.Slots > 0 {
		g.concurrencyLimit.observeGap(now, ratio*g.loadDependentFraction(), placed.Target.Slots, &d.Settings)
		g.startLimit.observeGap(now, ratio, &d.Settings)
		g.eventAt = now
	}
}

// ReportFirstAnswer records the time from placing a request to its first answer.
func (d *Dispatcher) ReportFirstAnswer(placed Action, elapsed time.Duration) {
	if g := d.groupOf(placed); g != nil {
		g.firstAnswer += (min(elapsed, d.Settings.MaxFirstAnswerTime) - g.firstAnswer) / firstAnswerWindow
	}
}

// groupOf returns the group in which a request was placed, or nil if it is gone.
func (d *Dispatcher) groupOf(placed Action) *group {
	if s := d.services[placed.Target.Service]; s != nil {
		return s.groupOf(placed)
	}

	return nil
}

// groupOf returns the group in which a request was placed, or nil if it is gone.
func (s *service) groupOf(placed Action) *group {
	if t := s.targets[placed.Target.ID]; t != nil {
		return t.group
	}

	return s.groups[placed.Target.Group]
}

// firstAnswerWindow is the number of requests over which the time to the first answer is
// averaged.
const firstAnswerWindow = 16

// Finish ends a placed request, releases its capacity, and places waiting requests there.
func (d *Dispatcher) Finish(now time.Time, placed Action, work float64, o Outcome) []Action {
	if b := d.knownBackpressure(placed); b != nil {
		b.endTrial(placed)
	}

	s := d.services[placed.Target.Service]
	if s == nil {
		return nil
	}

	if t := s.targets[placed.Target.ID]; t != nil {
		t.finish(now, work, o, &d.Settings)
	}

	if o == Completed {
		s.completions.add(now)
	}

	return d.place(now, s)
}

// ReportFault records that a placed request was refused because another target of the group is
// at fault. The whole group is ejected for a while, because its targets refuse requests until
// the group has been formed again. An entry of a large deployment uses few targets of a group,
// and mostly does not know the one at fault.
func (d *Dispatcher) ReportFault(now time.Time, placed Action, faultyID string) {
	g := d.groupOf(placed)

	if s := d.services[placed.Target.Service]; s != nil && s.targets[faultyID] != nil {
		g = s.targets[faultyID].group
	}

	if g != nil && g.name != "" {
		g.eject(now.Add(d.Settings.GroupEjectionTime))
	}
}

// ReportTargetEnd records that the target of a placed request has ended. The others of its group give up
// as well until then, and a request that ended the target must not end another one meanwhile.
func (d *Dispatcher) ReportTargetEnd(placed Action, until time.Time) {
	if g := d.groupOf(placed); g != nil && g.name != "" {
		g.eject(until)
	}
}

// Tick places the waiting requests that can be placed at now, and refuses those that can no
// longer be answered in time.
func (d *Dispatcher) Tick(now time.Time) []Action {
	var out []Action

	for _, s := range d.services {
		if len(s.waiting) > 0 {
			out = append(out, d.place(now, s)...)
		}
	}

	return out
}

// Waiting returns the number of waiting requests.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, s := range d.services {
		n += len(s.waiting)
	}

	return n
}
