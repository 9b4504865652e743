package role

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/expertgroup"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/rank"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// rankCheckInterval is the interval at which an agent checks whether its target is a rank.
const rankCheckInterval = 200 * time.Millisecond

// runRank waits until the target announces itself as a rank of a group, then runs the
// participant of that rank.
func (r *Agent) runRank(ctx context.Context) error {
	tick := time.NewTicker(rankCheckInterval)
	defer tick.Stop()

	for r.agent.Node().GetGroup() == "" {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}

	rk := r.newRank(r.agent.Node())
	rk.Init()
	r.rank.Store(rk)
	r.Logs.Logger("rank").Info("Target announced itself as a rank.", "group", rk.Group, "rank", rk.Number)

	return rk.Run(ctx)
}

func (r *Agent) newRank(n *wire.Node) *rank.Rank {
	dialer := &identity.Dialer{Identity: r.Identity, Timeout: agentDialTimeout}
	client := answers.NewClient(&http.Transport{DialContext: dialer.Dial, DisableKeepAlives: true}, maxCallBytes)

	return &rank.Rank{
		Group: n.GetGroup(), Number: int(n.GetRank()), AgentStartSeconds: r.Incarnation / uint64(time.Second),
		EngineAddress: r.agent.TargetAddress,
		InitialMap:    func() []byte { return r.initialMap(n.GetGroup()) },
		PeerAddresses: func() []netip.AddrPort { return r.peerAddresses(n.GetGroup()) },
		QueryPeer: func(ctx context.Context, to netip.AddrPort, q *wire.RankQuestion) (*wire.RankAnswer, error) {
			return wire.NewRankProtobufClient("http://"+to.String(), client).Ask(ctx, q)
		},
		Logger: r.Logs.Logger("rank"),
	}
}

// initialMap returns the map that follows from the declared shape of a group.
func (r *Agent) initialMap(group string) []byte {
	g, ok := r.reader.Snapshot().Group(group)
	if !ok {
		return nil
	}

	m, err := placement.NewMap(expertgroup.ShapeOf(g))
	if err != nil {
		return nil
	}

	return m.Encode()
}

// peerAddresses returns the addresses of the agents of the group's other ranks.
func (r *Agent) peerAddresses(group string) []netip.AddrPort {
	var out []netip.AddrPort

	for _, n := range r.reader.Snapshot().Nodes() {
		if n.GetGroup() != group || n.GetID() == r.ID {
			continue
		}

		if a, err := netip.ParseAddrPort(n.GetAddress()); err == nil {
			out = append(out, a)
		}
	}

	return out
}

// rankService serves requests for the target's rank, and returns an error until there
// is one.
type rankService struct {
	role *Agent
}

func (s *rankService) get() (*rank.Rank, error) {
	if rk := s.role.rank.Load(); rk != nil {
		return rk, nil
	}

	return nil, twirp.NewError(twirp.NotFound, "the target is no rank of a group")
}

// Order implements wire.Rank.
func (s *rankService) Order(ctx context.Context, o *wire.RankOrder) (*wire.RankStatus, error) {
	rk, err := s.get()
	if err != nil {
		return nil, err
	}

	return rk.Order(ctx, o)
}

// Ask implements wire.Rank.
func (s *rankService) Ask(ctx context.Context, q *wire.RankQuestion) (*wire.RankAnswer, error) {
	rk, err := s.get()
	if err != nil {
		return nil, err
	}

	return rk.Ask(ctx, q)
}

// Report implements wire.Rank.
func (s *rankService) Report(ctx context.Context, q *wire.RankQuestion) (*wire.RankReport, error) {
	rk, err := s.get()
	if err != nil {
		return nil, err
	}

	return rk.Report(ctx, q)
}
