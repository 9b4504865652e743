package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// saveIfChanged saves the directory of targets where it changed. What a loss of power takes,
// the targets say again within a beat.
func (s *Server) saveIfChanged(targets *targetTracker) {
	if s.SaveTargets == nil {
		return
	}

	now := time.Now()
	current := targets.currentRoster(now)

	if targets.registry.Revision() == targets.savedRevision && current.hash == targets.savedRosterHash {
		return
	}

	targets.savedRevision, targets.savedRosterHash = targets.registry.Revision(), current.hash

	saved := &wire.FollowResponse{Roster: current.entries}

	for _, t := range targets.registry.ChangedSince(0) {
		saved.Targets = append(saved.Targets, t.ToWire(now))
	}

	data, err := proto.Marshal(saved)
	if err != nil {
		s.Logger.Warn("The directory of targets is not saved.", "error", err)

		return
	}

	select {
	case s.saveQueue <- data:
	default:
		// The disk is slow, and an earlier one is being saved still.
		targets.savedRevision = 0
	}
}

// runTargetSaver writes what keep hands it, apart from the goroutine that hears: a disk
// may hang for seconds.
func (s *Server) runTargetSaver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-s.saveQueue:
			if err := s.SaveTargets(data); err != nil {
				s.Logger.Warn("The directory of targets is not saved.", "error", err)
			}
		}
	}
}

// restoreTargets takes the directory of before a restart, and the entries that followed. Where all
// control VMs and entries are killed at once, callers would else be refused until the
// targets have announced themselves again, and each entry would take itself for one of few
// and use far more of a shared limit than its part. A target that has gone meanwhile does
// not answer, another one at its address refuses what is meant for it, and one that says
// nothing soon counts as silent. So does an entry that does not ask.
func (s *Server) restoreTargets(targets *targetTracker) {
	if s.LoadTargets == nil {
		return
	}

	data, err := s.LoadTargets()
	saved := &wire.FollowResponse{}

	if err == nil {
		err = proto.Unmarshal(data, saved)
	}

	if err != nil {
		s.Logger.Info("No directory of targets from before.", "error", err)

		return
	}

	now := time.Now()

	for _, w := range saved.GetTargets() {
		t, err := directory.FromWire(w, now)
		if err != nil {
			s.Logger.Warn("A saved target cannot be read.", "target", w.GetID(), "error", err)

			continue
		}

		targets.registry.Restore(now, t)
	}

	for _, e := range saved.GetRoster() {
		targets.recordFollower(e.GetID(), follower{lastRequest: now, zone: e.GetZone()})
	}

	s.Logger.Info("The directory of targets is taken from before.", "targets", len(saved.GetTargets()), "entries", len(saved.GetRoster()))
}
