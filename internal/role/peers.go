package role

import (
	"context"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// peerGrace is how long a control VM that left the set is still asked whom it
// heard from. For a lease it may have answered polls as a member; a decision that
// came into force without its word could then be acted against.
const peerGrace = 10 * time.Second

// peerList is the other control VMs by the members of the log, with those of the
// settings while this process cannot know who left just before it started.
type peerList struct {
	started time.Time

	mu   sync.Mutex
	seen map[string]peerSeen
}

// peerSeen is when a control VM was last a member, and where.
type peerSeen struct {
	member quorum.Member
	at     time.Time
}

// of returns the control VMs to ask at now.
func (l *peerList) of(now time.Time, self string, members, settings []quorum.Member) []quorum.Member {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.seen == nil {
		l.seen = make(map[string]peerSeen)
	}

	for _, m := range settings {
		if now.Sub(l.started) < peerGrace {
			l.seen[m.ID] = peerSeen{member: m, at: now}
		}
	}

	for _, m := range members {
		l.seen[m.ID] = peerSeen{member: m, at: now}
	}

	var out []quorum.Member

	for id, p := range l.seen {
		switch {
		case now.Sub(p.at) > peerGrace:
			delete(l.seen, id)
		case id != self:
			out = append(out, p.member)
		}
	}

	return out
}

// findPeers returns the other control VMs as they are now.
func (r *Control) findPeers() []control.Peer {
	var members []quorum.Member
	for _, m := range r.replica.Status().Members {
		members = append(members, m.Member)
	}

	var out []control.Peer

	for _, m := range r.peers.of(time.Now(), r.VM, members, r.Peers) {
		client := wire.NewControlPeerProtobufClient("http://"+m.Addr.String(), r.client)
		out = append(out, control.Peer{Name: m.ID, RecentPolls: func(ctx context.Context) (*wire.HeardResponse, error) {
			return client.Heard(ctx, &wire.HeardRequest{Cluster: r.Cluster})
		}})
	}

	return out
}
