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

// readerSet is a set of readers, which can be partitioned from the control VMs: their polls
// then get no answer and no error.
type readerSet struct {
	t           testing.TB
	vms         *controlVMs
	mu          sync.Mutex
	partitioned map[string]bool
	byID        map[string]*view.Reader
	stops       map[string]func()
}

func newReaderSet(t testing.TB, vms *controlVMs) *readerSet {
	return &readerSet{
		t: t, vms: vms,
		partitioned: map[string]bool{}, byID: map[string]*view.Reader{}, stops: map[string]func(){},
	}
}

// start runs a reader for node. It polls only the control VMs with the given indexes.
func (s *readerSet) start(node *wire.Node, controls ...int) *view.Reader {
	r := &view.Reader{
		Cluster: cluster,
		Self:    func() *wire.Node { return node },
		Poll: func(ctx context.Context, at netip.AddrPort, r *wire.PollRequest) (*wire.PollResponse, error) {
			return s.poll(ctx, node.GetID(), int(at.Port())-1, r)
		},
	}

	for _, i := range controls {
		r.Controls = append(r.Controls, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1)))
	}

	r.Init()

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- r.Run(ctx) }()

	s.byID[node.GetID()] = r
	s.stops[node.GetID()] = func() {
		cancel()
		require.NoError(s.t, <-done)
	}

	return r
}

func (s *readerSet) stop(id string) {
	s.stops[id]()
	delete(s.stops, id)
	delete(s.byID, id)
}

func (s *readerSet) stopAll() {
	for id := range s.stops {
		s.stop(id)
	}
}

func (s *readerSet) setPartitioned(id string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.partitioned[id] = partitioned
}

func (s *readerSet) isPartitioned(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.partitioned[id]
}

// poll never answers while the reader is partitioned, whether that began before the request
// or before its answer.
func (s *readerSet) poll(ctx context.Context, id string, to int, r *wire.PollRequest) (*wire.PollResponse, error) {
	if s.isPartitioned(id) {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	answer, err := s.vms.server(to).Poll(ctx, r)

	if s.isPartitioned(id) {
		<-ctx.Done()
		return nil, ctx.Err()
	}

	return answer, err
}

func entryNode(id string, incarnation uint64) *wire.Node {
	return &wire.Node{ID: id, Kind: wire.NodeKind_NodeEntry, Zone: "saraburi", Incarnation: incarnation}
}

func agentNode(id, zone string, incarnation uint64) *wire.Node {
	return &wire.Node{
		ID: id, Kind: wire.NodeKind_NodeAgent, Zone: zone, Service: "cooper-assist",
		BootID: "b", Capacity: 10, Incarnation: incarnation,
	}
}
