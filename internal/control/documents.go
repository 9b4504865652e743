package control

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// maxDocumentBytes bounds a document as it was sent (bytes). It is what entries let
// callers send at most by default, too.
const maxDocumentBytes = 16 << 20

// document is the configuration in force as it was sent, and the table that it
// declares, read when it is first asked for.
type document struct {
	number uint64
	stored *wire.Document

	once  sync.Once
	table *wire.RouteTable
	err   error
}

// newDocument returns the document of the state, keeping what was read of it before.
func newDocument(stored *wire.Document, prev *publishedState) *document {
	if stored == nil {
		return nil
	}

	if prev != nil && prev.document != nil && prev.document.stored == stored {
		return prev.document
	}

	return &document{number: stored.GetNumber(), stored: stored}
}

// routeTable returns the table that the document declares.
func (d *document) routeTable(parse func([]byte) (*wire.RouteTable, error)) (*wire.RouteTable, error) {
	d.once.Do(func() {
		var data []byte

		if data, d.err = d.uncompressed(); d.err == nil {
			d.table, d.err = parse(data)
		}
	})

	return d.table, d.err
}

// uncompressed returns the document byte by byte as it was sent.
func (d *document) uncompressed() ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.stored.GetCompressed())), maxDocumentBytes+1))

	return data, eris.Wrap(err, "unpack the document")
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

// Adopt puts a document that the caller has checked in force in one step, under
// the operator's own number. A number that is not higher than the one in force
// is acknowledged and changes nothing: an order whose answer was lost is sent
// again, and may arrive after later ones. An error with FateUnknown may have
// adopted it; sending it again is safe.
func (s *Server) Adopt(ctx context.Context, number uint64, data []byte) error {
	// What this VM has applied is committed, so a resend needs no second entry.
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

// UndeclaredError says that a zone or service that a caller names is not declared.
type UndeclaredError struct {
	Kind string
	Name string
}

// Error implements error.
func (e *UndeclaredError) Error() string { return e.Kind + " " + e.Name + " is not declared" }

// SetZoneOut takes a declared zone out or back in, in one step. It may be sent
// again after any error but an *UndeclaredError.
func (s *Server) SetZoneOut(ctx context.Context, zone string, out bool) error {
	region, ok := s.Zones[zone]
	if !ok {
		return &UndeclaredError{Kind: "zone", Name: zone}
	}

	_, err := s.propose(ctx, &wire.Command{Kind: &wire.Command_ZoneOrder{
		ZoneOrder: &wire.ZoneOrder{Zone: zone, Region: region, Out: out},
	}})

	return err
}

// Document returns the newest document as it was sent; nil where none was
// adopted yet. A quorum confirms it each time: a lease would rest on a clock
// that stands still while a VM is suspended, and a VM that wakes would show an
// old document as current.
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
