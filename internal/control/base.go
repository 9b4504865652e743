package control

import (
	"bytes"
	"compress/flate"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// base is all records at one version, encoded.
type base struct {
	version uint64
	data    []byte
}

// maxRest is how many changes may follow on a base before it is made anew.
const maxRest = 256

// full returns all records as an encoded base and what changed after it. It
// guards against the return of all processes at once: each needs everything, and
// encoding that for each would take longer than they wait, so that they would
// ask again, and none would ever be served. The base is encoded once for all of
// them, though each one's own report makes a new version.
func (s *Server) full(p *published) ([]byte, ledger.Delta) {
	if b := s.base.Load(); b != nil {
		if rest, ok := p.follows(b); ok {
			return b.data, rest
		}
	}

	s.baseMu.Lock()
	defer s.baseMu.Unlock()

	p = s.published.Load()

	if b := s.base.Load(); b != nil {
		if rest, ok := p.follows(b); ok {
			return b.data, rest
		}
	}

	data, err := encodeBase(p.records.All())
	if err != nil {
		s.Logger.Error("base not encoded", "error", err)
		return nil, p.records.DeltaSince(0)
	}

	s.base.Store(&base{version: p.records.Version, data: data})

	return data, ledger.Delta{Version: p.records.Version, Full: true}
}

// follows returns what changed after b, if that is little.
func (p *published) follows(b *base) (ledger.Delta, bool) {
	if b.version > p.records.Version {
		return ledger.Delta{}, false
	}

	rest := p.records.DeltaSince(b.version)

	return rest, !rest.Full && len(rest.Changed)+len(rest.Removed) <= maxRest
}

func encodeBase(records []*wire.Record) ([]byte, error) {
	plain, err := proto.Marshal(&wire.RecordSet{Records: records})
	if err != nil {
		return nil, eris.Wrap(err, "marshal the records")
	}

	var out bytes.Buffer

	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "set up DEFLATE")
	}

	if _, err := w.Write(plain); err != nil {
		return nil, eris.Wrap(err, "compress the records")
	}

	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress the records")
	}

	return out.Bytes(), nil
}
