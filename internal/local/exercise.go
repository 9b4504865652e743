package local

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/load"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/testserver"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// phaseCount is how many phases an exercise has; each takes an equal share of its time.
const phaseCount = 5

// The phases of an exercise.
const (
	phaseBefore     = "1-before"
	phaseZoneOut    = "2-zone-out"
	phaseZoneBack   = "3-zone-back"
	phaseSuddenCold = "4-sudden-cold"
	phaseZoneLost   = "5-zone-lost"
)

// forceCheck is how often the exercise looks whether a decision is in force, and
// forceBound how long that may take: a lease, a margin, and some slack.
const (
	pollInterval   = 20 * time.Millisecond
	controlTimeout = 8 * time.Second
)

// Exercise drives load at a running deployment while a zone leaves and returns
// and a target turns cold. Its fields are set before Run.
type Exercise struct {
	Instance *Instance
	// Duration is the time of the whole exercise.
	Duration time.Duration
	// Rate is requests a second.
	Rate float64
	Seed uint64
	Out  io.Writer

	phase      atomic.Value
	violations []string
}

// Run runs the exercise and returns an error where a promise broke.
func (x *Exercise) Run(ctx context.Context) error {
	x.phase.Store(phaseBefore)

	generator := x.newGenerator()
	done := make(chan error, 1)

	go func() { done <- x.runPhases(ctx) }()

	report, err := generator.Run(ctx)
	if scriptErr := <-done; err == nil {
		err = scriptErr
	}

	if report != nil {
		report.Print(x.Out)
	}

	if err != nil {
		return err
	}

	x.checkReport(report)
	x.checkGroups()

	for _, line := range x.violations {
		_, _ = fmt.Fprintln(x.Out, "BROKEN:", line)
	}

	if len(x.violations) > 0 {
		return eris.Errorf("%d promises broke", len(x.violations))
	}

	_, _ = fmt.Fprintln(x.Out, "every promise held")

	return nil
}

func (x *Exercise) newGenerator() *load.Generator {
	d := &x.Instance.Deployment

	return &load.Generator{
		Entries: x.Instance.Entries(), DraftService: d.serviceName(true), BookingService: d.serviceName(false),
		Rate: x.Rate, Duration: x.Duration, BookingShare: 0.2, Tokens: 40, Workspaces: 10,
		Timeout: 10 * time.Second, Seed: x.Seed, MaxInFlight: 4096,
		Phase: func() string { return x.phase.Load().(string) },
		Runs:  x.Instance.Runs,
	}
}

// Runs returns how often each booking ran, from all desks.
func (inst *Instance) Runs(context.Context) (map[string]int, error) {
	all := make(map[string]int)

	for _, t := range inst.bookingTargets {
		for ref, n := range t.Bookings.Runs() {
			all[ref] += n
		}
	}

	return all, nil
}

// runPhases is what happens to the deployment while the load runs.
func (x *Exercise) runPhases(ctx context.Context) error {
	phase := x.Duration / phaseCount
	zone := x.Instance.Deployment.Zones[0]

	if !pauses.For(ctx, phase) {
		return nil
	}

	x.phase.Store(phaseZoneOut)

	if err := x.setZoneOut(ctx, 2, zone, true); err != nil {
		return err
	}

	if err := x.checkZoneIdle(ctx, zone, phase); err != nil {
		return err
	}

	// A zone that was taken out is given back only when its work has finished.
	for x.inFlight(zone) > 0 {
		if !pauses.For(ctx, pollInterval) {
			return nil
		}
	}

	x.phase.Store(phaseZoneBack)
	x.restartZone(zone)

	if err := x.setZoneOut(ctx, 3, zone, false); err != nil {
		return err
	}

	if !pauses.For(ctx, phase) {
		return nil
	}

	x.phase.Store(phaseSuddenCold)
	engines := x.Instance.engineTargets
	engines[len(engines)-1].Engine.TurnCold()
	x.restartEngine(engines[len(engines)-2])

	if !pauses.For(ctx, phase) {
		return nil
	}

	x.phase.Store(phaseZoneLost)
	x.stopZone(x.Instance.Deployment.Zones[1])

	return nil
}

// stopZone ends all targets of a zone without notice, as the loss of its power does.
// What they had in flight ends with them.
func (x *Exercise) stopZone(zone string) {
	for _, t := range slices.Concat(x.Instance.engineTargets, x.Instance.bookingTargets) {
		if t.Zone == zone {
			t.Stop()
		}
	}
}

// setZoneOut takes a zone out or brings it back, as an operator does.
func (x *Exercise) setZoneOut(ctx context.Context, number uint64, zone string, out bool) error {
	controls := x.Instance.controls

	planned, err := tryEachControl(ctx, len(controls), func(i int) (*wire.PlanResponse, error) {
		return controls[i].Server().Plan(ctx, &wire.PlanRequest{
			Operator: "exercise", Source: "exercise", Override: true,
			Declaration: fmt.Appendf(nil, "[Zone %q]\nOut = %t\n", zone, out),
		})
	})
	if err != nil {
		return eris.Wrap(err, "plan")
	}

	// A decision that is sent again under its number and plan is made once.
	r, err := tryEachControl(ctx, len(controls), func(i int) (*wire.ConfirmResponse, error) {
		return controls[i].Server().Confirm(ctx, &wire.ConfirmRequest{Operator: "exercise", Number: number, PlanID: planned.GetPlan().GetID()})
	})
	if err != nil {
		return eris.Wrap(err, "confirm")
	}

	if s := r.GetAnswer().GetState(); s != wire.DecisionState_DecisionMade {
		return eris.Errorf("decision %d: %s %v", number, s, r.GetAnswer().GetDetails())
	}

	return nil
}

