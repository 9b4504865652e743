package expertmap

import "github.com/parsleygate/parsleygate/internal/wire"

// RecordToWire converts r to its wire and storage format.
func RecordToWire(r Record) *wire.GroupRecord {
	return &wire.GroupRecord{
		AsOf: uint64(r.AsOf), RulingVersion: uint64(r.Current.Version), RulingStep: uint64(r.Current.Step),
		RulingBefore: uint64(r.Current.Previous), RulingFence: uint64(r.Current.Fence),
		OpenFence: uint64(r.Open.Fence), OpenVersion: uint64(r.Open.Version),
	}
}

// RecordFromWire converts w to a Record.
func RecordFromWire(w *wire.GroupRecord) Record {
	return Record{
		AsOf: Fence(w.GetAsOf()),
		Current: Activation{
			Version: Version(w.GetRulingVersion()), Step: Step(w.GetRulingStep()),
			Previous: Version(w.GetRulingBefore()), Fence: Fence(w.GetRulingFence()),
		},
		Open: Switch{Fence: Fence(w.GetOpenFence()), Version: Version(w.GetOpenVersion())},
	}
}

// EntryToWire converts e to an entry of the group's log, without a placement.
func EntryToWire(group string, e Entry) *wire.GroupEntry {
	return &wire.GroupEntry{
		Group: group, Kind: wire.GroupEntryKind(e.Kind), Fence: uint64(e.Fence), Version: uint64(e.Version),
		Step: uint64(e.Step), Rank: uint32(e.Rank), Incarnation: e.Incarnation,
	}
}

// EntryFromWire converts w to an Entry.
func EntryFromWire(w *wire.GroupEntry) Entry {
	return Entry{
		Kind: EntryKind(w.GetKind()), Fence: Fence(w.GetFence()), Version: Version(w.GetVersion()),
		Step: Step(w.GetStep()), Rank: int(w.GetRank()), Incarnation: w.GetIncarnation(),
	}
}

// OrderToWire converts o to its wire format, without maps.
func OrderToWire(group string, o Order) *wire.RankOrder {
	return &wire.RankOrder{
		Group: group, Kind: wire.RankOrderKind(o.Kind), Rank: uint32(o.Rank), Incarnation: o.Incarnation,
		Fence: uint64(o.Fence), Version: uint64(o.Version), Step: uint64(o.Step), Record: RecordToWire(o.Record),
	}
}

// OrderFromWire converts w to an Order.
func OrderFromWire(w *wire.RankOrder) Order {
	return Order{
		Kind: OrderKind(w.GetKind()), Rank: int(w.GetRank()), Incarnation: w.GetIncarnation(),
		Fence: Fence(w.GetFence()), Version: Version(w.GetVersion()), Step: Step(w.GetStep()),
		Record: RecordFromWire(w.GetRecord()),
	}
}

// StatusToWire converts s to its wire format.
func StatusToWire(s Status) *wire.RankStatus {
	return &wire.RankStatus{
		Rank: uint32(s.Rank), Incarnation: s.Incarnation, Known: s.Confirmed, Joined: uint64(s.Joined),
		Staged: uint64(s.Staged), Promised: uint64(s.Promised), Refused: uint64(s.Refused),
		AsOf: uint64(s.AsOf), Highest: uint64(s.HighestFence),
	}
}

// StatusFromWire converts w to a Status.
func StatusFromWire(w *wire.RankStatus) Status {
	return Status{
		Rank: int(w.GetRank()), Incarnation: w.GetIncarnation(), Confirmed: w.GetKnown(), Joined: Step(w.GetJoined()),
		Staged: Fence(w.GetStaged()), Promised: Fence(w.GetPromised()), Refused: Fence(w.GetRefused()),
		AsOf: Fence(w.GetAsOf()), HighestFence: Fence(w.GetHighest()),
	}
}
