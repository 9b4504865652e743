package control_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// fleet is a set of readers whose ways to the control VMs can be cut silently.
type fleet struct {
	t       testing.TB
	group   *group
	mu      sync.Mutex
	cut     map[string]bool
	readers map[string]*view.Reader
	ends    map[string]func()
}

func newFleet(t testing.TB, g *group) *fleet {
	return &fleet{
		t: t, group: g,
		cut: map[string]bool{}, readers: map[string]*view.Reader{}, ends: map[string]func(){},
	}
}

// start runs one more process. It polls only the control VMs that are named.
func (f *fleet) start(node *wire.Node, controls ...int) *view.Reader {
	r := &view.Reader{
		Cluster: cluster,
		Self:    func() *wire.Node { return node },
		Poll: func(ctx context.Context, at netip.AddrPort, r *wire.PollRequest) (*wire.PollResponse, error) {
			return f.poll(ctx, node.GetID(), int(at.Port())-1, r)
		},
	}

	for _, i := range controls {
		r.Controls = append(r.Controls, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)))
	}

	r.Init()

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- r.Run(ctx) }()

	f.readers[node.GetID()] = r
	f.ends[node.GetID()] = func() {
		cancel()
		require.NoError(f.t, <-done)
	}

	return r
}

func (f *fleet) end(id string) {
	f.ends[id]()
	delete(f.ends, id)
	delete(f.readers, id)
}

func (f *fleet) endAll() {
	for id := range f.ends {
		f.end(id)
	}
}

func (f *fleet) silence(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.cut[id] = cut
}

func (f *fleet) silent(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.cut[id]
}

// poll loses the question or the answer without a word where the way is cut.
func (f *fleet) poll(ctx context.Context, id string, to int, r *wire.PollRequest) (*wire.PollResponse, error) {
	if f.silent(id) {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	answer, err := f.group.server(to).Poll(ctx, r)

	if f.silent(id) {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	return answer, err
}

func entry(id string, incarnation uint64) *wire.Node {
	return &wire.Node{ID: id, Kind: wire.NodeKind_NodeEntry, Zone: "saraburi", Incarnation: incarnation}
}

func target(id, zone string, incarnation uint64) *wire.Node {
	return &wire.Node{
		ID: id, Kind: wire.NodeKind_NodeAgent, Zone: zone, Service: "cooper-assist",
		BootID: "b", Capacity: 10, Incarnation: incarnation,
	}
}
