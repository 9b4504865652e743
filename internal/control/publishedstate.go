package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// publishedState is an immutable view of the state, read by polls and operator requests.
type publishedState struct {
	records     ledger.Records
	decisions   []*wire.DecisionEntry
	numberFloor uint64
	tickIndex   uint64
	// tickAppliedAt is when this VM applied the last tick, or later.
	tickAppliedAt time.Time
	changes       uint64
	versionTimes  []versionTime
	document      *document
	// previousDocument is for entries that can't apply document.
	previousDocument *document
	// stateIndex orders the states of documents and zones that entries receive.
	stateIndex uint64
	// superseded is closed once a later state is published.
	superseded chan struct{}
}

// versionTime is when this VM applied a version. That is never before the commit, so a
// lease counted from it never ends too early.
type versionTime struct {
	version uint64
	at      time.Time
}

// maxVersionTimes bounds the number of versions whose times are kept.
const maxVersionTimes = 4096

// appliedAt returns when this VM applied version, or a later time. A VM that catches up by
// a snapshot skips versions; their time is that of the snapshot, since this VM did not have
// them earlier.
func (p *publishedState) appliedAt(version uint64) time.Time {
	i, _ := slices.BinarySearchFunc(p.versionTimes, version, func(l versionTime, v uint64) int {
		return cmp.Compare(l.version, v)
	})

	return p.versionTimes[min(i, len(p.versionTimes)-1)].at
}

// publish replaces the published state. Only the goroutine that owns the ledger calls it.
func (s *Server) publish(now time.Time) {
	records := s.state.Records()
	entries, floor := s.state.Decisions()
	next := &publishedState{
		records:      records,
		decisions:    entries,
		numberFloor:  floor,
		tickIndex:    s.state.TickIndex(),
		changes:      s.state.ChangeCount(),
		versionTimes: s.recordVersionTime(records.Version, now),
		superseded:   make(chan struct{}),
	}

	next.tickAppliedAt = now

	prev := s.published.Load()
	stored, index := s.state.Document()
	next.document, next.stateIndex = newDocument(stored, prev), index
	next.previousDocument = newPreviousDocument(s.state.PreviousDocument(), prev)

	if prev != nil && prev.tickIndex == next.tickIndex {
		next.tickAppliedAt = prev.tickAppliedAt
	}

	s.published.Store(next)

	if prev != nil {
		close(prev.superseded)
	}
}

func (s *Server) recordVersionTime(version uint64, now time.Time) []versionTime {
	prev := s.published.Load()
	if prev == nil {
		return []versionTime{{version: version, at: now}}
	}

	times := prev.versionTimes
	if last := times[len(times)-1]; last.version >= version {
		return times
	}

	if len(times) >= maxVersionTimes {
		times = slices.Clone(times[maxVersionTimes/2:])
	}

	return append(times, versionTime{version: version, at: now})
}
