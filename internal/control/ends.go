package control

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Ends merges the ends of targets that an entry reports. It answers with those that the entry lacks, at
// once if it needs one of them, otherwise when it does or at the end of the requested wait.
func (s *Server) Ends(ctx context.Context, r *wire.EndsRequest) (*wire.EndsResponse, error) {
	if r.GetCluster() != s.Cluster {
		return nil, newRPCError(twirp.FailedPrecondition, "this control VM belongs to another cluster")
	}

	if len(r.GetEnds()) > 0 {
		if err := s.withTargets(ctx, func(targets *targetTracker) {
			now := time.Now()
			targets.evidence.Merge(now, quarantine.EndsFromWire(r.GetEnds(), now))
		}); err != nil {
			return nil, err
		}
	}

	timer := time.NewTimer(min(time.Duration(r.GetWaitMillis())*time.Millisecond, s.Settings.MaxPollWait))
	defer timer.Stop()

	for ended := r.GetWaitMillis() == 0; ; {
		// The channel is read before the answer is built, so a change during that ends the wait.
		changed := s.targetsChanged.changed()

		out, needed, err := s.endsFor(ctx, r)
		if err != nil || needed || ended {
			return out, err
		}

		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-ctx.Done():
			return nil, newRPCError(twirp.Canceled, "the request ended early")
		}
	}
}

// endsFor returns the ends that the sender of r lacks, and whether it needs them now.
func (s *Server) endsFor(ctx context.Context, r *wire.EndsRequest) (*wire.EndsResponse, bool, error) {
	known := r.GetRevision()
	if r.GetBoot() != s.directoryBoot {
		known = 0
	}

	var (
		out    *wire.EndsResponse
		needed bool
	)

	// After an error, out may still be written.
	if err := s.withTargets(ctx, func(targets *targetTracker) {
		ends, revision := targets.evidence.ChangedSince(known)
		out = &wire.EndsResponse{Boot: s.directoryBoot, Revision: revision, Ends: quarantine.EndsToWire(ends, time.Now())}
		needed = known == 0 || targets.notifiedEvidence > known
	}); err != nil {
		return nil, false, err
	}

	return out, needed, nil
}
