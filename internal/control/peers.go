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

// heardTimeout bounds one question to another control VM.
const heardTimeout = time.Second

// sighting is one process as a control VM has heard from it.
type sighting struct {
	node *wire.HeardNode
	at   time.Time
}

// gathering is what all control VMs have heard.
type gathering struct {
	sightings []sighting
	// version is the least that any control VM which answered serves to new polls.
	version uint64
	// unheard names the control VMs that did not answer.
	unheard []string
}

// Heard tells another control VM which processes polled this one.
func (s *Server) Heard(ctx context.Context, r *wire.HeardRequest) (*wire.HeardResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newFault(twirp.FailedPrecondition,
			fmt.Sprintf("this control VM belongs to cluster %q, the question to %q", s.Cluster, r.GetCluster()))
	}

	return s.heardHere(ctx)
}

// heardHere asks the goroutine that hears polls. The version in the answer is
// read there, after all polls that it names and before all others: those are
// answered with that version or a later one.
func (s *Server) heardHere(ctx context.Context) (*wire.HeardResponse, error) {
	answer := make(chan *wire.HeardResponse, 1)

	s.post(ctx, event{ask: func(c *hearing) { answer <- c.list(time.Now()) }})

	select {
	case out := <-answer:
		return out, nil
	case <-ctx.Done():
		return nil, newFault(twirp.Canceled, "the question ended early")
	}
}

func (s *Server) peers() []Peer {
	if s.FindPeers != nil {
		return s.FindPeers()
	}

	return s.Peers
}

// gather asks this VM and all others at once.
func (s *Server) gather(ctx context.Context) gathering {
	ctx, cancel := context.WithTimeout(ctx, heardTimeout)
	defer cancel()

	everyone := append([]Peer{{Name: s.VM, RecentPolls: s.heardHere}}, s.peers()...)
	answers := make([]*wire.HeardResponse, len(everyone))
	asked := time.Now()

	var wg sync.WaitGroup

	for i, peer := range everyone {
		wg.Go(func() {
			if out, err := peer.RecentPolls(ctx); err == nil {
				answers[i] = out
			}
		})
	}

	wg.Wait()

	return merge(asked, everyone, answers)
}

func merge(asked time.Time, everyone []Peer, answers []*wire.HeardResponse) gathering {
	g := gathering{version: ^uint64(0)}

	for i, answer := range answers {
		if answer == nil {
			g.unheard = append(g.unheard, everyone[i].Name)
			continue
		}

		g.version = min(g.version, answer.GetVersion())

		for _, node := range answer.GetNodes() {
			at := asked.Add(-time.Duration(node.GetAgeMillis()) * time.Millisecond)
			g.sightings = append(g.sightings, sighting{node: node, at: at})
		}
	}

	slices.Sort(g.unheard)

	return g
}

// latest returns the last sighting of each process, with the highest version
// that it acknowledged anywhere.
func (g gathering) latest() map[process]sighting {
	out := map[process]sighting{}

	for _, s := range g.sightings {
		name := process{id: s.node.GetID(), incarnation: s.node.GetIncarnation()}

		before, ok := out[name]
		if !ok {
			out[name] = s
			continue
		}

		known := max(before.node.GetKnownVersion(), s.node.GetKnownVersion())
		if s.at.Before(before.at) {
			s = before
		}

		s.node = &wire.HeardNode{
			ID: name.id, Incarnation: name.incarnation,
			KnownVersion: known, AgeMillis: s.node.GetAgeMillis(), Load: s.node.GetLoad(),
		}
		out[name] = s
	}

	return out
}
