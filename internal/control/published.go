package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// published is an immutable picture of the state, which polls and operators'
// questions read.
type published struct {
	records   ledger.Records
	decisions []*wire.DecisionEntry
	floor     uint64
	tickIndex uint64
	// tickLearnt is when this VM applied the last tick, or later.
	tickLearnt time.Time
	changes    uint64
	learnt     []learning
	document   *document
	// stateIndex orders what entries hear of documents and zones.
	stateIndex uint64
	// replaced is closed once a later picture is published.
	replaced chan struct{}
}

// learning is when this VM applied a version. It is never earlier than the
// commit, so that counting a lease from it is cautious.
type learning struct {
	version uint64
	at      time.Time
}

// maxLearnings bounds how many versions' times are kept.
const maxLearnings = 4096

// learntAt returns when this VM applied version, or a later time. It guards
// against a VM that caught up by a snapshot, which skips versions: those count
// from the snapshot, not from a time at which this VM could not know them.
func (p *published) learntAt(version uint64) time.Time {
	i, _ := slices.BinarySearchFunc(p.learnt, version, func(l learning, v uint64) int {
		return cmp.Compare(l.version, v)
	})

	return p.learnt[min(i, len(p.learnt)-1)].at
}

// publish replaces the picture. Only the goroutine that owns the ledger calls it.
func (s *Server) publish(now time.Time) {
	records := s.state.Records()
	entries, floor := s.state.Decisions()
	next := &published{
		records:   records,
		decisions: entries,
		floor:     floor,
		tickIndex: s.state.TickIndex(),
		changes:   s.state.ChangeCount(),
		learnt:    s.learn(records.Version, now),
		replaced:  make(chan struct{}),
	}

	next.tickLearnt = now

	before := s.published.Load()
	stored, index := s.state.Document()
	next.document, next.stateIndex = documentOf(stored, before), index

	if before != nil && before.tickIndex == next.tickIndex {
		next.tickLearnt = before.tickLearnt
	}

	s.published.Store(next)

	if before != nil {
		close(before.replaced)
	}
}

func (s *Server) learn(version uint64, now time.Time) []learning {
	before := s.published.Load()
	if before == nil {
		return []learning{{version: version, at: now}}
	}

	learnt := before.learnt
	if last := learnt[len(learnt)-1]; last.version >= version {
		return learnt
	}

	if len(learnt) >= maxLearnings {
		learnt = slices.Clone(learnt[maxLearnings/2:])
	}

	return append(learnt, learning{version: version, at: now})
}
