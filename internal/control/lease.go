package control

import (
	"context"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
)

// confirmation says that the state applied on this VM was current at asOf.
type confirmation struct {
	asOf time.Time
}

// applyCheckInterval is how often a read looks whether the log's commands reached the state.
const applyCheckInterval = 2 * time.Millisecond

// runConfirmations shows every ReadEvery, for all polls together, that the state is
// current. It guards against a control VM that a silent partition has cut off:
// it would go on telling readers that an old configuration holds. Its reads
// fail, asOf stays where it was, and its polls soon answer Stale.
func (s *Server) runConfirmations(ctx context.Context) {
	for {
		s.confirmOnce(ctx)

		if !pauses.For(ctx, s.Settings.ReadIndexInterval) {
			return
		}
	}
}

func (s *Server) confirmOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Lease)
	defer cancel()

	asOf, index, err := s.ReadIndex(ctx)
	if err != nil {
		s.Logger.Debug("read failed", "error", err)
		return
	}

	if s.awaitApplied(ctx, index) {
		s.confirmed.Store(&confirmation{asOf: asOf})
	}
}

func (s *Server) awaitApplied(ctx context.Context, index uint64) bool {
	for s.applied.Load() < index {
		if !pauses.For(ctx, applyCheckInterval) {
			return false
		}
	}

	return true
}

// age returns how long ago the state was known to be current, and whether that
// is recent enough to give readers any freshness.
func (s *Server) age(now time.Time) (age time.Duration, valid bool) {
	last := s.confirmed.Load()
	if last == nil {
		return 0, false
	}

	age = max(now.Sub(last.asOf), 0)

	return age, age < s.Settings.Lease
}
