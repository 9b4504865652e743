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

// ranks returns the targets of a group by rank, and their service. An earlier
// incarnation that the directory still holds gives way to the later one.
func (a *RankAgent) ranks(f *view.ClusterState, r lockstep.Report) (map[int]directory.Target, string) {
	out := make(map[int]directory.Target)
	service := ""

	for _, t := range f.Targets {
		if have, ok := out[t.Group.Rank]; t.Group.Name == r.Group && (!ok || t.Group.Epoch > have.Group.Epoch || t.StartTime > have.StartTime) {
			out[t.Group.Rank] = t
			service = t.Service
		}
	}

	return out, service
}

// errNoRank says that the directory names no target for a rank.
var errNoRank = errors.New("role: the rank's target is not known")

func (a *RankAgent) target(r lockstep.Report, rank int) (directory.Target, error) {
	ranks, _ := a.ranks(a.follower.State(), r)

	t, ok := ranks[rank]
	if !ok {
		return t, errNoRank
	}

	return t, nil
}

// peerAddress returns where the agent beside a target listens: at this agent's own
// port.
func (a *RankAgent) peerAddress(t directory.Target) string {
	own, _ := netip.ParseAddrPort(a.Listener.Addr().String())

	return netip.AddrPortFrom(t.Address.Addr(), own.Port()).String()
}

func (a *RankAgent) peer(t directory.Target) wire.RankPeer {
	return wire.NewRankPeerProtobufClient("http://"+a.peerAddress(t), a.peers)
}

func (a *RankAgent) engineOf(t directory.Target) lockstep.Engine { return a.engines.of(t.Address) }

func (a *RankAgent) lookAt(group lockstep.Report) func(context.Context, int, lockstep.PollRequest) (lockstep.PollResult, error) {
	return func(ctx context.Context, rank int, q lockstep.PollRequest) (lockstep.PollResult, error) {
		others := a.neighbours(group, rank, q)
		if rank == group.Rank {
			return a.look(ctx, q, others)
		}

		t, err := a.target(group, rank)
		if err != nil {
			return lockstep.PollResult{}, err
		}

		return a.lookAtRank(ctx, t, q, others)
	}
}

// lookAtRank looks at the rank of a target by way of the agent beside it.
func (a *RankAgent) lookAtRank(ctx context.Context, t directory.Target, q lockstep.PollRequest, others []string) (lockstep.PollResult, error) {
	if a.own(t) {
		return a.look(ctx, q, others)
	}

	within := rankPeer
	if len(others) > 0 {
		within = rankSum
	}

	try, cancel := context.WithTimeout(ctx, within)
	defer cancel()

	r := &wire.LookRequest{Cluster: a.Cluster, Counts: q.Counts, Lists: q.Experts, Others: others}

	if q.Counts {
		out, counts, err := a.askCounts(try, a.peerAddress(t), r)
		if err == nil {
			l := lookFromWire(out)
			l.Counts = counts

			return l, nil
		}
	} else if out, err := a.peer(t).Look(try, r); err == nil {
		return lookFromWire(out), nil
	}

	// Its agent may just be starting again. The report alone is cheap from afar.
	report, err := a.engineOf(t).Report(ctx)

	return lockstep.PollResult{Report: report}, err
}

// neighbours returns the agents whose counts a rank's agent is to add to its own.
func (a *RankAgent) neighbours(group lockstep.Report, rank int, q lockstep.PollRequest) []string {
	var out []string

	for other := rank + 1; q.Counts && other < rank+q.SumRanks; other++ {
		if t, err := a.target(group, other); err == nil {
			out = append(out, a.peerAddress(t))
		}
	}

	return out
}

func (a *RankAgent) orderAt(group lockstep.Report) func(context.Context, int, *wire.EngineOrder) wire.EngineResult {
	return func(ctx context.Context, rank int, o *wire.EngineOrder) wire.EngineResult {
		t, err := a.target(group, rank)
		if err != nil {
			return wire.EngineResult_EngineUnknown
		}

		sent := orderOf(a.Cluster, o.GetVersion(), o)

		if stopsTheGroup(o) {
			if got := a.relayed(ctx, t, sent); got != wire.EngineResult_EngineUnknown {
				return got
			}

			return a.engineOf(t).Order(ctx, o)
		}

		return a.orderRank(ctx, t, sent)
	}
}

// orderRank gives an order to the rank of a target by way of the agent beside it.
func (a *RankAgent) orderRank(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	if a.own(t) {
		return a.Engine.Order(ctx, o)
	}

	if got := a.byPeer(ctx, t, o); got != wire.EngineResult_EngineUnknown {
		return got
	}

	return a.engineOf(t).Order(ctx, o)
}

// byPeer gives an order by way of the agent beside a target. A map goes as the
// changes from the one in use, which most agents know.
func (a *RankAgent) byPeer(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	if o.GetKind() != wire.EngineOrderKind_EngineOrderPrepare {
		ctx, cancel := context.WithTimeout(ctx, rankPeer)
		defer cancel()

		return a.send(ctx, t, o)
	}

	p := a.pack(o)
	if p.changes != nil {
		if got := a.send(ctx, t, p.changes); got != wire.EngineResult_EngineNoBase {
			return got
		}
	}

	return a.send(ctx, t, p.whole)
}

func (a *RankAgent) send(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	out, err := a.peer(t).Order(ctx, o)
	if err != nil {
		return wire.EngineResult_EngineUnknown
	}

	return out.GetResult()
}

// stopsTheGroup reports whether an order holds a step, or ends that. These go by a
// VM without an engine: where a rank's own VM froze just after it had given one,
// nobody could ask its engine whether it is armed, and the group would stand still
// until that VM wakes.
func stopsTheGroup(o *wire.EngineOrder) bool {
	return o.GetKind() == wire.EngineOrderKind_EngineOrderHold || o.GetKind() == wire.EngineOrderKind_EngineOrderGo
}

// relayTries is how many entries are tried.
const relayTries = 2

// relayed gives an order by way of an entry.
func (a *RankAgent) relayed(ctx context.Context, t directory.Target, o *wire.EngineOrder) wire.EngineResult {
	relays := a.follower.State().Relays

	for i := range min(relayTries, len(relays)) {
		at := relays[(int(a.relay.Load())+i)%len(relays)]
		try, cancel := context.WithTimeout(ctx, rankPeer)
		out, err := wire.NewEngineRelayProtobufClient("http://"+at.String(), a.peers).Relay(try, &wire.RelayedOrder{Engine: t.Address.String(), Order: o})

		cancel()

		if err == nil && out.GetResult() != wire.EngineResult_EngineUnknown {
			return out.GetResult()
		}

		a.relay.Add(1)
	}

	return wire.EngineResult_EngineUnknown
}

func lookFromWire(w *wire.LookAnswer) lockstep.PollResult {
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
