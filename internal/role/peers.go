package role

import (
	"context"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// formerPeerRetention is how long a control VM that left the set is still asked whom it
// heard from. For a lease it may have answered polls as a member; a decision that
// came into force without its word could then be acted against.
const formerPeerRetention = 10 * time.Second

// peerTracker is the other control VMs by the members of the log, with those of the
// settings while this process cannot know who left just before it started.
type peerTracker struct {
	started time.Time

	mu    sync.Mutex
	peers map[string]trackedPeer
}

// trackedPeer is when a control VM was last a member, and where.
type trackedPeer struct {
	member       quorum.Member
	lastMemberAt time.Time
}

// update returns the control VMs to ask at now.
func (l *peerTracker) update(now time.Time, self string, members, settings []quorum.Member) []quorum.Member {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.peers == nil {
		l.peers = make(map[string]trackedPeer)
	}

	for _, m := range settings {
		if now.Sub(l.started) < formerPeerRetention {
			l.peers[m.ID] = trackedPeer{member: m, lastMemberAt: now}
		}
	}

	for _, m := range members {
		l.peers[m.ID] = trackedPeer{member: m, lastMemberAt: now}
	}

	var out []quorum.Member

	for id, p := range l.peers {
		switch {
		case now.Sub(p.lastMemberAt) > formerPeerRetention:
			delete(l.peers, id)
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

	for _, m := range r.peerTracker.update(time.Now(), r.VM, members, r.Peers) {
		client := wire.NewControlPeerProtobufClient("http://"+m.Addr.String(), r.client)
		out = append(out, control.Peer{Name: m.ID, RecentPolls: func(ctx context.Context) (*wire.HeardResponse, error) {
			return client.Heard(ctx, &wire.HeardRequest{Cluster: r.Cluster})
		}})
	}

	return out
}
