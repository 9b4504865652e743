package ledger

import (
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// documentTable holds the configuration document that a trusted caller put in force as
// a whole. It keeps the document as it was sent, under the caller's own number.
type documentTable struct {
	current *wire.Document
	// previous is the document that current replaced.
	previous *wire.Document
	// index is the log index of the last document or zone change that had an effect.
	// Entries use it to order the states that they receive from several control VMs.
	index uint64
}

// applyDocument replaces the document by one with a higher number. Any other number is
// ignored, even with different content: it may be a resend of an older document, and
// the content first accepted under a number stays.
func (l *Ledger) applyDocument(index uint64, d *wire.Document) {
	if current := l.documents.current; current != nil && d.GetNumber() <= current.GetNumber() {
		return
	}

	l.documents = documentTable{current: d, previous: l.documents.current, index: index}
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

// Conflicts reports whether two encoded commands are orders about the same zone. An order that was
// delayed must not follow a newer one. Other commands are numbered or may be repeated in any order.
func Conflicts(earlier, command []byte) bool {
	a, b := zoneOrder(earlier), zoneOrder(command)

	return a != nil && b != nil && a.GetZone() == b.GetZone()
}

// zoneOrder returns the order that a command contains, or nil.
func zoneOrder(command []byte) *wire.ZoneOrder {
	c := &wire.Command{}
	if proto.Unmarshal(command, c) != nil {
		return nil
	}

	return c.GetZoneOrder()
}

// Document returns the document in force, or nil, and the log index of the last
// document or zone change that had an effect. A document is never changed, only
// replaced.
func (l *Ledger) Document() (*wire.Document, uint64) { return l.documents.current, l.documents.index }

// PreviousDocument returns the document that was in force before, or nil.
func (l *Ledger) PreviousDocument() *wire.Document { return l.documents.previous }
