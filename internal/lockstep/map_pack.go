package lockstep

import (
	"encoding/binary"
	"errors"
	"slices"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// errMalformedMap is returned for a packed map that cannot be decoded.
var errMalformedMap = errors.New("lockstep: a packed map cannot be read")

// Pack returns the encoding of m that is sent between agents.
func (m Map) Pack() []byte {
	out := binary.AppendUvarint(nil, uint64(len(m)))

	for _, ranks := range m {
		out = binary.AppendUvarint(out, uint64(len(ranks)))
		for _, experts := range ranks {
			out = appendExperts(out, experts)
		}
	}

	return out
}

func appendExperts(out []byte, experts []uint16) []byte {
	out = binary.AppendUvarint(out, uint64(len(experts)))
	for _, e := range experts {
		out = binary.AppendUvarint(out, uint64(e))
	}

	return out
}

// unpacker decodes numbers and records whether one of them was malformed.
type unpacker struct {
	data   []byte
	failed bool
}

// maxPackedNumber bounds the numbers in a packed map.
const maxPackedNumber = 1 << 16

func (u *unpacker) number() int {
	n, size := binary.Uvarint(u.data)
	if size <= 0 || n > maxPackedNumber {
		u.failed = true
		u.data = nil

		return 0
	}

	u.data = u.data[size:]

	return int(n)
}

func (u *unpacker) experts() []uint16 {
	n := u.number()
	out := make([]uint16, 0, min(n, len(u.data)))

	for range n {
		if u.failed {
			return nil
		}

		out = append(out, uint16(u.number()))
	}

	return out
}

// Unpack decodes the output of Pack.
func Unpack(data []byte) (Map, error) {
	u := &unpacker{data: data}
	m := make(Map, 0, min(u.number(), len(u.data)))

	for range cap(m) {
		ranks := make([][]uint16, 0, min(u.number(), len(u.data)))
		for range cap(ranks) {
			ranks = append(ranks, u.experts())
		}

		m = append(m, ranks)
	}

	if u.failed || len(u.data) > 0 {
		return nil, errMalformedMap
	}

	return m, nil
}

// Changes encodes the difference between m and next: for each set and rank that changes, the
// experts that are removed and added. A switch changes few of the experts of a large group.
func (m Map) Changes(next Map) []byte {
	var out []byte

	for s := range m {
		for r := range m[s] {
			removed, added := missing(m[s][r], next[s][r]), missing(next[s][r], m[s][r])
			if len(removed)+len(added) == 0 {
				continue
			}

			out = binary.AppendUvarint(out, uint64(s))
			out = binary.AppendUvarint(out, uint64(r))
			out = appendExperts(appendExperts(out, removed), added)
		}
	}

	return out
}

// missing returns the elements of a that are not in b.
func missing(a, b []uint16) []uint16 {
	var out []uint16

	for _, e := range a {
		if !slices.Contains(b, e) {
			out = append(out, e)
		}
	}

	return out
}

// Apply returns the map that results from applying the output of Changes to m.
func (m Map) Apply(changes []byte) (Map, error) {
	u := &unpacker{data: changes}
	out := m.Clone()

	for len(u.data) > 0 {
		s, r := u.number(), u.number()
		removed, added := u.experts(), u.experts()

		if u.failed || s >= len(out) || r >= len(out[s]) {
			return nil, errMalformedMap
		}

		out[s][r] = append(slices.DeleteFunc(out[s][r], func(e uint16) bool { return slices.Contains(removed, e) }), added...)
	}

	out.sort()

	return out, nil
}

// MapFromOrder returns the map that an order carries.
func MapFromOrder(o *wire.EngineOrder) Map {
	var out Map

	ranks := max(1, int(o.GetRanks()))

	for i, set := range o.GetMap() {
		if i%ranks == 0 {
			out = append(out, nil)
		}

		experts := make([]uint16, 0, len(set.GetExperts()))
		for _, e := range set.GetExperts() {
			experts = append(experts, uint16(e))
		}

		out[i/ranks] = append(out[i/ranks], experts)
	}

	return out
}

// SetMap stores m in an order.
func SetMap(o *wire.EngineOrder, m Map) {
	o.Map = mapToWire(m)

	if len(m) > 0 {
		o.Ranks = uint32(len(m[0]))
	}
}

// maxCachedMaps is how many maps an agent keeps: the current one, and some that were prepared
// and abandoned.
const maxCachedMaps = 4

// MapCache holds recent maps by version, the latest one last. It must not be used concurrently.
type MapCache struct {
	entries []cachedMap
}

type cachedMap struct {
	version uint64
	m       Map
}

// Put adds a map. It removes the oldest one if the cache is full.
func (k *MapCache) Put(version uint64, m Map) {
	k.entries = slices.DeleteFunc(k.entries, func(e cachedMap) bool { return e.version == version })

	if len(k.entries) == maxCachedMaps {
		k.entries = k.entries[1:]
	}

	k.entries = append(k.entries, cachedMap{version: version, m: m})
}

// Get returns the map of a version, or nil if it is not cached.
func (k *MapCache) Get(version uint64) Map {
	for _, e := range k.entries {
		if e.version == version {
			return e.m
		}
	}

	return nil
}

// UnpackOrder decodes the map of an order that was sent packed. It returns false if the order
// carries changes to a map that is not cached.
func (k *MapCache) UnpackOrder(o *wire.EngineOrder) (bool, error) {
	if o.GetKind() != wire.EngineOrderKind_EngineOrderPrepare || len(o.GetMap()) > 0 {
		return true, nil
	}

	var (
		m   Map
		err error
	)

	if len(o.GetWhole()) > 0 {
		m, err = Unpack(o.GetWhole())
	} else if base := k.Get(o.GetBase()); base != nil {
		m, err = base.Apply(o.GetChanges())
	}

	if err != nil || m == nil {
		return false, err
	}

	k.Put(o.GetVersion(), m)
	SetMap(o, m)
	o.Whole, o.Changes, o.Base = nil, nil, 0

	return true, nil
}
