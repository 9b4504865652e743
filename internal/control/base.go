package control

import (
	"bytes"
	"compress/flate"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// encodedBase is all records at one version, encoded.
type encodedBase struct {
	version uint64
	data    []byte
}

// maxBaseDelta is how many changes may follow on a base before it is made anew.
const maxBaseDelta = 256

// baseAndDelta returns all records as an encoded base and what changed after it. It
// guards against the return of all processes at once: each needs everything, and
// encoding that for each would take longer than they wait, so that they would
// ask again, and none would ever be served. The base is encoded once for all of
// them, though each one's own report makes a new version.
func (s *Server) baseAndDelta(p *publishedState) ([]byte, ledger.Delta) {
	if b := s.base.Load(); b != nil {
		if delta, ok := p.deltaSince(b); ok {
			return b.data, delta
		}
	}

	s.baseMu.Lock()
	defer s.baseMu.Unlock()

	p = s.published.Load()

	if b := s.base.Load(); b != nil {
		if delta, ok := p.deltaSince(b); ok {
			return b.data, delta
		}
	}

	data, err := encodeBase(p.records.All())
	if err != nil {
		s.Logger.Error("base not encoded", "error", err)
		return nil, p.records.DeltaSince(0)
	}

	s.base.Store(&encodedBase{version: p.records.Version, data: data})

	return data, ledger.Delta{Version: p.records.Version, Full: true}
}

// deltaSince returns what changed after b, if that is little.
func (p *publishedState) deltaSince(b *encodedBase) (ledger.Delta, bool) {
	if b.version > p.records.Version {
		return ledger.Delta{}, false
	}

	delta := p.records.DeltaSince(b.version)

	return delta, !delta.Full && len(delta.Changed)+len(delta.Removed) <= maxBaseDelta
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
