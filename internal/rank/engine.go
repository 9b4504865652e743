package rank

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/expertmap"
)

// GroupPath is the path at which a rank's engine accepts orders about expert maps
// (POST) and returns its state (GET).
const GroupPath = "/v1/group"

// maxStateBytes bounds the size of an engine's state.
const maxStateBytes = 8 << 20

// Values of EngineOrder.Do.
const (
	DoLoad = "Load"
	DoDrop = "Drop"
	DoHold = "Hold"
	DoRun  = "Run"
)

// EngineOrder is an order about expert maps, as sent to the engine. The engine rejects
// an order with another boot ID: the order was based on the state of a previous engine
// process.
type EngineOrder struct {
	BootID string
	// Do is Load, Drop, Hold or Run.
	Do      string
	Fence   uint64
	Version uint64
	// Placement is the map to load; only set for Load.
	Placement []byte `json:",omitempty"`
	// Step is the first step that must not begin while Hold is in effect; 0 means the
	// next one.
	Step uint64
	// RunVersion is the map version in use from RunStep on, RunBefore the one in use
	// before it.
	RunVersion uint64
	RunStep    uint64
	RunBefore  uint64
}

// EngineState is the state that an engine reports to its agent.
type EngineState struct {
	BootID string
	// Joined is the last step that the engine began. Missing is a version that it needs
	// for the next step but has not loaded; 0 if none.
	Joined  uint64
	Missing uint64
	// Counters since the engine's start: the time spent in expert layers, the tokens
	// computed there, and the tokens of each expert, layer by layer. Sequence orders
	// them.
	Sequence   uint64
	BusyMicros uint64
	Work       uint64
	Tokens     []uint64
}

// engineClient sends requests to one boot of the rank's engine.
type engineClient struct {
	doRequest func(*http.Request) (*http.Response, error)
	address   netip.AddrPort
	bootID    string
	placement func(v uint64) []byte
}

// actions returns the engine operations for the participant's actions.
func (c *engineClient) actions() *expertmap.Engine {
	return &expertmap.Engine{
		Load: func(ctx context.Context, f expertmap.Fence, v expertmap.Version) error {
			placement := c.placement(uint64(v))
			if placement == nil {
				return eris.Errorf("map %d was in no order received so far", v)
			}

			return c.sendOrder(ctx, &EngineOrder{Do: DoLoad, Fence: uint64(f), Version: uint64(v), Placement: placement})
		},
		Drop: func(ctx context.Context, v expertmap.Version) error {
			return c.sendOrder(ctx, &EngineOrder{Do: DoDrop, Version: uint64(v)})
		},
		Hold: func(ctx context.Context, f expertmap.Fence, s expertmap.Step) error {
			return c.sendOrder(ctx, &EngineOrder{Do: DoHold, Fence: uint64(f), Step: uint64(s)})
		},
		Run: func(ctx context.Context, f expertmap.Fence, r expertmap.Activation) error {
			return c.sendOrder(ctx, &EngineOrder{
				Do: DoRun, Fence: uint64(f), RunVersion: uint64(r.Version), RunStep: uint64(r.Step), RunBefore: uint64(r.Previous),
			})
		},
	}
}

func (c *engineClient) sendOrder(ctx context.Context, o *EngineOrder) error {
	o.BootID = c.bootID

	body, err := json.Marshal(o)
	if err != nil {
		return eris.Wrap(err, "encode engine order")
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(), bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create engine request")
	}

	resp, err := c.doRequest(r)
	if err != nil {
		return eris.Wrap(err, "send engine order")
	}

	_ = resp.Body.Close()

	if resp.StatusCode != http.StatusNoContent {
		return eris.Errorf("engine rejected %s: status %d", o.Do, resp.StatusCode)
	}

	return nil
}

func (c *engineClient) url() string { return "http://" + c.address.String() + GroupPath }

// state returns the engine's state, whatever its boot ID is.
func (c *engineClient) state(ctx context.Context) (*EngineState, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "get engine state")
	}

	resp, err := c.doRequest(r)
	if err != nil {
		return nil, eris.Wrap(err, "get engine state")
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("get engine state: status %d", resp.StatusCode)
	}

	s := &EngineState{}

	return s, eris.Wrap(json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxStateBytes)).Decode(s), "decode engine state")
}
