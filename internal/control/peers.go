package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// peerTimeout bounds the collection of polls from all control VMs.
const peerTimeout = time.Second

// reportedPoll is the last poll of a process as a control VM reported it.
type reportedPoll struct {
	node *wire.HeardNode
	at   time.Time
}

// collectedPolls holds the last polls that the control VMs received.
type collectedPolls struct {
	polls []reportedPoll
	// minVersion is the lowest version with which any of the responding control VMs answers
	// new polls.
	minVersion uint64
	// unreachable names the control VMs that did not respond.
	unreachable []string
}

// Heard returns to another control VM the processes that polled this one.
func (s *Server) Heard(ctx context.Context, r *wire.HeardRequest) (*wire.HeardResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newRPCError(twirp.FailedPrecondition,
			fmt.Sprintf("this control VM belongs to cluster %q, the question to %q", s.Cluster, r.GetCluster()))
	}

	return s.localPolls(ctx)
}

// localPolls returns the processes that polled this VM. The goroutine of runTrackers reads
// the version in the answer after it recorded all polls in the answer and before any later
// poll; later polls get that version or a higher one.
func (s *Server) localPolls(ctx context.Context) (*wire.HeardResponse, error) {
	answer := make(chan *wire.HeardResponse, 1)

	s.post(ctx, event{query: func(polls *pollTracker) { answer <- polls.response(time.Now()) }})

	select {
	case out := <-answer:
		return out, nil
	case <-ctx.Done():
		return nil, newRPCError(twirp.Canceled, "the question ended early")
	}
}

func (s *Server) peers() []Peer {
	if s.FindPeers != nil {
		return s.FindPeers()
	}

	return s.Peers
}

// collectPolls requests the polls of this VM and all others in parallel.
func (s *Server) collectPolls(ctx context.Context) collectedPolls {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	vms := append([]Peer{{Name: s.VM, RecentPolls: s.localPolls}}, s.peers()...)
	answers := make([]*wire.HeardResponse, len(vms))
	askedAt := time.Now()

	var wg sync.WaitGroup

	for i, peer := range vms {
		wg.Go(func() {
			if out, err := peer.RecentPolls(ctx); err == nil {
				answers[i] = out
			}
		})
	}

	wg.Wait()

	return mergePolls(askedAt, vms, answers)
}

func mergePolls(askedAt time.Time, vms []Peer, answers []*wire.HeardResponse) collectedPolls {
	out := collectedPolls{minVersion: ^uint64(0)}

	for i, answer := range answers {
		if answer == nil {
			out.unreachable = append(out.unreachable, vms[i].Name)
			continue
		}

		out.minVersion = min(out.minVersion, answer.GetVersion())

		for _, node := range answer.GetNodes() {
			at := askedAt.Add(-time.Duration(node.GetAgeMillis()) * time.Millisecond)
			out.polls = append(out.polls, reportedPoll{node: node, at: at})
		}
	}

	slices.Sort(out.unreachable)

	return out
}

// latest returns the last reported poll of each process, with the highest version that the
// process acknowledged at any control VM.
func (c collectedPolls) latest() map[processKey]reportedPoll {
	out := map[processKey]reportedPoll{}

	for _, poll := range c.polls {
		key := processKey{id: poll.node.GetID(), incarnation: poll.node.GetIncarnation()}

		prev, ok := out[key]
		if !ok {
			out[key] = poll
			continue
		}

		knownVersion := max(prev.node.GetKnownVersion(), poll.node.GetKnownVersion())
		if poll.at.Before(prev.at) {
			poll = prev
		}

		poll.node = &wire.HeardNode{
			ID: key.id, Incarnation: key.incarnation,
			KnownVersion: knownVersion, AgeMillis: poll.node.GetAgeMillis(), Load: poll.node.GetLoad(),
		}
		out[key] = poll
	}

	return out
}
