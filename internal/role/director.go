package role

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/expertgroup"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Director returns the director of expert maps. It must be called after Build.
func (r *Control) Director() *expertgroup.Director { return r.director }

func (r *Control) newDirector() *expertgroup.Director {
	if r.ExpertSettings.TickInterval == 0 {
		r.ExpertSettings = expertgroup.DefaultSettings()
	}

	dialer := &identity.Dialer{Identity: r.Identity, Timeout: agentDialTimeout}
	client := answers.NewClient(&http.Transport{DialContext: dialer.Dial, IdleConnTimeout: agentIdleTimeout}, maxCallBytes)
	d := &expertgroup.Director{
		IsLeader: r.isLeader,
		Barrier: func(ctx context.Context) error {
			_, _, err := r.replica.ReadIndex(ctx)

			return err
		},
		// The server is created after the director, because it passes applied entries
		// to the director.
		Propose: func(ctx context.Context, e *wire.GroupEntry) error { return r.server.ProposeGroup(ctx, e) },
		Groups:  r.groups, RankAgents: r.rankAgents, Settings: r.ExpertSettings, Logger: r.Logs.Logger("experts"),
		SendOrder: func(ctx context.Context, to netip.AddrPort, o *wire.RankOrder) (*wire.RankStatus, error) {
			return wire.NewRankProtobufClient("http://"+to.String(), client).Order(ctx, o)
		},
		FetchReport: func(ctx context.Context, to netip.AddrPort, q *wire.RankQuestion) (*wire.RankReport, error) {
			return wire.NewRankProtobufClient("http://"+to.String(), client).Report(ctx, q)
		},
	}
	d.Init()

	return d
}

// groupCache holds what the director reads from one version of the configuration. It is
// computed once per version, because the director reads it many times a second.
type groupCache struct {
	version uint64
	valid   bool
	groups  []*wire.Group
	ranks   map[string][]expertgroup.RankAgent
}

func (r *Control) groups() []*wire.Group {
	r.refreshGroupCache()

	return r.groupCache.groups
}

func (r *Control) rankAgents(group string) []expertgroup.RankAgent {
	r.refreshGroupCache()

	return r.groupCache.ranks[group]
}

func (r *Control) refreshGroupCache() {
	version := r.server.Version()
	if r.groupCache.valid && r.groupCache.version == version {
		return
	}

	r.groupCache = groupCache{version: version, valid: true, ranks: make(map[string][]expertgroup.RankAgent)}

	for _, record := range r.server.Configuration() {
		if g := record.GetGroup(); g != nil {
			r.groupCache.groups = append(r.groupCache.groups, g)
		}

		n := record.GetNode()
		if n.GetGroup() == "" || n.GetKind() != wire.NodeKind_NodeAgent {
			continue
		}

		if a, err := netip.ParseAddrPort(n.GetAddress()); err == nil {
			node := expertgroup.RankAgent{Rank: int(n.GetRank()), Address: a}
			r.groupCache.ranks[n.GetGroup()] = append(r.groupCache.ranks[n.GetGroup()], node)
		}
	}
}
