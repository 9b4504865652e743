package ledger

import (
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// putMap stages an expert map, or commits the staged one. The committed map of the
// group stays in force while another is staged. The fencing number is the log index,
// so it grows with each change of any map, and a late order of an earlier map can be
// recognized.
func (l *Ledger) putMap(index uint64, m *wire.ExpertMap) *wire.MapAnswer {
	committed := l.records.get(ExpertMapPrefix + m.GetGroup()).GetExpertMap()
	staged := l.records.get(StagedMapPrefix + m.GetGroup()).GetExpertMap()

	if cause := mapRejection(committed, staged, m); cause != "" {
		return &wire.MapAnswer{Current: committed, Cause: cause}
	}

	next := proto.CloneOf(m)
	next.FencingNumber = index

	if m.GetCommitted() {
		next.Placement = staged.GetPlacement()
		l.records.remove(index, mapKey(staged))
	}

	l.records.put(index, &wire.Record{Key: mapKey(next), Value: &wire.Record_ExpertMap{ExpertMap: next}})

	return &wire.MapAnswer{Accepted: true, Current: next}
}

// mapRejection returns why the map must be rejected, or "". It ensures that all ranks
// use one map: a staged version never changes its placement, so the ranks that staged
// it hold the same placement when it is committed.
func mapRejection(committed, staged, m *wire.ExpertMap) string {
	if m.GetGroup() == "" {
		return "the map names no group"
	}

	if m.GetCommitted() {
		if staged == nil || staged.GetMapVersion() != m.GetMapVersion() {
			return "the version to commit is not the staged one"
		}

		return ""
	}

	if m.GetMapVersion() <= max(committed.GetMapVersion(), staged.GetMapVersion()) {
		return "the version to stage is not newer than the held one"
	}

	return ""
}
