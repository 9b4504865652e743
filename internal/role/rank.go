package role

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/expertgroup"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/rank"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// rankCheck is how often an agent looks whether its target is a rank.
const rankCheck = 200 * time.Millisecond

// runRank waits until the target announces itself as a rank of a group, and
// carries that rank from then on.
func (r *Agent) runRank(ctx context.Context) error {
	tick := time.NewTicker(rankCheck)
	defer tick.Stop()

	for r.shell.Node().GetGroup() == "" {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}

	k := r.newRank(r.shell.Node())
	k.Init()
	r.rank.Store(k)
	r.Logs.Logger("rank").Info("target is a rank", "group", k.Group, "rank", k.Number)

	return k.Run(ctx)
}

func (r *Agent) newRank(n *wire.Node) *rank.Rank {
	dialer := &identity.Dialer{Identity: r.Identity, Timeout: agentDial}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.Dial, DisableKeepAlives: true}}

	return &rank.Rank{
		Group: n.GetGroup(), Number: int(n.GetRank()), AgentStartSeconds: r.Incarnation / uint64(time.Second),
		EngineAddress: r.shell.TargetAddress,
		InitialMap:    func() []byte { return r.firstMap(n.GetGroup()) },
		PeerAddresses: func() []netip.AddrPort { return r.peers(n.GetGroup()) },
		QueryPeer: func(ctx context.Context, to netip.AddrPort, q *wire.RankQuestion) (*wire.RankAnswer, error) {
			return wire.NewRankProtobufClient("http://"+to.String(), client).Ask(ctx, q)
		},
		Logger: r.Logs.Logger("rank"),
	}
}

// firstMap returns the map that follows from the declared shape of a group.
func (r *Agent) firstMap(group string) []byte {
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

// peers returns the addresses of the group's other ranks.
func (r *Agent) peers(group string) []netip.AddrPort {
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

// rankService answers for the rank once there is one.
type rankService struct {
	role *Agent
}

func (s *rankService) get() (*rank.Rank, error) {
	if k := s.role.rank.Load(); k != nil {
		return k, nil
	}

	return nil, twirp.NewError(twirp.NotFound, "the target is no rank of a group")
}

// Order implements wire.Rank.
func (s *rankService) Order(ctx context.Context, o *wire.RankOrder) (*wire.RankStatus, error) {
	k, err := s.get()
	if err != nil {
		return nil, err
	}

	return k.Order(ctx, o)
}

// Ask implements wire.Rank.
func (s *rankService) Ask(ctx context.Context, q *wire.RankQuestion) (*wire.RankAnswer, error) {
	k, err := s.get()
	if err != nil {
		return nil, err
	}

	return k.Ask(ctx, q)
}

// Report implements wire.Rank.
func (s *rankService) Report(ctx context.Context, q *wire.RankQuestion) (*wire.RankReport, error) {
	k, err := s.get()
	if err != nil {
		return nil, err
	}

	return k.Report(ctx, q)
}
