package control

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// removalTimeout bounds how long a removal waits for disks. Targets wait for a second, then they ask the next VM.
const removalTimeout = 800 * time.Millisecond

// learnTimeout bounds the part of it in which voters tell what they know of the target.
const learnTimeout = 300 * time.Millisecond

var (
	errNoDisk       = eris.New("this control VM has no disk")
	errTooFewVoters = eris.New("too few of the control VMs that have a vote have answered, or have the removal on their disks")
)

// Leave records that a target has ended. It returns nil once the removal is on the disks of a majority of the voters,
// so that it outlives what their set tolerates and a loss of power of all. Entries hear of it at once. If the ID is
// invalid, it returns an *InvalidIDError, and if it is unknown and too many targets are known, a *TooManyTargetsError.
func (s *Server) Leave(ctx context.Context, id string) error {
	if err := checkTargetID(id); err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()

	if err := s.checkRoomFor(ctx, id); err != nil {
		return err
	}

	r := &wire.RemovalRequest{Cluster: s.Cluster, ID: id, Removal: max(rand.Uint64(), 1)}
	self, voters := true, []Voter(nil)

	if s.FindVoters != nil {
		self, voters = s.FindVoters()
	}

	if err := s.learnIncarnation(ctx, id, self, voters); err != nil {
		s.Logger.Info("The voters did not tell which incarnation a removal ends.", "target", id, "error", err)
	}

	// A caller that gave up while this VM was suspended may have been answered by another VM, and may have started
	// again. Its connection is known to be closed by the time at which voters have answered.
	if err := ctx.Err(); err != nil {
		s.Logger.Info("The caller of a removal has left; dropping it.", "target", id)

		return eris.Wrap(err, "the caller has left")
	}

	saved, err := s.recordRemoval(ctx, func(t *targetTracker) {
		r.Born = t.registry.Leave(time.Now(), id, r.GetRemoval())
	})
	if err != nil {
		return err
	}

	return awaitMajority(ctx, self, voters, func() error { return awaitSave(ctx, saved) }, func(v Voter) error {
		return eris.Wrap(v.RecordRemoval(ctx, r), v.Name)
	})
}

// checkRoomFor is checkRoom for other goroutines.
func (s *Server) checkRoomFor(ctx context.Context, id string) error {
	return s.tryWithTargets(ctx, func(targets *targetTracker) error { return s.checkRoom(&targets.registry, id) })
}

// learnIncarnation asks the voters for the latest incarnation of a target, until a majority has answered.
func (s *Server) learnIncarnation(ctx context.Context, id string, self bool, voters []Voter) error {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()

	r := &wire.IncarnationsRequest{Cluster: s.Cluster, Target: id}

	return awaitMajority(ctx, self, voters, func() error { return nil }, func(v Voter) error {
		out, err := v.ExchangeIncarnations(ctx, r)
		if isBadRoute(err) {
			return nil // The voter runs an earlier build.
		}

		if err != nil {
			return eris.Wrap(err, v.Name)
		}

		return s.mergeIncarnations(ctx, out.GetIncarnations())
	})
}

// awaitMajority calls own, if this VM has a vote, and other for each other voter. It returns nil once more than half of
// the results are nil, and an error once they can't be.
func awaitMajority(ctx context.Context, self bool, voters []Voter, own func() error, other func(Voter) error) error {
	total := len(voters)
	if self {
		total++
	}

	results := make(chan error, total)

	if self {
		go func() { results <- own() }()
	}

	for _, v := range voters {
		go func() { results <- other(v) }()
	}

	succeeded, failed := 0, 0

	for succeeded <= total/2 {
		if failed >= total-total/2 {
			return errTooFewVoters
		}

		select {
		case err := <-results:
			if err == nil {
				succeeded++
			} else {
				failed++
			}
		case <-ctx.Done():
			return errTooFewVoters
		}
	}

	return nil
}

// RecordRemoval records a removal that another control VM acknowledges.
func (s *Server) RecordRemoval(ctx context.Context, r *wire.RemovalRequest) (*wire.RemovalResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newRPCError(twirp.FailedPrecondition, "this control VM belongs to another cluster")
	}

	saved, err := s.recordRemoval(ctx, func(t *targetTracker) {
		t.registry.RecordRemoval(time.Now(), r.GetID(), r.GetRemoval(), r.GetBorn())
	})
	if err == nil {
		err = awaitSave(ctx, saved)
	}

	if err != nil {
		return nil, newRPCError(twirp.Unavailable, err.Error())
	}

	return &wire.RemovalResponse{}, nil
}

// recordRemoval records a removal. The channel receives the result of storing it on the disk of this VM. Removals that
// arrive while the disk is busy share the next sync.
func (s *Server) recordRemoval(ctx context.Context, record func(*targetTracker)) (<-chan error, error) {
	saved := make(chan error, 1)

	err := s.withTargets(ctx, func(targets *targetTracker) {
		record(targets)

		switch {
		case s.SaveTargets != nil:
			targets.unsaved = append(targets.unsaved, saved)
		case s.FindVoters == nil:
			saved <- nil
		default:
			saved <- errNoDisk
		}
	})
	if err != nil {
		return nil, err
	}

	return saved, nil
}

func awaitSave(ctx context.Context, saved <-chan error) error {
	select {
	case err := <-saved:
		return err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "save a removal")
	}
}
