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

var (
	errNoDisk         = eris.New("this control VM has no disk")
	errRemovalUnsaved = eris.New("too few control VMs have the removal on their disks")
)

// Leave records that a target has ended. It returns nil once the removal is on the disks of a majority of the voters,
// so that it outlives what their set tolerates and a loss of power of all. Entries hear of it at once. If the ID is
// invalid, it returns an *InvalidIDError.
func (s *Server) Leave(ctx context.Context, id string) error {
	if err := checkTargetID(id); err != nil {
		return err
	}

	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()

	r := &wire.RemovalRequest{Cluster: s.Cluster, ID: id, Removal: max(rand.Uint64(), 1)}
	self, voters := true, []Voter(nil)

	if s.FindVoters != nil {
		self, voters = s.FindVoters()
	}

	total := len(voters)
	if self {
		total++
	}

	saved, err := s.recordRemoval(ctx, func(t *targetTracker) error {
		if !t.knowsIncarnations(self, voters) {
			return errIncarnationsUnknown
		}

		r.Born = t.registry.Leave(time.Now(), id, r.GetRemoval())

		return nil
	})
	if err != nil {
		return err
	}

	results := make(chan error, total)

	if self {
		go func() { results <- awaitSave(ctx, saved) }()
	}

	for _, v := range voters {
		go func() { results <- eris.Wrap(v.RecordRemoval(ctx, r), v.Name) }()
	}

	return awaitMajority(ctx, results, total)
}

// awaitMajority returns nil once more than half of the results are nil, and an error once they can't be.
func awaitMajority(ctx context.Context, results <-chan error, total int) error {
	saved, failed := 0, 0

	for saved <= total/2 {
		if failed >= total-total/2 {
			return errRemovalUnsaved
		}

		select {
		case err := <-results:
			if err == nil {
				saved++
			} else {
				failed++
			}
		case <-ctx.Done():
			return errRemovalUnsaved
		}
	}

	return nil
}

// RecordRemoval records a removal that another control VM acknowledges.
func (s *Server) RecordRemoval(ctx context.Context, r *wire.RemovalRequest) (*wire.RemovalResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newRPCError(twirp.FailedPrecondition, "this control VM belongs to another cluster")
	}

	saved, err := s.recordRemoval(ctx, func(t *targetTracker) error {
		t.registry.RecordRemoval(time.Now(), r.GetID(), r.GetRemoval(), r.GetBorn())

		return nil
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
func (s *Server) recordRemoval(ctx context.Context, record func(*targetTracker) error) (<-chan error, error) {
	var refused error

	saved := make(chan error, 1)

	err := s.withTargets(ctx, func(targets *targetTracker) {
		if refused = record(targets); refused != nil {
			return
		}

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

	return saved, refused
}

func awaitSave(ctx context.Context, saved <-chan error) error {
	select {
	case err := <-saved:
		return err
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "save a removal")
	}
}
