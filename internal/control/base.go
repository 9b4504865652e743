package control

import (
	"bytes"
	"compress/flate"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// encodedBase is the compressed encoding of all records at one version.
type encodedBase struct {
	version uint64
	data    []byte
}

// maxBaseDelta is the number of changed and removed records after which the base is encoded
// again.
const maxBaseDelta = 256

// baseAndDelta returns an encoded base of all records and the changes since that base. All
// full answers share one base, although each process's report creates a new version. When
// all processes restart at once, encoding the records for each of them takes longer than
// their poll timeout: they would retry, and none would get an answer.
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
		s.Logger.Error("Encoding the base of a full answer failed; sending the records uncompressed.", "error", err)
		return nil, p.records.DeltaSince(0)
	}

	s.base.Store(&encodedBase{version: p.records.Version, data: data})

	return data, ledger.Delta{Version: p.records.Version, Full: true}
}

// deltaSince returns the changes after b, and false if they are more than maxBaseDelta.
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
