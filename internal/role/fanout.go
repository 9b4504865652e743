package role

import (
	"context"
	"errors"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// errNoRankAnswer means that a helping agent returned no outcome for a rank.
var errNoRankAnswer = errors.New("role: no outcome for the rank")

// helperReserveDivisor sets the time that a helping agent reserves for its own answer:
// 4 means a quarter of the remaining time.
const helperReserveDivisor = 4

// fanOutFunc returns the function that sends a request to many ranks of a group. The
// ranks are divided into parts, and one agent of each part, the helper, forwards the
// request to the ranks of its part. If a helper does not answer, its part has no
// result, and the next request uses another helper.
func (a *RankAgent) fanOutFunc(group lockstep.Report) func(context.Context, []int, lockstep.FanOutRequest) []lockstep.FanOutResult {
	return func(ctx context.Context, ranks []int, e lockstep.FanOutRequest) []lockstep.FanOutResult {
		targets, _ := a.rankTargets(a.follower.State(), group)
		size := int(math.Ceil(math.Sqrt(float64(len(ranks)))))
		parts := slices.Collect(slices.Chunk(ranks, size))

		results := gatherMost(ctx, len(parts), func(ctx context.Context, i int) map[int]lockstep.FanOutResult {
			return a.fanOutPart(ctx, targets, parts[i], e)
		})

		out := make([]lockstep.FanOutResult, len(ranks))

		for i, rank := range ranks {
			got, ok := results[i/size][rank]
			if !ok {
				got.Err = errNoRankAnswer
			}

			out[i] = got
		}

		return out
	}
}

// fanOutPart sends a request to a part of the ranks through its helper, and returns the
// results by rank.
func (a *RankAgent) fanOutPart(ctx context.Context, targets map[int]directory.Target, part []int, e lockstep.FanOutRequest) map[int]lockstep.FanOutResult {
	r, order := a.newSpreadRequest(ctx, targets, part, e)
	if len(r.GetMembers()) == 0 {
		return nil
	}

	member := r.GetMembers()[a.helperFor(part, len(r.GetMembers()))]

	answer, err := a.sendToHelper(ctx, targets[int(member.GetRank())], r, order)
	if err != nil {
		a.rotateHelper(part)
		a.logger.Debug("A helping agent did not answer; its part of the ranks has no result.", "rank", member.GetRank(), "error", err)

		return nil
	}

	out := make(map[int]lockstep.FanOutResult, len(part))

	for _, got := range answer.GetResults() {
		result := lockstep.FanOutResult{Result: got.GetResult(), Err: errNoRankAnswer}
		if got.GetLook() != nil {
			result.Poll, result.Err = pollResultFromWire(got.GetLook()), nil
		}

		out[int(got.GetRank())] = result
	}

	return out
}

// newSpreadRequest returns the request for a helper without its order, and the order
// with the complete map; nil if there is none.
func (a *RankAgent) newSpreadRequest(ctx context.Context, targets map[int]directory.Target, part []int, e lockstep.FanOutRequest) (*wire.SpreadRequest, *wire.EngineOrder) {
	r := &wire.SpreadRequest{Cluster: a.Cluster, Lists: e.Experts}
	if deadline, ok := ctx.Deadline(); ok {
		r.LeftMillis = uint64(max(0, time.Until(deadline).Milliseconds()))
	}

	var order *wire.EngineOrder

	for _, rank := range part {
		t, ok := targets[rank]
		if !ok {
			continue
		}

		m := &wire.SpreadMember{Rank: uint32(rank), Agent: a.peerAddress(t), Engine: t.Address.String()}

		if e.Order != nil {
			order = e.Order(rank)
			m.Version = order.GetVersion()
		}

		r.Members = append(r.Members, m)
	}

	return r, order
}

func (a *RankAgent) helperFor(part []int, members int) int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.helperIndex[part[0]] % members
}

