package control

import (
	"context"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
)

// confirmation records that the state applied on this VM was current at asOf.
type confirmation struct {
	asOf time.Time
}

// applyCheckInterval is the interval at which a read checks whether the commands up to
// its index have been applied.
const applyCheckInterval = 2 * time.Millisecond

// runConfirmations confirms with a quorum every ReadIndexInterval that the state of this VM
// is current; all polls share the result. If a partition silently drops this VM's traffic
// to the others, its reads fail and asOf does not advance, so its polls soon return Stale
// instead of an outdated configuration.
func (s *Server) runConfirmations(ctx context.Context) {
	for {
		s.confirmOnce(ctx)

		if !pauses.Sleep(ctx, s.Settings.ReadIndexInterval) {
			return
		}
	}
}

func (s *Server) confirmOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.Lease)
	defer cancel()

	asOf, index, err := s.ReadIndex(ctx)
	if err != nil {
		s.Logger.Debug("Read index failed; the state is not confirmed as current.", "error", err)
		return
	}

	if s.awaitApplied(ctx, index) {
		s.confirmed.Store(&confirmation{asOf: asOf})
	}
}

func (s *Server) awaitApplied(ctx context.Context, index uint64) bool {
	for s.applied.Load() < index {
		if !pauses.Sleep(ctx, applyCheckInterval) {
			return false
		}
	}

	return true
}

// age returns the time since the state was last confirmed as current, and whether that is
// within the lease.
func (s *Server) age(now time.Time) (age time.Duration, valid bool) {
	last := s.confirmed.Load()
	if last == nil {
		return 0, false
	}

	age = max(now.Sub(last.asOf), 0)

	return age, age < s.Settings.Lease
}
