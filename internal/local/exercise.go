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

// phaseCount is the number of phases of an exercise. They are equally long.
const phaseCount = 5

// The phases of an exercise.
const (
	phaseBefore     = "1-before"
	phaseZoneOut    = "2-zone-out"
	phaseZoneBack   = "3-zone-back"
	phaseSuddenCold = "4-sudden-cold"
	phaseZoneLost   = "5-zone-lost"
)

const (
	// pollInterval is the time between two requests to the control VMs.
	pollInterval = 20 * time.Millisecond
	// controlTimeout bounds the time until a control VM answers, and until a decision
	// is in force. It covers a lease, a margin and some slack.
	controlTimeout = 8 * time.Second
)

// Exercise sends load to a running deployment while a zone is taken out and brought
// back, an engine turns cold, another restarts, and a zone fails. It checks the
// guarantees to callers. The exported fields must be set before Run.
type Exercise struct {
	Instance *Instance
	// Duration is the time of all phases together.
	Duration time.Duration
	// Rate is the number of requests per second.
	Rate float64
	Seed uint64
	Out  io.Writer

	phase      atomic.Value
	violations []string
}

// Run runs the exercise. It returns an error if a guarantee was violated.
func (x *Exercise) Run(ctx context.Context) error {
	x.phase.Store(phaseBefore)

	generator := x.newGenerator()
	done := make(chan error, 1)

	go func() { done <- x.runPhases(ctx) }()

	report, err := generator.Run(ctx)
	if phaseErr := <-done; err == nil {
		err = phaseErr
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
		return eris.Errorf("%d promises were broken", len(x.violations))
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

// Runs returns how many times each booking ran, over all booking services.
func (inst *Instance) Runs(context.Context) (map[string]int, error) {
	all := make(map[string]int)

	for _, t := range inst.bookingTargets {
		for ref, n := range t.Bookings.Runs() {
			all[ref] += n
		}
	}

	return all, nil
}

// runPhases changes the deployment from phase to phase while the load runs.
func (x *Exercise) runPhases(ctx context.Context) error {
	phase := x.Duration / phaseCount
	zone := x.Instance.Deployment.Zones[0]

	if !pauses.Sleep(ctx, phase) {
		return nil
	}

	x.phase.Store(phaseZoneOut)

	if err := x.setZoneOut(ctx, 2, zone, true); err != nil {
		return err
	}

	if err := x.checkZoneIdle(ctx, zone, phase); err != nil {
		return err
	}

	// The zone is brought back only after its requests have ended.
	for x.inFlight(zone) > 0 {
		if !pauses.Sleep(ctx, pollInterval) {
			return nil
		}
	}

	x.phase.Store(phaseZoneBack)
	x.restartZone(zone)

	if err := x.setZoneOut(ctx, 3, zone, false); err != nil {
		return err
	}

	if !pauses.Sleep(ctx, phase) {
		return nil
	}

	x.phase.Store(phaseSuddenCold)
	engines := x.Instance.engineTargets
	engines[len(engines)-1].Engine.TurnCold()
	x.restartEngine(engines[len(engines)-2])

	if !pauses.Sleep(ctx, phase) {
		return nil
	}

	x.phase.Store(phaseZoneLost)
	x.stopZone(x.Instance.Deployment.Zones[1])

	return nil
}

// stopZone stops all targets of a zone without notice, as a power failure does.
// Their requests in flight are aborted.
func (x *Exercise) stopZone(zone string) {
	for _, t := range slices.Concat(x.Instance.engineTargets, x.Instance.bookingTargets) {
		if t.Zone == zone {
			t.Stop()
		}
	}
}

// setZoneOut takes a zone out of service or brings it back, as an operator does.
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

	// Confirm can be repeated: a decision is made once per number and plan.
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

// tryEachControl calls the n control VMs in turn until one returns anything but
// Unavailable, as the operators' commands do. A control VM that has just lost its
// leader returns Unavailable, which happens on a busy machine and must not end the
// exercise.
func tryEachControl[T any](ctx context.Context, n int, call func(i int) (T, error)) (T, error) {
	start := time.Now()

	for i := 0; ; i = (i + 1) % n {
		answer, err := call(i)

		var twirpErr twirp.Error
		if err == nil || !errors.As(err, &twirpErr) || twirpErr.Code() != twirp.Unavailable {
			return answer, err
		}

		if time.Since(start) >= controlTimeout || !pauses.Sleep(ctx, pollInterval) {
			return answer, err
		}
	}
}

// awaitInForce waits until a control VM reports that a decision is in force on all
// processes, and returns how long that took.
func (x *Exercise) awaitInForce(ctx context.Context, number uint64) (time.Duration, error) {
	start := time.Now()

	for time.Since(start) < controlTimeout {
		// The leader made the decision, and this control VM may not have received it yet.
		r, err := x.Instance.controls[0].Server().Status(ctx, &wire.StatusRequest{Number: number})
		if d := r.GetDecisions(); err == nil && len(d) == 1 && d[0].GetInForce() {
			return time.Since(start), nil
		}

		if !pauses.Sleep(ctx, pollInterval) {
			return 0, nil
		}
	}

	return 0, eris.Errorf("decision %d was not reported in force within %s", number, controlTimeout)
}

// checkZoneIdle waits until the decision to take a zone out is in force, and checks
// that the zone receives no new requests in the rest of d.
func (x *Exercise) checkZoneIdle(ctx context.Context, zone string, d time.Duration) error {
	end := time.Now().Add(d)

	took, err := x.awaitInForce(ctx, 2)
	if err != nil {
		return err
	}

	_, _ = fmt.Fprintf(x.Out, "zone %s out: in force everywhere after %s\n", zone, took.Round(time.Millisecond))

	before := x.startedRequests(zone)

	if !pauses.Sleep(ctx, time.Until(end)) {
		return nil
	}

	if after := x.startedRequests(zone); after != before {
		x.violations = append(x.violations, fmt.Sprintf("%d requests started in zone %s after the decision to take it out was in force", after-before, zone))
	}

	return nil
}

// sumEngines returns the sum of count over the engines of a zone.
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

// restartZone restarts the engines of a zone, as happens when a zone is brought back.
func (x *Exercise) restartZone(zone string) {
	for _, t := range x.Instance.engineTargets {
		if t.Zone == zone {
			x.restartEngine(t)
		}
	}
}

// restartEngine restarts an engine, and with it its rank of an expert group.
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
			_, _ = fmt.Fprintf(x.Out, "%s started %d requests above its cold limit before its agent could know that it was cold\n", t.AgentID, s.Early)
		}

		if s.Overruns > 0 {
			x.violations = append(x.violations, fmt.Sprintf("%s had %d requests in flight while cold; its limit is %d", t.AgentID, s.PeakCold, t.Service.ColdLimit))
		}
	}
}

// checkGroups prints the state of the expert groups. It checks that each group made
// steps and that no step used two maps.
func (x *Exercise) checkGroups() {
	for _, name := range slices.Sorted(maps.Keys(x.Instance.groups)) {
		s := x.Instance.groups[name].State()
		_, _ = fmt.Fprintf(x.Out, "group %s: %d steps, maps in use %v, step-time skew p50 %.2f first quarter, %.2f last quarter\n",
			name, s.Steps, s.MapVersions, median(s.Skews[:len(s.Skews)/4]), median(s.Skews[len(s.Skews)*3/4:]))

		if s.MixedSteps > 0 {
			x.violations = append(x.violations, fmt.Sprintf("group %s used two maps in %d steps", name, s.MixedSteps))
		}

		if s.Steps == 0 {
			x.violations = append(x.violations, fmt.Sprintf("group %s completed no step", name))
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
