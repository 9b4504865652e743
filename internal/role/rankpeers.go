package role

import (
	"context"
	"errors"
	"net/netip"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// rankTargets returns the targets of a group by rank, and their service. Of several
// incarnations of a rank in the directory, it returns the latest. It leaves out targets that
// claim a rank which the group does not have.
func (a *RankAgent) rankTargets(f *view.ClusterState, r lockstep.Report) (map[int]directory.Target, string) {
	out := make(map[int]directory.Target)
	service := ""

	for _, t := range f.Targets {
		if t.Group.Rank < 0 || t.Group.Rank >= r.Size {
			continue
		}

		if have, ok := out[t.Group.Rank]; t.Group.Name == r.Group && (!ok || t.Group.Epoch > have.Group.Epoch || t.StartTime > have.StartTime) {
			out[t.Group.Rank] = t
			service = t.Service
		}
	}

	return out, service
}

// warnOfForeignRanks logs the targets that claim a rank which the group does not have. They
// receive no orders.
func (a *RankAgent) warnOfForeignRanks(f *view.ClusterState, r lockstep.Report) {
	for _, t := range f.Targets {
		if t.Group.Name == r.Group && (t.Group.Rank < 0 || t.Group.Rank >= r.Size) {
			a.logger.Warn("A target claims a rank that its group does not have; it receives no orders.",
				"target", t.ID, "group", r.Group, "rank", t.Group.Rank, "size", r.Size)
		}
	}
}

// errUnknownRank means that the directory contains no target for a rank.
var errUnknownRank = errors.New("role: the directory has no target for the rank")

func (a *RankAgent) target(r lockstep.Report, rank int) (directory.Target, error) {
	ranks, _ := a.rankTargets(a.follower.State(), r)

	t, ok := ranks[rank]
	if !ok {
		return t, errUnknownRank
	}

	return t, nil
}

// peerAddress returns the address of the agent beside a target. All agents listen at
// the same port.
func (a *RankAgent) peerAddress(t directory.Target) string {
	self, _ := netip.ParseAddrPort(a.Listener.Addr().String())

	return netip.AddrPortFrom(t.Address.Addr(), self.Port()).String()
}

func (a *RankAgent) peer(t directory.Target) wire.RankPeer {
	return wire.NewRankPeerProtobufClient("http://"+a.peerAddress(t), a.peerHTTP)
}

func (a *RankAgent) engineClient(t directory.Target) lockstep.Engine { return a.engines.get(t.Address) }

func (a *RankAgent) pollFunc(group lockstep.Report) func(context.Context, int, lockstep.PollRequest) (lockstep.PollResult, error) {
	return func(ctx context.Context, rank int, q lockstep.PollRequest) (lockstep.PollResult, error) {
		others := a.countNeighbours(group, rank, q)
		if rank == group.Rank {
			return a.pollLocal(ctx, q, others)
		}

		t, err := a.target(group, rank)
		if err != nil {
			return lockstep.PollResult{}, err
		}

		return a.pollTarget(ctx, t, q, others)
	}
}

// pollTarget polls the rank of a target through the agent beside it.
func (a *RankAgent) pollTarget(ctx context.Context, t directory.Target, q lockstep.PollRequest, others []string) (lockstep.PollResult, error) {
	if a.isLocal(t) {
		return a.pollLocal(ctx, q, others)
	}

	timeout := peerTimeout
	if len(others) > 0 {
		timeout = peerSumTimeout
	}

	attemptCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	r := &wire.LookRequest{Cluster: a.Cluster, Counts: q.Counts, Lists: q.Experts, Others: others}

	if q.Counts {
		out, counts, err := a.fetchCounts(attemptCtx, a.peerAddress(t), r)
		if err == nil {
			l := pollResultFromWire(out)
			l.Counts = counts

			return l, nil
		}
	} else if out, err := a.peer(t).Look(attemptCtx, r); err == nil {
		return pollResultFromWire(out), nil
	}

	// The agent beside the target may be restarting. The engine is then asked directly,
	// but only for its report, which is small.
	report, err := a.engineClient(t).Report(ctx)

	return lockstep.PollResult{Report: report}, err
}

// countNeighbours returns the agents whose counts a rank's agent must add to those of
// its own engine.
func (a *RankAgent) countNeighbours(group lockstep.Report, rank int, q lockstep.PollRequest) []string {
	var out []string

	for other := rank + 1; q.Counts && other < rank+q.SumRanks; other++ {
		if t, err := a.target(group, other); err == nil {
			out = append(out, a.peerAddress(t))
		}
	}

	return out
}

func (a *RankAgent) orderFunc(group lockstep.Report) func(context.Context, int, *wire.EngineOrder) wire.EngineResult {
	return func(ctx context.Context, rank int, o *wire.EngineOrder) wire.EngineResult {
		t, err := a.target(group, rank)
		if err != nil {
			return wire.EngineResult_EngineUnknown
		}

		sent := copyOrder(a.Cluster, o.GetVersion(), o)

		if isHoldOrGo(o) {
			if got := a.orderThroughRelay(ctx, t, sent); got != wire.EngineResult_EngineUnknown {
				return got
			}

			return a.engineClient(t).Order(ctx, o)
		}

		return a.orderTarget(ctx, t, sent)
	}
}

// orderTarget sends an order to the engine of a target through the agent beside it, and
// directly if that fails.
func (a *RankAgent) orderTarget(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	if a.isLocal(t) {
		return a.Engine.Order(ctx, o)
	}

	if got := a.orderThroughPeer(ctx, t, o); got != wire.EngineResult_EngineUnknown {
		return got
	}

	return a.engineClient(t).Order(ctx, o)
}

// orderThroughPeer sends an order through the agent beside a target. A map is first
// sent as differences from the map in use, which most agents have.
func (a *RankAgent) orderThroughPeer(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	if o.GetKind() != wire.EngineOrderKind_EngineOrderPrepare {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()

		return a.sendToPeer(ctx, t, o)
	}

	p := a.pack(o)
	if p.delta != nil {
		if got := a.sendToPeer(ctx, t, p.delta); got != wire.EngineResult_EngineNoBase {
			return got
		}
	}

	return a.sendToPeer(ctx, t, p.full)
}

func (a *RankAgent) sendToPeer(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	out, err := a.peer(t).Order(ctx, o)
	if err != nil {
		return wire.EngineResult_EngineUnknown
	}

	return out.GetResult()
}

// isHoldOrGo reports whether an order holds a step or releases it. Such orders are
// relayed by a VM without an engine. If a rank's own VM sent one and then froze, no
// agent could ask its engine whether it is armed, and the group would be blocked until
// that VM resumes.
func isHoldOrGo(o *wire.EngineOrder) bool {
	return o.GetKind() == wire.EngineOrderKind_EngineOrderHold || o.GetKind() == wire.EngineOrderKind_EngineOrderGo
}

// maxRelayAttempts is the number of entries that are tried as a relay.
const maxRelayAttempts = 2

// orderThroughRelay sends an order through an entry.
func (a *RankAgent) orderThroughRelay(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	relays := a.follower.State().Relays

	for i := range min(maxRelayAttempts, len(relays)) {
		addr := relays[(int(a.relayIndex.Load())+i)%len(relays)]
		attemptCtx, cancel := context.WithTimeout(ctx, peerTimeout)
		out, err := wire.NewEngineRelayProtobufClient("http://"+addr.String(), a.peerHTTP).Relay(attemptCtx, &wire.RelayedOrder{Engine: t.Address.String(), Order: o})

		cancel()

		if err == nil && out.GetResult() != wire.EngineResult_EngineUnknown {
			return out.GetResult()
		}

		a.relayIndex.Add(1)
	}

	return wire.EngineResult_EngineUnknown
}

func pollResultFromWire(w *wire.LookAnswer) lockstep.PollResult {
	l := lockstep.PollResult{Report: lockstep.ReportFromWire(w.GetReport()), Counts: w.GetCounts(), MapVersion: w.GetListsOf()}

	if len(w.GetPaces()) > 0 {
		l.Slowdowns = make(map[int]float64, len(w.GetPaces()))
	}

	for _, p := range w.GetPaces() {
		l.Slowdowns[int(p.GetRank())] = p.GetPace()
	}

	for _, set := range w.GetLists() {
		experts := make([]uint16, 0, len(set.GetExperts()))
		for _, e := range set.GetExperts() {
			experts = append(experts, uint16(e))
		}

		l.Experts = append(l.Experts, experts)
	}

	return l
}
