package control

import (
	"context"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// groupApplied calls OnGroupEntry for an applied log entry about an expert map.
func (s *Server) groupApplied(index uint64, e *wire.GroupEntry) {
	if s.OnGroupEntry != nil {
		s.OnGroupEntry(index, e, s.state.Groups())
	}
}

// ProposeGroup proposes a log entry about an expert map. After any error the entry may
// still be committed; proposing it again is safe.
func (s *Server) ProposeGroup(ctx context.Context, e *wire.GroupEntry) error {
	_, err := s.propose(ctx, &wire.Command{Kind: &wire.Command_GroupEntry{GroupEntry: e}})

	return err
}

// Version returns the version of the configuration on this VM.
func (s *Server) Version() uint64 { return s.published.Load().records.Version }

// Configuration returns all records on this VM.
func (s *Server) Configuration() []*wire.Record { return s.published.Load().records.All() }
