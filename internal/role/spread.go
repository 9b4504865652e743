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

// errNotTold says that a helping agent did not tell what became of an errand at a rank.
var errNotTold = errors.New("role: no word of the rank")

// memberReserve is the part of the time for an errand that a helping agent leaves for its own
// answer, as a divisor.
const memberReserve = 4

// spreadOver returns how errands go to many ranks of a group: each of some agents brings
// them to a part of the ranks. An agent that does not answer leaves its part untold, and
// another one of that part helps the next time.
func (a *RankAgent) spreadOver(group lockstep.Report) func(context.Context, []int, lockstep.FanOutRequest) []lockstep.FanOutResult {
	return func(ctx context.Context, ranks []int, e lockstep.FanOutRequest) []lockstep.FanOutResult {
		targets, _ := a.ranks(a.follower.State(), group)
		size := int(math.Ceil(math.Sqrt(float64(len(ranks)))))
		parts := slices.Collect(slices.Chunk(ranks, size))

		told := mostOf(ctx, len(parts), func(ctx context.Context, i int) map[int]lockstep.FanOutResult {
			return a.spreadPart(ctx, targets, parts[i], e)
		})

		out := make([]lockstep.FanOutResult, len(ranks))

		for i, rank := range ranks {
			got, ok := told[i/size][rank]
			if !ok {
				got.Err = errNotTold
			}

			out[i] = got
		}

		return out
	}
}

// spreadPart brings an errand to a part of the ranks, and returns what became of it.
func (a *RankAgent) spreadPart(ctx context.Context, targets map[int]directory.Target, part []int, e lockstep.FanOutRequest) map[int]lockstep.FanOutResult {
	r, order := a.request(ctx, targets, part, e)
	if len(r.GetMembers()) == 0 {
		return nil
	}

	member := r.GetMembers()[a.helper(part, len(r.GetMembers()))]

	answer, err := a.askHelper(ctx, targets[int(member.GetRank())], r, order)
	if err != nil {
		a.nextHelper(part)
		a.logger.Debug("An agent brought nothing to its part of the ranks.", "rank", member.GetRank(), "error", err)

		return nil
	}

	out := make(map[int]lockstep.FanOutResult, len(part))

	for _, got := range answer.GetResults() {
		told := lockstep.FanOutResult{Result: got.GetResult(), Err: errNotTold}
		if got.GetLook() != nil {
			told.Poll, told.Err = lookFromWire(got.GetLook()), nil
		}

		out[int(got.GetRank())] = told
	}

	return out
}

// request returns an errand as it goes to a helping agent, and its order with the whole map.
func (a *RankAgent) request(ctx context.Context, targets map[int]directory.Target, part []int, e lockstep.FanOutRequest) (*wire.SpreadRequest, *wire.EngineOrder) {
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

func (a *RankAgent) helper(part []int, members int) int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.helpers[part[0]] % members
}

func (a *RankAgent) nextHelper(part []int) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.helpers == nil {
		a.helpers = make(map[int]int)
	}

	a.helpers[part[0]]++
}

// askHelper asks the agent beside a target to bring an errand to some ranks. A map goes as
// changes first, like to a single rank.
func (a *RankAgent) askHelper(ctx context.Context, helper directory.Target, r *wire.SpreadRequest, order *wire.EngineOrder) (*wire.SpreadAnswer, error) {
	if order.GetKind() != wire.EngineOrderKind_EngineOrderPrepare {
		if order != nil {
			r.Order = orderOf(a.Cluster, order.GetVersion(), order)
		}

		answer, err := a.peer(helper).Spread(ctx, r)

		return answer, eris.Wrap(err, "spread")
	}

	p := a.pack(order)
	if r.Order = p.changes; r.GetOrder() != nil {
		answer, err := a.peer(helper).Spread(ctx, r)
		if err != nil || !answer.GetNoBase() {
			return answer, eris.Wrap(err, "spread")
		}
	}

	r.Order = p.whole
	answer, err := a.peer(helper).Spread(ctx, r)

	return answer, eris.Wrap(err, "spread")
}

// Spread implements wire.RankPeer.
func (a *RankAgent) Spread(ctx context.Context, r *wire.SpreadRequest) (*wire.SpreadAnswer, error) {
	if r.GetCluster() != a.Cluster {
		return nil, errOtherCluster
	}

	if r.GetOrder() != nil {
		ok, err := a.open(r.GetOrder())

		switch {
		case err != nil:
			return nil, err
		case !ok:
			return &wire.SpreadAnswer{NoBase: true}, nil
		}
	}

	left := time.Duration(r.GetLeftMillis()) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, left-left/memberReserve)

	defer cancel()

	members := r.GetMembers()
	results := mostOf(ctx, len(members), func(ctx context.Context, i int) *wire.SpreadResult { return a.bring(ctx, r, members[i]) })

	return &wire.SpreadAnswer{Results: slices.DeleteFunc(results, func(r *wire.SpreadResult) bool { return r == nil })}, nil
}

// bring brings an errand to one rank.
func (a *RankAgent) bring(ctx context.Context, r *wire.SpreadRequest, m *wire.SpreadMember) *wire.SpreadResult {
	out := &wire.SpreadResult{Rank: m.GetRank()}

	address, err := netip.ParseAddrPort(m.GetEngine())
	if err != nil {
		a.logger.Warn("A rank to which something is to be passed on has no address.", "rank", m.GetRank(), "error", err)

		return out
	}

	t := directory.Target{Address: address}

	if r.GetOrder() != nil {
		o := orderOf(a.Cluster, m.GetVersion(), r.GetOrder())

		if out.Result = a.orderRank(ctx, t, o); out.GetResult() == wire.EngineResult_EngineUnknown {
			return out
		}
	}

	if l, err := a.lookAtRank(ctx, t, lockstep.PollRequest{Experts: r.GetLists()}, nil); err == nil {
		out.Look = lookToWire(l)
	}

	return out
}

// orderOf returns an order as it is sent within a cluster, for another version. The map, which
// is large, is shared with it.
func orderOf(cluster string, version uint64, o *wire.EngineOrder) *wire.EngineOrder {
	return &wire.EngineOrder{
		Kind: o.GetKind(), Epoch: o.GetEpoch(), Fence: o.GetFence(), Version: version, Step: o.GetStep(),
		Map: o.GetMap(), Ranks: o.GetRanks(), Cluster: cluster,
	}
}

// own reports whether a target is the one beside this agent.
func (a *RankAgent) own(t directory.Target) bool {
	return a.peerAddress(t) == a.Listener.Addr().String()
}
