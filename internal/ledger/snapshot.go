package ledger

import (
	"container/list"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// Snapshot returns the encoded state. Equal states give equal bytes.
func (l *Ledger) Snapshot() []byte {
	s := &wire.LedgerSnapshot{
		Index:        l.index,
		Version:      l.records.version,
		Horizon:      l.records.horizon,
		ClockMillis:  toMillis(l.clock.now()),
		TickIndex:    l.clock.lastTick,
		Departed:     l.departures.sorted(),
		ExpiryWindow: l.departures.window,
		Plans:        l.decisions.plans,
		Decisions:    l.decisions.entries,
		NumberFloor:  l.decisions.floor,
		Groups:       l.groups.sorted(),
		Document:     l.documents.current,
		StateIndex:   l.documents.index,

		PreviousDocument: l.documents.previous,
	}

	l.records.compact()

	for _, c := range l.records.changes {
		if c.record == nil {
			s.Tombstones = append(s.Tombstones, &wire.Tombstone{Key: c.key, Version: c.version})
			continue
		}

		s.Records = append(s.Records, c.record)
	}

	for element := l.claims.byWindowEnd.Front(); element != nil; element = element.Next() {
		s.Claims = append(s.Claims, element.Value.(*wire.ClaimEntry))
	}

	return encode(s)
}

// Restore replaces the state by a snapshot. On an error the state is unchanged.
func (l *Ledger) Restore(data []byte) error {
	s := &wire.LedgerSnapshot{}
	if err := proto.Unmarshal(data, s); err != nil {
		return eris.Wrap(err, "decode ledger snapshot")
	}

	l.reset()
	l.index = s.GetIndex()
	l.clock = clock{elapsed: time.Duration(s.GetClockMillis()) * time.Millisecond, lastTick: s.GetTickIndex()}
	l.records.restore(s)
	l.departures.restore(s)
	l.claims.restore(s)
	l.decisions.restore(s)
	l.restoreGroups(s)
	l.documents = documentTable{current: s.GetDocument(), previous: s.GetPreviousDocument(), index: s.GetStateIndex()}

	return nil
}

// restore merges records and tombstones in order of version. The order within one
// version does not matter, since each key occurs once.
func (t *recordTable) restore(s *wire.LedgerSnapshot) {
	tombstones := s.GetTombstones()

	for _, record := range s.GetRecords() {
		for len(tombstones) > 0 && tombstones[0].GetVersion() <= record.GetVersion() {
			t.restoreTombstone(tombstones[0])
			tombstones = tombstones[1:]
		}

		t.live[record.GetKey()] = record
		t.changes = append(t.changes, change{version: record.GetVersion(), key: record.GetKey(), record: record})
	}

	for _, tombstone := range tombstones {
		t.restoreTombstone(tombstone)
	}

	t.version = s.GetVersion()
	t.horizon = s.GetHorizon()
}

func (t *recordTable) restoreTombstone(tombstone *wire.Tombstone) {
	t.tombstones[tombstone.GetKey()] = tombstone.GetVersion()
	t.changes = append(t.changes, change{version: tombstone.GetVersion(), key: tombstone.GetKey()})
}

func (d *departureTable) restore(s *wire.LedgerSnapshot) {
	for _, departed := range s.GetDeparted() {
		d.nodes[departed.GetID()] = departed
	}

	if s.GetExpiryWindow() != nil {
		d.window = s.GetExpiryWindow()
	}
}

func (t *claimTable) restore(s *wire.LedgerSnapshot) {
	t.byWindowEnd = list.New()

	for _, entry := range s.GetClaims() {
		t.add(entry)
	}
}

func (t *decisionTable) restore(s *wire.LedgerSnapshot) {
	t.plans = s.GetPlans()
	for _, plan := range t.plans {
		t.planBytes += proto.Size(plan)
	}

	t.floor = s.GetNumberFloor()

	t.entries = s.GetDecisions()
	for _, entry := range t.entries {
		t.byNumber[entry.GetNumber()] = entry
	}
}
