package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// exchangeSpacing is the shortest interval between two exchanges with a peer. Changes meanwhile share one.
	exchangeSpacing = 100 * time.Millisecond
	// exchangeRefresh is the interval at which a peer hears of all incarnations that registered here. It is well
	// below the time for which the peer keeps them.
	exchangeRefresh = time.Minute
	exchangeTimeout = time.Second
	// exchangeRetryDelay and maxExchangeRetryDelay bound the delay after failed exchanges.
	exchangeRetryDelay    = 200 * time.Millisecond
	maxExchangeRetryDelay = 2 * time.Second
	// peerCheckInterval is the interval at which the list of peers is read.
	peerCheckInterval = 500 * time.Millisecond
)

// ExchangeIncarnations merges the incarnations that another control VM knows, and returns those that it asks for.
func (s *Server) ExchangeIncarnations(ctx context.Context, r *wire.IncarnationsRequest) (*wire.IncarnationsResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newRPCError(twirp.FailedPrecondition, "this control VM belongs to another cluster")
	}

	var known []directory.Incarnation

	err := s.withTargets(ctx, func(targets *targetTracker) {
		targets.registry.MergeIncarnations(time.Now(), incarnationsFromWire(r.GetIncarnations()))

		if r.GetAll() {
			known = targets.registry.AllIncarnations()
		} else if latest, ok := targets.registry.Incarnation(r.GetTarget()); ok {
			known = []directory.Incarnation{latest}
		}
	})
	if err != nil {
		return nil, err
	}

	return &wire.IncarnationsResponse{Incarnations: incarnationsToWire(known)}, nil
}

// runIncarnationExchange exchanges incarnations with each other control VM until ctx ends. A target announces itself
// to one control VM, and any of them may acknowledge its removal: each has to know which incarnations a removal ends,
// and to ignore their delayed announcements.
func (s *Server) runIncarnationExchange(ctx context.Context) {
	running := make(map[string]context.CancelFunc)

	var exchanges sync.WaitGroup
	defer exchanges.Wait()

	for {
		peers := s.peers()

		for _, p := range peers {
			if p.ExchangeIncarnations == nil || running[p.Name] != nil {
				continue
			}

			peerCtx, cancel := context.WithCancel(ctx)
			running[p.Name] = cancel

			exchanges.Go(func() { s.exchangeWith(peerCtx, p) })
		}

		for name, cancel := range running {
			if !slices.ContainsFunc(peers, func(p Peer) bool { return p.Name == name }) {
				cancel()
				delete(running, name)
			}
		}

		if !pauses.Sleep(ctx, peerCheckInterval) {
			return
		}
	}
}

// exchange is the progress of the exchange with one peer.
type exchange struct {
	// sent is the revision of the incarnations that the peer has, refreshAt when it needs all again.
	sent      uint64
	refreshAt time.Time
	// heard is set once the peer has sent all that it knows.
	heard bool
}

// exchangeWith exchanges incarnations with a peer when they change, and at intervals, until ctx ends.
func (s *Server) exchangeWith(ctx context.Context, p Peer) {
	var e exchange

	delay := exchangeRetryDelay

	for ctx.Err() == nil {
		// The channel is read before the incarnations, so a change after that ends the wait.
		changed := s.incarnationsChanged.changed()

		if err := s.exchangeOnce(ctx, p, &e); err != nil {
			pauses.Sleep(ctx, delay)

			delay = min(2*delay, maxExchangeRetryDelay)

			continue
		}

		delay = exchangeRetryDelay

		pauses.Sleep(ctx, exchangeSpacing)

		refresh := time.NewTimer(time.Until(e.refreshAt))

		select {
		case <-changed:
		case <-refresh.C:
		case <-ctx.Done():
		}

		refresh.Stop()
	}
}

// exchangeOnce tells a peer what it lacks, if anything, and asks it for all that it knows until it has answered once.
func (s *Server) exchangeOnce(ctx context.Context, p Peer, e *exchange) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()

	now := time.Now()
	next := exchange{refreshAt: e.refreshAt, heard: true}
	since := e.sent

	if !now.Before(e.refreshAt) {
		since, next.refreshAt = 0, now.Add(exchangeRefresh)
	}

	var own []directory.Incarnation

	err := s.withTargets(ctx, func(targets *targetTracker) { own, next.sent = targets.registry.Incarnations(since) })
	if err != nil {
		return err
	}

	if e.heard && len(own) == 0 {
		*e = next

		return nil
	}

	out, err := p.ExchangeIncarnations(ctx, &wire.IncarnationsRequest{Cluster: s.Cluster, Incarnations: incarnationsToWire(own), All: !e.heard})
	if isBadRoute(err) {
		err = nil // The peer runs an earlier build, which has nothing to tell.
	}

	if err != nil {
		return eris.Wrap(err, p.Name)
	}

	if err := s.mergeIncarnations(ctx, out.GetIncarnations()); err != nil {
		return err
	}

	*e = next

	return nil
}

func (s *Server) mergeIncarnations(ctx context.Context, incarnations []*wire.Incarnation) error {
	return s.withTargets(ctx, func(targets *targetTracker) {
		targets.registry.MergeIncarnations(time.Now(), incarnationsFromWire(incarnations))
	})
}

func isBadRoute(err error) bool {
	var problem twirp.Error

	return errors.As(err, &problem) && problem.Code() == twirp.BadRoute
}

// notifyPeers wakes the exchanges with other control VMs if incarnations have changed.
func (s *Server) notifyPeers(targets *targetTracker) {
	if revision := targets.registry.IncarnationsRevision(); revision > targets.notifiedIncarnations {
		targets.notifiedIncarnations = revision
		s.incarnationsChanged.notify()
	}
}

func incarnationsToWire(incarnations []directory.Incarnation) []*wire.Incarnation {
	out := make([]*wire.Incarnation, 0, len(incarnations))
	for _, in := range incarnations {
		out = append(out, &wire.Incarnation{ID: in.ID, Born: in.StartTime, Removed: in.Removed})
	}

	return out
}

// incarnationsFromWire returns the incarnations with valid IDs.
func incarnationsFromWire(incarnations []*wire.Incarnation) []directory.Incarnation {
	out := make([]directory.Incarnation, 0, len(incarnations))

	for _, in := range incarnations {
		if checkTargetID(in.GetID()) == nil {
			out = append(out, directory.Incarnation{ID: in.GetID(), StartTime: in.GetBorn(), Removed: in.GetRemoved()})
		}
	}

	return out
}
