package control

import (
	"context"
	"time"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// eventBuffer bounds how many polls wait for the goroutine that owns what was heard.
const eventBuffer = 4096

// event is a poll, or a question to the goroutine that owns what was heard.
type event struct {
	poll *wire.PollRequest
	at   time.Time
	ask  func(*reports)
}

// post hands an event over. A poll is dropped where the buffer is full: the
// process polls again, and its silence is counted in many polls.
func (s *Server) post(ctx context.Context, e event) {
	if e.ask == nil {
		select {
		case s.events <- e:
		default:
		}

		return
	}

	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// keepDirectory owns what this VM has heard, and proposes reports, expiries and
// ticks. One goroutine beside it waits for the log, so that a lost quorum does
// not keep it from hearing.
func (s *Server) keepDirectory(ctx context.Context) {
	d := &directory{reports: newReports()}
	idle := make(chan struct{}, 1)
	idle <- struct{}{}

	batch := time.NewTicker(s.Settings.BatchEvery)
	defer batch.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events:
			d.refresh(s.published.Load())
			d.handle(e)
		case <-batch.C:
			s.startCommit(ctx, d, idle)
		}
	}
}

// startCommit proposes what is pending, unless the last proposal still waits.
func (s *Server) startCommit(ctx context.Context, d *directory, idle chan struct{}) {
	select {
	case <-idle:
	default:
		return
	}

	batch := d.reports.take()

	go func() {
		defer func() { idle <- struct{}{} }()

		s.commitReports(ctx, batch)
	}()
}

// directory is what the goroutine that hears polls owns.
type directory struct {
	reports *reports
	version uint64
	nodes   map[string]*wire.Node
}

func (d *directory) refresh(p *published) {
	if d.nodes != nil && p.records.Version == d.version {
		return
	}

	d.version = p.records.Version
	d.nodes = nodesOf(p.records)
}

func (d *directory) handle(e event) {
	if e.ask != nil {
		e.ask(d.reports)
		return
	}

	d.reports.polled(e.at, e.poll, d.nodes)
}

func (s *Server) commitReports(ctx context.Context, batch []*wire.NodeReport) {
	if len(batch) == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, s.Settings.ProposeTimeout)
	defer cancel()

	command := &wire.Command{Kind: &wire.Command_NodeReports{NodeReports: &wire.NodeReports{Reports: batch}}}
	if _, err := s.propose(ctx, command); err != nil {
		s.Logger.Warn("reports not committed", "count", len(batch), "error", err)
	}
}
