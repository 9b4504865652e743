package control

import (
	"context"
	"time"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/pauses"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// eventBuffer bounds how many polls wait for the goroutine that hears them.
const eventBuffer = 4096

// event is a poll, or a question to the goroutine that hears polls.
type event struct {
	poll *wire.PollRequest
	at   time.Time
	ask  func(*hearing)
	// announced is a question about targets that announce themselves here.
	announced func(*announcements)
}

func (s *Server) post(ctx context.Context, e event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// hear owns what this VM has heard. It never waits for the log, so that a lost
// quorum does not keep it from hearing.
func (s *Server) hear(ctx context.Context) {
	core := newHearing()
	targets := newAnnouncements(s.AnnounceInterval)
	s.recall(targets)

	committer := make(chan struct{}, 1)
	batch := time.NewTicker(s.Settings.ReportBatchInterval)

	defer batch.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			if e.announced != nil {
				e.announced(targets)

				continue
			}

			core.refresh(s.published.Load().records)
			handle(core, e)
		case <-batch.C:
			core.refresh(s.published.Load().records)
			s.hearSelf(core)
			core.forget(time.Now())

			if targets.heard.Tick(time.Now()) {
				s.announced.wake()
			}

			s.keep(targets)

			s.startCommit(ctx, core, committer)
		}
	}
}

// hearSelf makes this VM a process of the directory. It holds what it applied.
func (s *Server) hearSelf(core *hearing) {
	if s.Self == nil {
		return
	}

	core.polled(time.Now(), &wire.PollRequest{Node: s.Self(), KnownVersion: core.version})
}

// StopPlanned reports whether the operators plan to stop the process with that
// ID, in the incarnation that the directory holds.
func (s *Server) StopPlanned(id string) bool {
	return s.published.Load().records.Get(ledger.StopPrefix+id) != nil
}

func handle(core *hearing, e event) {
	if e.ask != nil {
		e.ask(core)
		return
	}

	core.polled(e.at, e.poll)
}

// startCommit proposes what is pending, unless the last proposal still waits.
func (s *Server) startCommit(ctx context.Context, core *hearing, committer chan struct{}) {
	if len(core.pending) == 0 {
		return
	}

	select {
	case committer <- struct{}{}:
	default:
		return
	}

	batch := core.take()

	go func() {
		defer func() { <-committer }()

		s.proposeOwn(ctx, &wire.Command{
			Kind: &wire.Command_NodeReports{NodeReports: &wire.NodeReports{Reports: batch}},
		})
	}()
}

// proposeOwn commits a command that no caller waits for.
func (s *Server) proposeOwn(ctx context.Context, command *wire.Command) {
	ctx, cancel := context.WithTimeout(ctx, s.Settings.ProposeTimeout)
	defer cancel()

	if _, err := s.propose(ctx, command); err != nil && ctx.Err() == nil {
		s.Logger.Warn("proposal failed", "error", err)
	}
}

// tend moves the clock of the state and expires silent processes, while this VM leads.
func (s *Server) tend(ctx context.Context) {
	core := newSilence(s.Settings.ExpiryTimeout)

	for pauses.For(ctx, s.Settings.ExpiryCheckInterval) {
		if s.IsLeader != nil && !s.IsLeader() {
			core.idle()
			continue
		}

		s.tickState(ctx)
		s.expireSilent(ctx, core)
	}
}

func (s *Server) tickState(ctx context.Context) {
	p := s.published.Load()

	elapsed := time.Since(p.tickLearnt)
	if elapsed < s.Settings.TickInterval {
		return
	}

	s.proposeOwn(ctx, &wire.Command{Kind: &wire.Command_Tick{Tick: &wire.Tick{
		After:         p.tickIndex,
		ElapsedMillis: uint64(elapsed.Milliseconds()),
	}}})
}

func (s *Server) expireSilent(ctx context.Context, core *silence) {
	all := s.gather(ctx)

	silent := core.watch(time.Now(), nodesOf(s.published.Load().records), all.sightings)
	if len(silent) == 0 {
		return
	}

	s.Logger.Info("silent processes", "count", len(silent), "first", silent[0].GetID())
	s.proposeOwn(ctx, &wire.Command{Kind: &wire.Command_Expiry{Expiry: &wire.Expiry{Nodes: silent}}})
}
