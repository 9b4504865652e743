package role

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/parsleygate/parsleygate/internal/expertgroup"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Director returns the director of expert maps, which exists after Build.
func (r *Control) Director() *expertgroup.Director { return r.director }

func (r *Control) newDirector() *expertgroup.Director {
	if r.ExpertSettings.TickInterval == 0 {
		r.ExpertSettings = expertgroup.DefaultSettings()
	}

	dialer := &identity.Dialer{Identity: r.Identity, Timeout: agentDial}
	client := &http.Client{Transport: &http.Transport{DialContext: dialer.Dial, IdleConnTimeout: agentIdle}}
	d := &expertgroup.Director{
		IsLeader: r.leads,
		Barrier: func(ctx context.Context) error {
			_, _, err := r.replica.ReadIndex(ctx)

			return err
		},
		// The server is made after the director, which it tells of applied entries.
		Propose: func(ctx context.Context, e *wire.GroupEntry) error { return r.server.ProposeGroup(ctx, e) },
		Groups:  r.groups, RankAgents: r.ranks, Settings: r.ExpertSettings, Logger: r.Logs.Logger("experts"),
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

// groupView is what the director reads of one configuration. It is worked out
// once for each version: the director looks many times a second.
type groupView struct {
	version uint64
	known   bool
	groups  []*wire.Group
	ranks   map[string][]expertgroup.RankAgent
}

func (r *Control) groups() []*wire.Group {
	r.readGroups()

	return r.view.groups
}

func (r *Control) ranks(group string) []expertgroup.RankAgent {
	r.readGroups()

	return r.view.ranks[group]
}

func (r *Control) readGroups() {
	version := r.server.Version()
	if r.view.known && r.view.version == version {
		return
	}

	r.view = groupView{version: version, known: true, ranks: make(map[string][]expertgroup.RankAgent)}

	for _, record := range r.server.Configuration() {
		if g := record.GetGroup(); g != nil {
			r.view.groups = append(r.view.groups, g)
		}

		n := record.GetNode()
		if n.GetGroup() == "" || n.GetKind() != wire.NodeKind_NodeAgent {
			continue
		}

		if a, err := netip.ParseAddrPort(n.GetAddress()); err == nil {
			node := expertgroup.RankAgent{Rank: int(n.GetRank()), Address: a}
			r.view.ranks[n.GetGroup()] = append(r.view.ranks[n.GetGroup()], node)
		}
	}
}
