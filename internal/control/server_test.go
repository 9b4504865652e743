package control_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const cluster = "test"

// newServer returns a control VM on an in-memory log. The caller runs it.
func newServer(t testing.TB, configure func(*control.Server)) *control.Server {
	t.Helper()

	log := &control.MemoryLog{}
	s := &control.Server{Cluster: cluster, VM: "control-1", Propose: log.Propose, ReadIndex: log.ReadIndex}

	if configure != nil {
		configure(s)
	}

	s.Init()
	log.Apply = s.Apply

	return s
}

func runUntilCleanup(t testing.TB, f func(context.Context) error) {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)

	go func() { done <- f(ctx) }()

	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
}

// newReader returns a reader of the servers. Their port numbers are their indexes plus one.
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
		runUntilCleanup(t, s.Run)

		r := newReader("entry-1", 1, s)
		runUntilCleanup(t, r.Run)
		time.Sleep(time.Second)

		node, ok := r.Snapshot().Node("entry-1")
		require.True(t, ok)
		require.Equal(t, uint64(1), node.GetIncarnation())
		require.True(t, r.Snapshot().Valid(time.Now()))
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

// A control VM is a process of the directory, so its stop can be planned. The planned stop
// must end when the VM restarts, or the VM would stop a second time.
func TestPlannedStopEndsWhenControlVMRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 1)
		var self atomic.Pointer[wire.Node]

		self.Store(&wire.Node{ID: "control-9", Kind: wire.NodeKind_NodeControl, Incarnation: 1})

		log := vms.servers[0]
		s := &control.Server{
			Cluster: cluster, VM: "control-9", Propose: log.Propose, ReadIndex: log.ReadIndex,
			Self: self.Load,
		}
		s.Init()
		vms.servers[0] = s
		runUntilCleanup(t, s.Run)
		time.Sleep(time.Second)

		vms.decide(t, 0, 1, "[Stop \"control-9\"]\nReason = new disk\n")
		require.True(t, s.StopPlanned("control-9"))
		time.Sleep(time.Second)
		self.Store(&wire.Node{ID: "control-9", Kind: wire.NodeKind_NodeControl, Incarnation: 2})
		time.Sleep(time.Second)
		require.False(t, s.StopPlanned("control-9"))
		require.True(t, vms.status(t, 0, 1).GetInForce())

		dump, err := s.Dump(t.Context(), &wire.DumpRequest{})
		require.NoError(t, err)
		require.Contains(t, dump.GetText(), "Node/control-9")
		require.Contains(t, dump.GetText(), "Heard control-9 Incarnation 2")
	})
}
