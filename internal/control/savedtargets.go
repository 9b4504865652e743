package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/directory"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// maxSavedAge is the age up to which the time of day in a saved file is believed. Beyond it, the
// clock is taken to have been set since.
const maxSavedAge = 24 * time.Hour

// savedTargets is a directory of targets to save, and who waits until it is on the disk.
type savedTargets struct {
	data    []byte
	waiting []chan<- error
}

// saveIfChanged saves the directory of targets, their ends and the roster if they changed. Changes
// of targets lost in a power failure are announced again within one announcement interval.
func (s *Server) saveIfChanged(targets *targetTracker) {
	if s.SaveTargets == nil {
		return
	}

	now := time.Now()
	current := targets.currentRoster(now)

	if len(targets.unsaved) == 0 && targets.registry.Revision() == targets.savedRevision && current.hash == targets.savedRosterHash &&
		targets.evidence.Revision() == targets.savedEvidence && targets.registry.IncarnationsRevision() == targets.savedIncarnations {
		return
	}

	ends, evidenceRevision := targets.evidence.ChangedSince(0)
	targets.savedRevision, targets.savedRosterHash, targets.savedEvidence = targets.registry.Revision(), current.hash, evidenceRevision
	targets.savedIncarnations = targets.registry.IncarnationsRevision()

	saved := &wire.FollowResponse{
		Roster: current.entries, Absent: current.absent, Ends: quarantine.EndsToWire(ends, now), SavedAtMillis: now.UnixMilli(),
		Incarnations: incarnationsToWire(targets.registry.PeerIncarnations()),
	}

	for _, t := range targets.registry.ChangedSince(0) {
		saved.Targets = append(saved.Targets, t.ToWire(now))
	}

	data, err := proto.Marshal(saved)
	if err != nil {
		s.Logger.Warn("Encoding the directory of targets failed; it is not saved.", "error", err)

		return
	}

	select {
	case s.saveQueue <- savedTargets{data: data, waiting: targets.unsaved}:
		targets.unsaved = nil
	default:
		// The previous save is still in progress on a slow disk. Retry at the next call.
		targets.savedRevision = 0
	}
}

// runTargetSaver writes the data queued by saveIfChanged. It has its own goroutine, since a
// disk may block for seconds.
func (s *Server) runTargetSaver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case saved := <-s.saveQueue:
			err := s.SaveTargets(saved.data)
			if err != nil {
				s.Logger.Warn("Writing the directory of targets failed; it is not saved.", "error", err)
			}

			for _, w := range saved.waiting {
				w <- err
			}
		}
	}
}

// restoreTargets loads the directory of targets, their ends and the roster of entries saved before
// a restart. If all control VMs and entries are killed at once, entries without it would
// reject callers until the targets have announced themselves again, and each entry would
// count too few entries and use more than its share of a limit. Restored targets that have
// ended do no harm: they do not answer, another target at the same address rejects requests
// meant for them, and they soon count as unresponsive. Restored entries that send no
// requests time out too.
func (s *Server) restoreTargets(targets *targetTracker) {
	now := time.Now()
	targets.rosterCompleteAt = now.Add(followerTimeout)
	targets.retryUsage.StartedAt = now

	if s.LoadTargets == nil {
		return
	}

	data, err := s.LoadTargets()
	saved := &wire.FollowResponse{}

	if err == nil {
		err = proto.Unmarshal(data, saved)
	}

	if err != nil {
		s.Logger.Info("No usable saved directory of targets; starting with an empty one.", "error", err)

		return
	}

	age := savedAge(now, saved)

	for _, w := range saved.GetTargets() {
		t, err := directory.FromWire(w, now)
		if err != nil {
			s.Logger.Warn("Reading a saved target failed; skipping it.", "target", w.GetID(), "error", err)

			continue
		}

		if !t.RegisteredAt.IsZero() {
			t.RegisteredAt = t.RegisteredAt.Add(-age)
		}

		for i := range t.Removals {
			t.Removals[i].At = t.Removals[i].At.Add(-age)
		}

		targets.registry.Restore(now, t)
	}

	targets.registry.MergeIncarnations(now, incarnationsFromWire(saved.GetIncarnations()))

	for _, e := range saved.GetAbsent() {
		targets.absent[e.GetID()] = absentEntry{zone: e.GetZone(), since: now}
	}

	for _, e := range saved.GetRoster() {
		targets.recordFollower(e.GetID(), follower{lastRequest: now, zone: e.GetZone()})
	}

	targets.rosterCompleteAt, targets.hasRestoredRoster = now, true

	// The ends outlive a loss of power of all VMs, so that it does not release the held parts.
	targets.evidence.Merge(now, quarantine.EndsFromWire(saved.GetEnds(), now.Add(-age)))

	s.Logger.Info("Restored the directory of targets saved before the restart.", "targets", len(saved.GetTargets()), "entries", len(saved.GetRoster()),
		"ends", len(saved.GetEnds()))
}

// savedAge returns how long ago the directory was saved. If the clock was set in between, everything is as old
// as when it was saved: then parts are held longer, but not longer than their holds last.
func savedAge(now time.Time, saved *wire.FollowResponse) time.Duration {
	age := now.Sub(time.UnixMilli(saved.GetSavedAtMillis()))
	if age < 0 || age > maxSavedAge {
		return 0
	}

	return age
}
