package ledger

import (
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// documentTable holds the configuration that a trusted caller put in force in one
// step, under a number of its own and as it was sent.
type documentTable struct {
	current *wire.Document
	// index is the log index of the last document or zone order that changed
	// something. Entries order what they hear from several control VMs by it.
	index uint64
}

// applyDocument replaces the document by one with a higher number. A number that is not
// higher changes nothing, also with other content: it may be an old order that
// was sent again, and the number that was accepted first keeps its content.
func (l *Ledger) applyDocument(index uint64, d *wire.Document) {
	if current := l.documents.current; current != nil && d.GetNumber() <= current.GetNumber() {
		return
	}

	l.documents = documentTable{current: d, index: index}
}

// setZoneOut takes a zone out or back in, without a plan.
func (l *Ledger) setZoneOut(index uint64, o *wire.ZoneOrder) {
	before := l.records.live[ZonePrefix+o.GetZone()].GetZone()
	if before != nil && before.GetOut() == o.GetOut() {
		return
	}

	zone := &wire.Zone{Name: o.GetZone(), Region: o.GetRegion(), Out: o.GetOut()}
	if before != nil {
		zone = proto.CloneOf(before)
		zone.Out = o.GetOut()
	}

	l.records.put(index, &wire.Record{Key: ZonePrefix + o.GetZone(), Value: &wire.Record_Zone{Zone: zone}})
	l.documents.index = index
}

// Document returns the document in force, or nil, and the log index of the last
// document or zone order that changed something. It is never changed, only replaced.
func (l *Ledger) Document() (*wire.Document, uint64) { return l.documents.current, l.documents.index }
