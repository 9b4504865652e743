package role

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// removedPeerRetention is how long a removed control VM is still asked which processes
// polled it. It may have answered polls as a member, and the leases of those polls may
// still be valid. A decision that takes effect without asking it could be violated by a
// process with such a lease.
const removedPeerRetention = 10 * time.Second

// peerTracker tracks the other control VMs. It takes them from the members in the log,
// and, until removedPeerRetention after the start, also from the settings: this process
// does not know which members were removed shortly before it started.
type peerTracker struct {
	started time.Time

	mu    sync.Mutex
	peers map[string]trackedPeer
}

// trackedPeer is a control VM with the time at which it was last a member.
type trackedPeer struct {
	member       quorum.Member
	lastMemberAt time.Time
}

// update records the members at now and returns the control VMs to ask.
func (l *peerTracker) update(now time.Time, self string, members, settings []quorum.Member) []quorum.Member {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.peers == nil {
		l.peers = make(map[string]trackedPeer)
	}

	for _, m := range settings {
		if now.Sub(l.started) < removedPeerRetention {
			l.peers[m.ID] = trackedPeer{member: m, lastMemberAt: now}
		}
	}

	for _, m := range members {
		l.peers[m.ID] = trackedPeer{member: m, lastMemberAt: now}
	}

	var out []quorum.Member

	for id, p := range l.peers {
		switch {
		case now.Sub(p.lastMemberAt) > removedPeerRetention:
			delete(l.peers, id)
		case id != self:
			out = append(out, p.member)
		}
	}

	return out
}

// findVoters returns the other control VMs that have a vote, and whether this one has.
func (r *Control) findVoters() (self bool, out []control.Voter) {
	for _, m := range r.replica.Status().Members {
		switch {
		case m.Member.Role != quorum.Voter:
		case m.Member.ID == r.VM:
			self = true
		default:
			client := wire.NewControlPeerProtobufClient("http://"+m.Member.Addr.String(), r.client)
			out = append(out, control.Voter{
				Name: m.Member.ID,
				RecordRemoval: func(ctx context.Context, removal *wire.RemovalRequest) error {
					_, err := client.RecordRemoval(ctx, removal)

					return eris.Wrap(err, "record a removal")
				},
				RecordDraining: func(ctx context.Context, draining *wire.DrainingRequest) error {
					_, err := client.RecordDraining(ctx, draining)

					return eris.Wrap(err, "record a draining target")
				},
				ExchangeIncarnations: client.ExchangeIncarnations,
			})
		}
	}

	return self, out
}

// findPeers returns the other control VMs that must be asked now.
func (r *Control) findPeers() []control.Peer {
	var members []quorum.Member
	for _, m := range r.replica.Status().Members {
		members = append(members, m.Member)
	}

	var out []control.Peer

	for _, m := range r.peerTracker.update(time.Now(), r.VM, members, r.Peers) {
		client := wire.NewControlPeerProtobufClient("http://"+m.Addr.String(), r.client)
		out = append(out, control.Peer{
			Name: m.ID,
			RecentPolls: func(ctx context.Context) (*wire.HeardResponse, error) {
				return client.Heard(ctx, &wire.HeardRequest{Cluster: r.Cluster})
			},
			ExchangeIncarnations: client.ExchangeIncarnations,
		})
	}

	return out
}
