// Package dispatch decides, at an entry that is the door of its targets, which
// target each request goes to, which requests wait, and which are refused. It has
// no goroutine and reads no clock: what happens goes in, actions come out.
package dispatch

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// Target is a target as the directory knows it.
type Target struct {
	ID      string
	Service string
	Address netip.AddrPort
	Zone    string
	Group   string
	Slots   int
	// Draining targets, and those of a zone that is out, get no new work.
	Draining bool
	// Unresponsive targets have not announced themselves lately; they are the last choice.
	Unresponsive bool
	// Broken is set while the target's group cannot make a step.
	Broken    bool
	ColdUntil time.Time
	// Share is this entry's part of what all entries together may send to it.
	Share shares.Share
}

// Service is what the operators declare of a service.
type Service struct {
	Name string
	// ColdPerSecond is how many requests a cold target bears in a second, from all
	// entries together; zero: no bound.
	ColdPerSecond float64
	// MaxConnections is how many connections a target takes from all entries together.
	MaxConnections int
	// Streams says that its targets are engines that stream, and slow each other down.
	Streams bool
}

// Request is one request that wants a target.
type Request struct {
	ID        uint64
	Service   string
	Workspace string
	// Priority orders requests, 0 first.
	Priority uint32
	// SoftDeadline is until when the first answer is of full use, GiveUpAt when the caller
	// is gone.
	SoftDeadline time.Time
	Deadline     time.Time
	// Work is the expected work against that of a usual request; below 0 or zero counts as 1.
	Work float64
	// Excluded are targets that this request must not be sent to again.
	Excluded []string
}

// Action places or refuses one request.
type Action struct {
	ID uint64
	// Target is set where the request is placed: Finish must follow.
	Target Target
	Placed bool
	// Cause and RetryAt say why a request was refused, and when to come back.
	Cause   verdict.Cause
	RetryAt time.Time
	// Capacity is the state of the targets at a refusal.
	Capacity CapacitySummary
}

// Load is what a target says of itself on an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how many times longer than usual it takes; 0 where it does not say.
	Slowdown float64
}

// Outcome is how a request ended at a target.
type Outcome uint8

const (
	// Completed means that the target answered, whatever it said.
	Completed Outcome = iota
	// Rejected means that the target said that it did not run the request.
	Rejected
	// Failed means that the connection could not be opened, broke, or brought nothing usable.
	Failed
	// Canceled means that the caller went away, or its time ran out. It says nothing of the target.
	Canceled
	// Misdirected means that another target answers at the address.
	Misdirected
)

// Dispatcher decides for all services of one entry. Its fields are set before the
// first call; one goroutine at a time uses it.
type Dispatcher struct {
	Settings Settings
	Rand     *rand.Rand
	// Zone is the entry's own; empty where all targets are as near.
	Zone string

	services map[string]*service
	// newUntil is until when this entry may know few of the others.
	newUntil time.Time
}

// Update takes in the targets and services as they are now.
func (d *Dispatcher) Update(now time.Time, services []Service, targets []Target) []Action {
	if d.newUntil.IsZero() {
		d.newUntil = now.Add(newDuration)
	}

	previous := d.services
	d.services = make(map[string]*service, len(services))

	for _, s := range services {
		svc := previous[s.Name]
		if svc == nil {
			svc = &service{targets: map[string]*target{}}
		}

		svc.Service = s
		d.services[s.Name] = svc
	}

	ids := make(map[string]bool, len(targets))

	for _, t := range targets {
		if s := d.services[t.Service]; s != nil {
			s.setTarget(now, t)

			ids[t.ID] = true
		}
	}

	var out []Action

	for _, s := range d.services {
		s.retainTargets(ids)
		s.slowdownsUntil = time.Time{} // of other targets than before

		out = append(out, d.place(now, s)...)
	}

	for name, s := range previous {
		if d.services[name] == nil {
			out = append(out, s.refuseAll(now, verdict.CauseUnknownService, d.Settings.MinRetryAfter)...)
		}
	}

	return out
}

// Submit brings in a request. Without an action for it, it waits.
func (d *Dispatcher) Submit(now time.Time, r Request) []Action {
	s := d.services[r.Service]
	if s == nil {
		return []Action{{ID: r.ID, Cause: verdict.CauseNoTarget, RetryAt: now.Add(d.Settings.NoTargetRetryAfter)}}
	}

	if r.Work <= 0 {
		r.Work = 1
	}

	if _, ok := s.availableAt(now, &r); !ok {
		return []Action{{ID: r.ID, Cause: s.noTargetCause(&r), RetryAt: now.Add(d.Settings.NoTargetRetryAfter)}}
	}

	s.waiting = append(s.waiting, waiting{Request: r, since: now})

	return d.place(now, s)
}

// Cancel takes back a request that waits.
func (d *Dispatcher) Cancel(name string, id uint64) {
	if s := d.services[name]; s != nil {
		s.removeWaiting(id)
	}
}

// ReportLoad takes in what a target, or the agent beside it, said of its load.
func (d *Dispatcher) ReportLoad(now time.Time, serviceName, targetID string, l Load) []Action {
	s := d.services[serviceName]
	if s == nil || s.targets[targetID] == nil {
		return nil
	}

	s.reportLoad(now, s.targets[targetID], l)

	return d.place(now, s)
}

// ReportEventGap takes in a pause between two events of a stream, in parts of what its
// caller accepts.
func (d *Dispatcher) ReportEventGap(now time.Time, placed Action, ratio float64) {
	if s := d.services[placed.Target.Service]; s != nil && placed.Target.Slots > 0 {
		s.concurrencyLimit.observeGap(now, ratio*s.loadDependentFraction(), placed.Target.Slots, &d.Settings)
		s.startLimit.observeGap(now, ratio, &d.Settings)
	}
}

// ReportFirstAnswer takes in how long a placed request waited for its first answer.
func (d *Dispatcher) ReportFirstAnswer(placed Action, elapsed time.Duration) {
	if s := d.services[placed.Target.Service]; s != nil {
		s.firstAnswer += (min(elapsed, d.Settings.MaxFirstAnswerTime) - s.firstAnswer) / firstAnswerWindow
	}
}

// firstAnswerWindow is over how many requests the time of a first answer is averaged.
const firstAnswerWindow = 16

// Finish ends a placed request. Place holds what it held.
func (d *Dispatcher) Finish(now time.Time, placed Action, work float64, o Outcome) []Action {
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

// ReportFault takes in that a target made another one fail: its group waits for it.
func (d *Dispatcher) ReportFault(now time.Time, serviceName, targetID string) {
	if s := d.services[serviceName]; s != nil {
		s.ejectGroup(now, targetID, &d.Settings)
	}
}

// Tick places what can be placed by now, and refuses what can no longer be served.
func (d *Dispatcher) Tick(now time.Time) []Action {
	var out []Action

	for _, s := range d.services {
		if len(s.waiting) > 0 {
			out = append(out, d.place(now, s)...)
		}
	}

	return out
}

// Waiting returns how many requests wait.
func (d *Dispatcher) Waiting() int {
	n := 0
	for _, s := range d.services {
		n += len(s.waiting)
	}

	return n
}
