package role

import (
	"context"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/loadreport"
	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

func (a *RankAgent) load(ctx context.Context) (loadreport.Load, error) {
	r, err := a.Engine.Report(ctx)
	if err != nil {
		return loadreport.Load{}, err
	}

	now := time.Now()
	a.lastReport.Store(&receivedReport{report: r, at: now})

	return loadreport.Load{
		Running: r.Running, Waiting: r.Waiting, Slowdown: r.Pace,
		Stalled: a.steps.isStalled(now, r), Broken: r.Group != "" && !r.Open,
	}, nil
}

// stepProgress tells whether the group of an engine makes progress.
type stepProgress struct {
	epoch, step uint64
	// since is when the step began, or when the engine last had no requests.
	since time.Time
}

// stallTime is how long an engine with requests begins no step until its group counts as
// stalled. It exceeds the steps of a group with a slow rank that callers can still bear.
const stallTime = 400 * time.Millisecond

// isStalled records a report of the engine, and reports whether its group is stalled.
func (s *stepProgress) isStalled(now time.Time, r lockstep.Report) bool {
	if r.Running+r.Waiting == 0 || r.Epoch != s.epoch || r.Step != s.step {
		*s = stepProgress{epoch: r.Epoch, step: r.Step, since: now}
	}

	return now.Sub(s.since) >= stallTime
}

// receivedReport is a report of the engine on this VM, received at at.
type receivedReport struct {
	report lockstep.Report
	at     time.Time
}

// recentReport returns the report that was fetched for the load if it is less than maxAge old,
// else a new one.
func (a *RankAgent) recentReport(ctx context.Context, maxAge time.Duration) (lockstep.Report, error) {
	if last := a.lastReport.Load(); last != nil && time.Since(last.at) < maxAge {
		return last.report, nil
	}

	return a.Engine.Report(ctx)
}

// RankState is the part of a dump that describes the engine on this VM.
type RankState struct {
	Report lockstep.Report
	Error  string
}

func errorText(err error) string {
	if err == nil {
		return ""
	}

	return err.Error()
}

// pollLocal polls the engine on this VM, and adds the counts of the agents in others.
func (a *RankAgent) pollLocal(ctx context.Context, q lockstep.PollRequest, others []string) (lockstep.PollResult, error) {
	report, err := a.Engine.Report(ctx)
	out := lockstep.PollResult{Report: report}

	if err == nil {
		a.mu.Lock()
		a.activeVersion = report.Map
		a.mu.Unlock()
	}

	if err == nil && q.Counts {
		out.Counts, err = a.Engine.Counts(ctx)
	}

	if err == nil && len(others) > 0 {
		err = a.addCounts(ctx, &out, others)
	}

	if err == nil && q.Experts {
		out.MapVersion, out.Experts, err = a.Engine.Experts(ctx)
	}

	return out, err
}

// Look implements wire.RankPeer.
func (a *RankAgent) Look(ctx context.Context, r *wire.LookRequest) (*wire.LookAnswer, error) {
	if r.GetCluster() != a.Cluster {
		return nil, errOtherCluster
	}

	l, err := a.pollLocal(ctx, lockstep.PollRequest{Counts: r.GetCounts(), Experts: r.GetLists()}, r.GetOthers())
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error()) //nolint:wrapcheck // the server needs a twirp.Error
	}

	out := pollResultToWire(l)

	if r.GetCounts() {
		a.mu.Lock()
		a.countEncoder.Encode(out, strings.Join(r.GetOthers(), ","), l.Counts, r.GetKnown())
		a.mu.Unlock()
	}

	return out, nil
}

func pollResultToWire(l lockstep.PollResult) *wire.LookAnswer {
	out := &wire.LookAnswer{Report: l.Report.ToWire(), Counts: l.Counts, ListsOf: l.MapVersion}
	for rank, pace := range l.Slowdowns {
		out.Paces = append(out.Paces, &wire.RankPace{Rank: uint32(rank), Pace: pace})
	}

	for _, set := range l.Experts {
		out.Lists = append(out.Lists, lockstep.ExpertSetToWire(set))
	}

	return out
}

// Order implements wire.RankPeer.
func (a *RankAgent) Order(ctx context.Context, o *wire.EngineOrder) (*wire.EngineOrderAnswer, error) {
	if o.GetCluster() != a.Cluster {
		return nil, errOtherCluster
	}

	ok, err := a.unpackOrder(o)

	switch {
	case err != nil:
		return nil, err
	case !ok:
		return &wire.EngineOrderAnswer{Result: wire.EngineResult_EngineNoBase}, nil
	}

	return &wire.EngineOrderAnswer{Result: a.Engine.Order(ctx, o)}, nil
}

// unpackOrder unpacks the map of an order. It reports false if the map was sent as
// differences from a map that this agent does not have.
func (a *RankAgent) unpackOrder(o *wire.EngineOrder) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()

	ok, err := a.maps.UnpackOrder(o)
	if err != nil {
		return false, twirp.InvalidArgumentError("Map", err.Error()) //nolint:wrapcheck // the server needs a twirp.Error
	}

	return ok, nil
}

// errOtherCluster rejects requests that were sent by another deployment.
var errOtherCluster = twirp.NewError(twirp.FailedPrecondition, "this agent belongs to another cluster")