func (a *RankAgent) rotateHelper(part []int) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.helperIndex == nil {
		a.helperIndex = make(map[int]int)
	}

	a.helperIndex[part[0]]++
}

// sendToHelper sends a request for some ranks to the helper. As with single ranks, a
// map is first sent as differences.
func (a *RankAgent) sendToHelper(ctx context.Context, helper directory.Target, r *wire.SpreadRequest, order *wire.EngineOrder) (*wire.SpreadAnswer, error) {
	if order.GetKind() != wire.EngineOrderKind_EngineOrderPrepare {
		if order != nil {
			r.Order = copyOrder(a.Cluster, order.GetVersion(), order)
		}

		answer, err := a.peer(helper).Spread(ctx, r)

		return answer, eris.Wrap(err, "send fan-out request")
	}

	p := a.pack(order)
	if r.Order = p.delta; r.GetOrder() != nil {
		answer, err := a.peer(helper).Spread(ctx, r)
		if err != nil || !answer.GetNoBase() {
			return answer, eris.Wrap(err, "send fan-out request")
		}
	}

	r.Order = p.full
	answer, err := a.peer(helper).Spread(ctx, r)

	return answer, eris.Wrap(err, "send fan-out request")
}

// Spread implements wire.RankPeer.
func (a *RankAgent) Spread(ctx context.Context, r *wire.SpreadRequest) (*wire.SpreadAnswer, error) {
	if r.GetCluster() != a.Cluster {
		return nil, errOtherCluster
	}

	if r.GetOrder() != nil {
		ok, err := a.unpackOrder(r.GetOrder())

		switch {
		case err != nil:
			return nil, err
		case !ok:
			return &wire.SpreadAnswer{NoBase: true}, nil
		}
	}

	remaining := time.Duration(r.GetLeftMillis()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, remaining-remaining/helperReserveDivisor)

	defer cancel()

	members := r.GetMembers()
	results := gatherMost(ctx, len(members), func(ctx context.Context, i int) *wire.SpreadResult { return a.fanOutToRank(ctx, r, members[i]) })

	return &wire.SpreadAnswer{Results: slices.DeleteFunc(results, func(r *wire.SpreadResult) bool { return r == nil })}, nil
}

// fanOutToRank sends the order of a request, if any, to one rank and polls it.
func (a *RankAgent) fanOutToRank(ctx context.Context, r *wire.SpreadRequest, m *wire.SpreadMember) *wire.SpreadResult {
	out := &wire.SpreadResult{Rank: m.GetRank()}

	address, err := netip.ParseAddrPort(m.GetEngine())
	if err != nil {
		a.logger.Warn("A fan-out request contains an invalid engine address; skipping the rank.", "rank", m.GetRank(), "error", err)

		return out
	}

	t := directory.Target{Address: address}

	if r.GetOrder() != nil {
		o := copyOrder(a.Cluster, m.GetVersion(), r.GetOrder())

		if out.Result = a.orderTarget(ctx, t, o); out.GetResult() == wire.EngineResult_EngineUnknown {
			return out
		}
	}

	if l, err := a.pollTarget(ctx, t, lockstep.PollRequest{Experts: r.GetLists()}, nil); err == nil {
		out.Look = pollResultToWire(l)
	}

	return out
}

// copyOrder returns a copy of an order with a cluster and another version. The copy
// shares the map, which is large.
func copyOrder(cluster string, version uint64, o *wire.EngineOrder) *wire.EngineOrder {
	return &wire.EngineOrder{
		Kind: o.GetKind(), Epoch: o.GetEpoch(), Fence: o.GetFence(), Version: version, Step: o.GetStep(),
		Map: o.GetMap(), Ranks: o.GetRanks(), Cluster: cluster,
	}
}

// isLocal reports whether a target runs on this agent's VM.
func (a *RankAgent) isLocal(t directory.Target) bool {
	return a.peerAddress(t) == a.Listener.Addr().String()
}
