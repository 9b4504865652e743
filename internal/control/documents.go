package control

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"io"
	"sync"
	"unicode/utf8"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// maxDocumentBytes bounds an uncompressed document. It equals the default limit of a
// request body at entries.
const maxDocumentBytes = 16 << 20

// document is the configuration in force as the operator sent it. Its route table is parsed
// at the first use.
type document struct {
	number uint64
	stored *wire.Document

	once  sync.Once
	table *wire.RouteTable
	err   error
}

// newDocument returns the document for stored. It reuses the one in prev, with its parsed
// table, if the stored document is the same.
func newDocument(stored *wire.Document, prev *publishedState) *document {
	if stored == nil {
		return nil
	}

	if prev != nil && prev.document != nil && prev.document.stored == stored {
		return prev.document
	}

	return &document{number: stored.GetNumber(), stored: stored}
}

// newPreviousDocument is newDocument for the document that was in force before. Its table is parsed again if it is
// needed, which is rare, so that no second table is kept in memory.
func newPreviousDocument(stored *wire.Document, prev *publishedState) *document {
	switch {
	case stored == nil:
		return nil
	case prev != nil && prev.previousDocument != nil && prev.previousDocument.stored == stored:
		return prev.previousDocument
	default:
		return &document{number: stored.GetNumber(), stored: stored}
	}
}

// routeTable returns the route table of the document, and parses it at the first call.
func (d *document) routeTable(parse func([]byte) (*wire.RouteTable, error)) (*wire.RouteTable, error) {
	d.once.Do(func() {
		var data []byte

		if data, d.err = d.uncompressed(); d.err == nil {
			d.table, d.err = parse(data)
		}
	})

	return d.table, d.err
}

// uncompressed returns the bytes of the document as the operator sent them.
func (d *document) uncompressed() ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.stored.GetCompressed())), maxDocumentBytes+1))

	return data, eris.Wrap(err, "decompress the document")
}

func compress(data []byte) ([]byte, error) {
	var out bytes.Buffer

	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "pack the document")
	}

	if _, err := w.Write(data); err != nil {
		return nil, eris.Wrap(err, "pack the document")
	}

	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "pack the document")
	}

	return out.Bytes(), nil
}

// Adopt puts a document in force under the operator's number; the caller has validated the
// document. A number that is not higher than the one in force is acknowledged without a
// change: an operator resends a request whose answer was lost, and the resend may arrive
// after later documents. After an error with OutcomeUnknown the document may be in force;
// resending it is safe.
func (s *Server) Adopt(ctx context.Context, number uint64, data []byte) error {
	// What this VM has applied is committed, so a resend needs no second log entry.
	if d := s.published.Load().document; d != nil && d.number >= number {
		return nil
	}

	compressed, err := compress(data)
	if err != nil {
		return err
	}

	_, err = s.propose(ctx, &wire.Command{Kind: &wire.Command_Document{
		Document: &wire.Document{Number: number, Compressed: compressed},
	}})

	return err
}

// InvalidIDError reports that a request names a target by what is no ID.
type InvalidIDError struct {
	Problem string
}

// Error implements error.
func (e *InvalidIDError) Error() string { return "the ID of the target " + e.Problem }

// maxTargetIDLength bounds the IDs of targets, in bytes.
const maxTargetIDLength = 256

// checkTargetID returns an *InvalidIDError if no message can carry the ID, or if it is too long. A message to entries
// with one such target would not be sent at all.
func checkTargetID(id string) error {
	switch {
	case id == "":
		return &InvalidIDError{Problem: "is empty"}
	case len(id) > maxTargetIDLength:
		return &InvalidIDError{Problem: fmt.Sprintf("is longer than %d bytes", maxTargetIDLength)}
	case !utf8.ValidString(id):
		return &InvalidIDError{Problem: "is not valid UTF-8"}
	default:
		return nil
	}
}

// UndeclaredError reports that a request names a zone or service that is not declared.
type UndeclaredError struct {
	Kind string
	Name string
}

func (e *UndeclaredError) Error() string { return e.Kind + " " + e.Name + " is not declared" }

// SetZoneOut takes a declared zone out of use, or back into use, with a single command.
// Retrying is safe after any error except an *UndeclaredError. The order has no number, so
// it is dropped if ctx ends before it is known to be newer than all orders about the zone that are
// committed: its caller may have given up, been answered by another VM, and ordered the opposite.
func (s *Server) SetZoneOut(ctx context.Context, zone string, out bool) error {
	region, ok := s.Zones[zone]
	if !ok {
		return &UndeclaredError{Kind: "zone", Name: zone}
	}

	_, err := s.proposeBy(ctx, s.ProposeCurrent, &wire.Command{Kind: &wire.Command_ZoneOrder{
		ZoneOrder: &wire.ZoneOrder{Zone: zone, Region: region, Out: out},
	}})
	if err != nil && ctx.Err() != nil {
		s.Logger.Info("The caller of a zone order has left; its outcome is left open.", "zone", zone, "out", out, "error", err)
	}

	return err
}

// Document returns the latest document as the operator sent it, or nil if there is none.
// Each call confirms with a quorum that the document is current. A lease would not do: its
// clock stops while the VM is suspended, and a resumed VM would return an old document as
// current.
func (s *Server) Document(ctx context.Context) ([]byte, error) {
	_, index, err := s.ReadIndex(ctx)
	if err != nil {
		return nil, newRPCError(twirp.Unavailable, "this control VM cannot show that its state is current")
	}

	if !s.awaitApplied(ctx, index) {
		return nil, newRPCError(twirp.Unavailable, "this control VM is behind")
	}

	d := s.published.Load().document
	if d == nil {
		return nil, nil
	}

	return d.uncompressed()
}
