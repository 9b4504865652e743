package role

import (
	"context"
	"strings"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

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
