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

// GroupPath is where a rank's engine takes orders about expert maps (POST) and
// tells its state (GET).
const GroupPath = "/v1/group"

// maxStateBytes bounds an engine's state, in bytes.
const maxStateBytes = 8 << 20

// The things that an engine is told to do.
const (
	DoLoad = "Load"
	DoDrop = "Drop"
	DoHold = "Hold"
	DoRun  = "Run"
)

// EngineOrder is an order about expert maps as the engine gets it. An engine
// refuses one for another boot: an order meant for a former process would tell
// the next one to run by old knowledge.
type EngineOrder struct {
	BootID string
	// Do is Load, Drop, Hold or Run.
	Do      string
	Fence   uint64
	Version uint64
	// Placement is the map of Load.
	Placement []byte `json:",omitempty"`
	// Step is the first step that Hold keeps from beginning; 0 stands for the next one.
	Step uint64
	// RunVersion rules from RunStep on, RunBefore until then.
	RunVersion uint64
	RunStep    uint64
	RunBefore  uint64
}

// EngineState is what an engine tells of its part in the group.
type EngineState struct {
	BootID string
	// Joined is the last step that it began, Missing a version that it needs for
	// the next one and has not loaded.
	Joined  uint64
	Missing uint64
	// The counts since its boot: the time spent in expert layers, the tokens
	// computed there, and the tokens of each expert, layer by layer.
	Sequence   uint64
	BusyMicros uint64
	Work       uint64
	Tokens     []uint64
}

// engineClient reaches one boot of the rank's engine.
type engineClient struct {
	doRequest func(*http.Request) (*http.Response, error)
	address   netip.AddrPort
	bootID    string
	placement func(v uint64) []byte
}

// actions returns the engine's side for the participant's actions.
func (c *engineClient) actions() *expertmap.Engine {
	return &expertmap.Engine{
		Load: func(ctx context.Context, f expertmap.Fence, v expertmap.Version) error {
			placement := c.placement(uint64(v))
			if placement == nil {
				return eris.Errorf("map %d has not come with any order yet", v)
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
		return eris.Wrap(err, "write order")
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(), bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "make order")
	}

	resp, err := c.doRequest(r)
	if err != nil {
		return eris.Wrap(err, "give order")
	}

	_ = resp.Body.Close()

	if resp.StatusCode != http.StatusNoContent {
		return eris.Errorf("engine refused %s: status %d", o.Do, resp.StatusCode)
	}

	return nil
}

func (c *engineClient) url() string { return "http://" + c.address.String() + GroupPath }

// state reads the engine's state, whatever its boot.
func (c *engineClient) state(ctx context.Context) (*EngineState, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(), nil)
	if err != nil {
		return nil, eris.Wrap(err, "ask engine")
	}

	resp, err := c.doRequest(r)
	if err != nil {
		return nil, eris.Wrap(err, "ask engine")
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("engine's state: status %d", resp.StatusCode)
	}

	s := &EngineState{}

	return s, eris.Wrap(json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxStateBytes)).Decode(s), "read engine's state")
}