// tryEachControl puts a question to one of n control VMs after the other until one answers
// it, as the operators' command does. A control VM whose leader was just lost says
// truthfully that it is not current: on a busy machine that ended the exercise.
func tryEachControl[T any](ctx context.Context, n int, call func(i int) (T, error)) (T, error) {
	start := time.Now()

	for i := 0; ; i = (i + 1) % n {
		answer, err := call(i)

		var twirpErr twirp.Error
		if err == nil || !errors.As(err, &twirpErr) || twirpErr.Code() != twirp.Unavailable {
			return answer, err
		}

		if time.Since(start) >= controlTimeout || !pauses.For(ctx, pollInterval) {
			return answer, err
		}
	}
}

// awaitInForce waits until the control VMs say that a decision is in force everywhere.
func (x *Exercise) awaitInForce(ctx context.Context, number uint64) (time.Duration, error) {
	start := time.Now()

	for time.Since(start) < controlTimeout {
		// This control VM may not have heard of the decision yet: the leader made it.
		r, err := x.Instance.controls[0].Server().Status(ctx, &wire.StatusRequest{Number: number})
		if d := r.GetDecisions(); err == nil && len(d) == 1 && d[0].GetInForce() {
			return time.Since(start), nil
		}

		if !pauses.For(ctx, pollInterval) {
			return 0, nil
		}
	}

	return 0, eris.Errorf("decision %d is not said to be in force after %s", number, controlTimeout)
}

// checkZoneIdle checks that a zone that is out gets no new work once that is in force.
func (x *Exercise) checkZoneIdle(ctx context.Context, zone string, d time.Duration) error {
	end := time.Now().Add(d)

	took, err := x.awaitInForce(ctx, 2)
	if err != nil {
		return err
	}

	_, _ = fmt.Fprintf(x.Out, "zone %s out: in force everywhere after %s\n", zone, took.Round(time.Millisecond))

	before := x.startedRequests(zone)

	if !pauses.For(ctx, time.Until(end)) {
		return nil
	}

	if after := x.startedRequests(zone); after != before {
		x.violations = append(x.violations, fmt.Sprintf("%d requests began in zone %s after it was taken out", after-before, zone))
	}

	return nil
}

// sumEngines adds up what count says of each engine in a zone.
func (x *Exercise) sumEngines(zone string, count func(testserver.EngineState) int) int {
	n := 0

	for _, t := range x.Instance.engineTargets {
		if t.Zone == zone {
			n += count(t.Engine.State())
		}
	}

	return n
}

func (x *Exercise) inFlight(zone string) int {
	return x.sumEngines(zone, func(s testserver.EngineState) int { return s.InFlight })
}

func (x *Exercise) startedRequests(zone string) int {
	n := x.sumEngines(zone, func(s testserver.EngineState) int { return s.Begun })

	for _, t := range x.Instance.bookingTargets {
		if t.Zone == zone {
			n += len(t.Bookings.Runs())
		}
	}

	return n
}

// restartZone starts the engines of a zone anew, as those of a zone that returns are.
func (x *Exercise) restartZone(zone string) {
	for _, t := range x.Instance.engineTargets {
		if t.Zone == zone {
			x.restartEngine(t)
		}
	}
}

// restartEngine restarts an engine, which is also a rank of its group.
func (x *Exercise) restartEngine(t *Target) {
	t.Engine.Restart()

	if group := x.Instance.groups[t.Group]; group != nil {
		group.RestartRank(t.Rank)
	}
}

func (x *Exercise) checkReport(r *load.Report) {
	if r.HasViolations() {
		x.violations = append(x.violations, fmt.Sprintf("wrong answers %d, doubled %v, ran after NotRun %v, answered but not run %v",
			r.Count("Wrong"), r.Duplicated, r.RanAfterNotRun, r.AnsweredNotRun))
	}

	if n := r.Count("Cut"); n > 0 {
		x.violations = append(x.violations, fmt.Sprintf("%d answers cut by planned changes", n))
	}

	for _, t := range x.Instance.engineTargets {
		s := t.Engine.State()
		if s.Early > 0 {
			_, _ = fmt.Fprintf(x.Out, "%s began %d requests above its cold limit before its agent could know\n", t.AgentID, s.Early)
		}

		if s.Overruns > 0 {
			x.violations = append(x.violations, fmt.Sprintf("%s had %d requests while cold and bears %d", t.AgentID, s.PeakCold, t.Service.ColdLimit))
		}
	}
}

// checkGroups prints what became of the expert groups, and holds that no step
// used two maps.
func (x *Exercise) checkGroups() {
	for _, name := range slices.Sorted(maps.Keys(x.Instance.groups)) {
		s := x.Instance.groups[name].State()
		_, _ = fmt.Fprintf(x.Out, "group %s: %d steps, maps in use %v, step-time skew p50 %.2f first quarter, %.2f last quarter\n",
			name, s.Steps, s.MapVersions, median(s.Skews[:len(s.Skews)/4]), median(s.Skews[len(s.Skews)*3/4:]))

		if s.MixedSteps > 0 {
			x.violations = append(x.violations, fmt.Sprintf("group %s used two maps in %d steps", name, s.MixedSteps))
		}

		if s.Steps == 0 {
			x.violations = append(x.violations, fmt.Sprintf("group %s made no step", name))
		}
	}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}

	sorted := slices.Sorted(slices.Values(values))

	return sorted[len(sorted)/2]
}
