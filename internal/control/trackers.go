package control

import (
	"context"
	"time"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// eventBuffer is the number of events that may wait for the goroutine of runTrackers.
const eventBuffer = 4096

// event is a poll to record, or a function to run on the goroutine of runTrackers.
type event struct {
	poll  *wire.PollRequest
	at    time.Time
	query func(*pollTracker)
	// targetQuery reads or changes the targets that announced themselves to this VM.
	targetQuery func(*targetTracker)
}

func (s *Server) post(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// runTrackers owns the polls and announcements that this VM received. It never waits for
// the log, so it keeps recording while the quorum is lost.
func (s *Server) runTrackers(ctx context.Context) {
	polls := newPollTracker()
	targets := newTargetTracker(s.AnnounceInterval)
	targets.registry.MaxTargets = s.MaxTargets
	s.restoreTargets(targets)

	commitSlot := make(chan struct{}, 1)
	batch := time.NewTicker(s.Settings.ReportBatchInterval)
	notify := time.NewTimer(s.Settings.ReportBatchInterval) // reset when a notification has to wait

	defer batch.Stop()
	defer notify.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			if e.targetQuery != nil {
				e.targetQuery(targets)
				s.notifyFollowers(time.Now(), targets, notify)
				s.notifyPeers(targets)

				if len(targets.unsaved) > 0 {
					s.saveIfChanged(targets)
				}

				continue
			}

			polls.updateDirectory(s.published.Load().records)
			handleEvent(polls, e)
		case <-notify.C:
			s.notifyFollowers(time.Now(), targets, notify)
		case <-batch.C:
			polls.updateDirectory(s.published.Load().records)
			s.recordSelf(polls)
			polls.dropOldRecords(time.Now())
			s.updateControls(targets)
			targets.registry.Tick(time.Now())
			targets.evidence.Expire(time.Now())
			s.notifyFollowers(time.Now(), targets, notify)
			s.notifyPeers(targets)
			s.saveIfChanged(targets)

			s.startCommit(ctx, polls, commitSlot)
		}
	}
}

// recordSelf records a poll of this VM itself, so that the directory lists it as a process.
// The version that it acknowledges is the one that it applied.
func (s *Server) recordSelf(polls *pollTracker) {
	if s.Self == nil {
		return
	}

	polls.recordPoll(time.Now(), &wire.PollRequest{Node: s.Self(), KnownVersion: polls.version})
}

// StopPlanned reports whether operators plan to stop the process with that ID in the
// incarnation that the directory holds.
func (s *Server) StopPlanned(id string) bool {
	return s.published.Load().records.Get(ledger.StopPrefix+id) != nil
}

func handleEvent(polls *pollTracker, e event) {
	if e.query != nil {
		e.query(polls)
		return
	}

	polls.recordPoll(e.at, e.poll)
}

// startCommit proposes the pending reports, unless the previous proposal is still in
// progress.
func (s *Server) startCommit(ctx context.Context, polls *pollTracker, commitSlot chan struct{}) {
	if len(polls.pending) == 0 {
		return
	}

	select {
	case commitSlot <- struct{}{}:
	default:
		return
	}

	batch := polls.takeBatch()

	go func() {
		defer func() { <-commitSlot }()

		s.proposeInternal(ctx, &wire.Command{
			Kind: &wire.Command_NodeReports{NodeReports: &wire.NodeReports{Reports: batch}},
		})
	}()
}

// proposeInternal commits a command that no client waits for.
func (s *Server) proposeInternal(ctx context.Context, command *wire.Command) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.ProposeTimeout)
	defer cancel()

	if _, err := s.propose(ctx, command); err != nil && ctx.Err() == nil {
		s.Logger.Warn("Proposing an internal command failed.", "error", err)
	}
}

// runLeaderTasks advances the clock of the state and expires unresponsive processes while
// this VM is the leader.
func (s *Server) runLeaderTasks(ctx context.Context) {
	checker := newExpiryChecker(s.Settings.ExpiryTimeout)

	for pauses.Sleep(ctx, s.Settings.ExpiryCheckInterval) {
		if s.IsLeader != nil && !s.IsLeader() {
			checker.reset()
			continue
		}

		s.proposeTick(ctx)
		s.expireUnresponsive(ctx, checker)
	}
}

func (s *Server) proposeTick(ctx context.Context) {
	p := s.published.Load()

	elapsed := time.Since(p.tickAppliedAt)
	if elapsed < s.Settings.TickInterval {
		return
	}

	s.proposeInternal(ctx, &wire.Command{Kind: &wire.Command_Tick{Tick: &wire.Tick{
		After:         p.tickIndex,
		ElapsedMillis: uint64(elapsed.Milliseconds()),
	}}})
}

func (s *Server) expireUnresponsive(ctx context.Context, checker *expiryChecker) {
	collected := s.collectPolls(ctx)

	expired := checker.check(time.Now(), nodesByID(s.published.Load().records), collected.polls)
	if len(expired) == 0 {
		return
	}

	s.Logger.Info("Expiring unresponsive processes.", "count", len(expired), "first", expired[0].GetID())
	s.proposeInternal(ctx, &wire.Command{Kind: &wire.Command_Expiry{Expiry: &wire.Expiry{Nodes: expired}}})
}
