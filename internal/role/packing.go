package role

import (
	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// packedOrder is an order to prepare a map as it travels between agents.
type packedOrder struct {
	version, base uint64
	// changes holds the map as the changes from the one in use, nil where that is not known.
	changes *wire.EngineOrder
	whole   *wire.EngineOrder
}

// pack packs the map of an order to prepare it, once for all ranks that it goes to.
func (a *RankAgent) pack(o *wire.EngineOrder) *packedOrder {
	a.mu.Lock()
	defer a.mu.Unlock()

	if p := a.packed; p != nil && p.version == o.GetVersion() && p.base == a.inUse && p.whole.GetFence() == o.GetFence() && p.whole.GetEpoch() == o.GetEpoch() {
		return p
	}

	m := lockstep.MapFromOrder(o)
	p := &packedOrder{version: o.GetVersion(), base: a.inUse, whole: orderOf(a.Cluster, o.GetVersion(), o)}
	p.whole.Map, p.whole.Whole = nil, m.Pack()

	if base := a.maps.Get(a.inUse); base != nil {
		p.changes = orderOf(a.Cluster, o.GetVersion(), o)
		p.changes.Map, p.changes.Base, p.changes.Changes = nil, a.inUse, base.Changes(m)
	}

	a.maps.Put(o.GetVersion(), m)
	a.packed = p

	return p
}
