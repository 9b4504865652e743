package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const cluster = "test"

// newServer returns a control VM over a log in memory. Its Run ends with the test.
func newServer(t testing.TB, change func(*control.Server)) *control.Server {
	t.Helper()

	log := &control.MemoryLog{}
	s := &control.Server{Cluster: cluster, VM: "control-1", Propose: log.Propose, Read: log.Read}

	if change != nil {
		change(s)
	}

	s.Init()
	log.Apply = s.Apply

	return s
}

func run(t testing.TB, f func(context.Context) error) {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- f(ctx) }()

	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
}

// newReader returns a reader of servers, which it knows by their port numbers.
func newReader(id string, incarnation uint64, servers ...*control.Server) *view.Reader {
	r := &view.Reader{
		Cluster: cluster,
		Poll: func(ctx context.Context, control netip.AddrPort, r *wire.PollRequest) (*wire.PollResponse, error) {
			return servers[control.Port()-1].Poll(ctx, r)
		},
		Self: func() *wire.Node {
			return &wire.Node{ID: id, Kind: wire.NodeKind_NodeEntry, Zone: "ayutthaya", Incarnation: incarnation}
		},
	}

	for i := range servers {
		r.Controls = append(r.Controls, netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", i+1)))
	}

	r.Init()

	return r
}

func TestReaderSeesItselfInTheDirectory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := newServer(t, nil)
		run(t, s.Run)

		r := newReader("entry-1", 1, s)
		run(t, r.Run)
		time.Sleep(time.Second)

		node, ok := r.Snapshot().Node("entry-1")
		require.True(t, ok)
		require.Equal(t, uint64(1), node.GetIncarnation())
		require.True(t, r.Snapshot().Fresh(time.Now()))
	})
}

func TestClaimAndSettleOverTheLog(t *testing.T) {
	t.Parallel()

	s := newServer(t, nil)
	claim := &wire.ClaimRequest{
		Workspace: "w", Service: "job-desk", Key: "k", BodyDigest: []byte("d"),
		Holder: &wire.ClaimHolder{AttemptID: "a1"},
	}

	got, err := s.Claim(t.Context(), claim)
	require.NoError(t, err)
	require.Equal(t, wire.ClaimState_ClaimGranted, got.GetState())

	settled, err := s.Settle(t.Context(), &wire.SettleRequest{
		Workspace: "w", Service: "job-desk", Key: "k", AttemptID: "a1",
		Verdict: wire.Verdict_Ran, Answer: &wire.Answer{Status: 200, Body: []byte("slot 4")},
	})
	require.NoError(t, err)
	require.Equal(t, wire.ClaimState_ClaimRecorded, settled.GetState())

	claim.Holder.AttemptID = "a2"
	got, err = s.Claim(t.Context(), claim)
	require.NoError(t, err)
	require.Equal(t, wire.ClaimState_ClaimRecorded, got.GetState())
	require.Equal(t, []byte("slot 4"), got.GetAnswer().GetBody())
}
