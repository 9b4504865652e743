package role

import (
	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// packedOrder is an order to prepare a map, in the form in which agents send it to each
// other.
type packedOrder struct {
	version, baseVersion uint64
	// delta holds the map as differences from the map in use; nil if that map is not
	// known.
	delta *wire.EngineOrder
	full  *wire.EngineOrder
}

// pack returns the packed form of an order to prepare a map. It is computed once and
// reused for all ranks.
func (a *RankAgent) pack(o *wire.EngineOrder) *packedOrder {
	a.mu.Lock()
	defer a.mu.Unlock()

	if p := a.lastPacked; p != nil && p.version == o.GetVersion() && p.baseVersion == a.activeVersion && p.full.GetFence() == o.GetFence() && p.full.GetEpoch() == o.GetEpoch() {
		return p
	}

	m := lockstep.MapFromOrder(o)
	p := &packedOrder{version: o.GetVersion(), baseVersion: a.activeVersion, full: copyOrder(a.Cluster, o.GetVersion(), o)}
	p.full.Map, p.full.Whole = nil, m.Pack()

	if base := a.maps.Get(a.activeVersion); base != nil {
		p.delta = copyOrder(a.Cluster, o.GetVersion(), o)
		p.delta.Map, p.delta.Base, p.delta.Changes = nil, a.activeVersion, base.Changes(m)
	}

	a.maps.Put(o.GetVersion(), m)
	a.lastPacked = p

	return p
}
