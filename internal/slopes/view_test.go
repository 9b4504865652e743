package slopes_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// viewSize is the number of records in a view.
type viewSize struct{ nodes, workspaces int }

// fullAnswer returns the encoded answer to the first poll of a process.
func (s viewSize) fullAnswer(b *testing.B) []byte {
	b.Helper()

	answer := &wire.PollResponse{Version: 1, Full: true}

	for i := range s.nodes {
		answer.Changed = append(answer.Changed, &wire.Record{Value: &wire.Record_Node{Node: &wire.Node{
			ID: fmt.Sprintf("agent-of-a-server-%d", i), Kind: wire.NodeKind_NodeAgent, Zone: fmt.Sprintf("zone-%d", i%7),
			Address: fmt.Sprintf("10.0.%d.%d:8610", i/250, i%250), Incarnation: uint64(time.Hour) + uint64(i),
			Service: "assistant", Capacity: 64,
		}}})
	}

	for i := range s.workspaces {
		answer.Changed = append(answer.Changed, &wire.Record{Value: &wire.Record_Workspace{
			Workspace: &wire.Workspace{Name: fmt.Sprintf("workspace-%d", i), Weight: 3},
		}})
	}

	data, err := proto.Marshal(answer)
	require.NoError(b, err)

	return data
}

// BenchmarkView measures the heap of the configuration in one reader. Every entry and
// every agent has one reader.
func BenchmarkView(b *testing.B) {
	const views = 10

	for _, s := range []viewSize{{1010, 0}, {0, 13000}, {1010, 13000}} {
		b.Run(fmt.Sprintf("nodes=%d/workspaces=%d", s.nodes, s.workspaces), func(b *testing.B) {
			data := s.fullAnswer(b)

			for b.Loop() {
				before := heapAlloc()
				readers := newReaders(b, views, data)
				heapUsed := heapAlloc() - before

				require.Len(b, readers[0].Snapshot().Nodes(), s.nodes)
				b.ReportMetric(heapUsed/views, "heap-B/view")
			}
		})
	}
}

// newReaders returns n readers that have applied the encoded answer.
func newReaders(b *testing.B, n int, data []byte) []*view.Reader {
	b.Helper()

	var readers []*view.Reader

	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()

	for range n {
		ready := make(chan struct{}, 1)
		r := &view.Reader{
			Cluster: "slopes", Controls: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
			Self: func() *wire.Node { return &wire.Node{ID: "entry-1", Kind: wire.NodeKind_NodeEntry, Zone: "zone-1"} },
			Poll: func(ctx context.Context, _ netip.AddrPort, q *wire.PollRequest) (*wire.PollResponse, error) {
				if q.GetKnownVersion() > 0 {
					<-ctx.Done()

					return nil, ctx.Err()
				}

				answer := &wire.PollResponse{}

				return answer, proto.Unmarshal(data, answer)
			},
			OnChange: func(*view.Snapshot) { ready <- struct{}{} },
		}
		r.Init()

		go func() { _ = r.Run(ctx) }()

		<-ready

		readers = append(readers, r)
	}

	return readers
}
