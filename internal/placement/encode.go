package placement

import (
	"encoding/binary"
	"fmt"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// bytesPerSlot is the encoded size of a slot in wire.Placement.
const bytesPerSlot = 2

// Encode returns the map as an encoded wire.Placement. Equal maps have equal
// encodings.
func (m *Map) Encode() []byte {
	slots := make([]byte, 0, bytesPerSlot*len(m.Slots))
	for _, e := range m.Slots {
		slots = binary.LittleEndian.AppendUint16(slots, uint16(e+1))
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.Placement{
		Layers:       uint32(m.Shape.Layers),
		Ranks:        uint32(m.Shape.Ranks),
		SlotsPerRank: uint32(m.Shape.SlotsPerRank),
		Experts:      uint32(m.Shape.Experts),
		Slots:        slots,
	})
	if err != nil {
		panic(fmt.Sprintf("marshal wire.Placement: %v", err))
	}

	return b
}

// Decode decodes and validates the output of Encode. The error is a
// *ShapeError, a *MapError or a wrapped decoding error.
func Decode(b []byte) (*Map, error) {
	var p wire.Placement
	if err := proto.Unmarshal(b, &p); err != nil {
		return nil, eris.Wrap(err, "decode expert map")
	}

	s := Shape{
		Layers:       int(p.GetLayers()),
		Ranks:        int(p.GetRanks()),
		SlotsPerRank: int(p.GetSlotsPerRank()),
		Experts:      int(p.GetExperts()),
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	if len(p.GetSlots()) != bytesPerSlot*s.size() {
		return nil, &ShapeError{Shape: s}
	}

	m := &Map{Shape: s, Slots: make([]Expert, s.size())}
	for i := range m.Slots {
		m.Slots[i] = Expert(binary.LittleEndian.Uint16(p.GetSlots()[bytesPerSlot*i:])) - 1
	}
	if err := m.Validate(); err != nil {
		return nil, err
	}

	return m, nil
}
