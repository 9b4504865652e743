package role

import (
	"context"
	"net/netip"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// engines are the engines of other VMs that this process speaks to.
type engines struct {
	at func(netip.AddrPort) lockstep.Engine

	mu    sync.Mutex
	known map[netip.AddrPort]lockstep.Engine
}

func (e *engines) of(address netip.AddrPort) lockstep.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.known == nil {
		e.known = make(map[netip.AddrPort]lockstep.Engine)
	}

	engine, ok := e.known[address]
	if !ok {
		engine = e.at(address)
		e.known[address] = engine
	}

	return engine
}

// engineRelay relays orders of directing agents to engines.
type engineRelay struct {
	cluster string
	engines engines
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

	return &wire.EngineOrderAnswer{Result: r.engines.of(address).Order(ctx, o.GetOrder())}, nil
}
