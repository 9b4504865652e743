package role

import (
	"context"
	"net/netip"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// engineCache holds the clients for engines on other VMs.
type engineCache struct {
	newEngine func(netip.AddrPort) lockstep.Engine

	mu        sync.Mutex
	byAddress map[netip.AddrPort]lockstep.Engine
}

func (e *engineCache) get(address netip.AddrPort) lockstep.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.byAddress == nil {
		e.byAddress = make(map[netip.AddrPort]lockstep.Engine)
	}

	engine, ok := e.byAddress[address]
	if !ok {
		engine = e.newEngine(address)
		e.byAddress[address] = engine
	}

	return engine
}

// engineRelay relays orders from directing agents to engines.
type engineRelay struct {
	cluster string
	engines engineCache
}

// Relay implements wire.EngineRelay.
func (r *engineRelay) Relay(ctx context.Context, o *wire.RelayedOrder) (*wire.EngineOrderAnswer, error) {
	if o.GetOrder().GetCluster() != r.cluster {
		return nil, errOtherCluster
	}

	address, err := netip.ParseAddrPort(o.GetEngine())
	if err != nil {
		return nil, twirp.InvalidArgumentError("Engine", "is no IP:port")
	}

	return &wire.EngineOrderAnswer{Result: r.engines.get(address).Order(ctx, o.GetOrder())}, nil
}
