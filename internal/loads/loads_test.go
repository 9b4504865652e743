package loads_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/loads"
)

func socket(t *testing.T) (net.PacketConn, netip.AddrPort) {
	t.Helper()

	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)

	return c, netip.MustParseAddrPort(c.LocalAddr().String())
}

// An entry asks an agent and hears its engine's load, also when it changes. Asks of
// another deployment, and bytes that are none, are answered to nobody.
func TestEntriesHearLoads(t *testing.T) {
	t.Parallel()

	agentConn, agent := socket(t)
	entryConn, _ := socket(t)
	strangerConn, _ := socket(t)

	ctx, stop := context.WithCancel(t.Context())

	var (
		mu   sync.Mutex
		load = loads.Load{Running: 3, Waiting: 1}
		runs sync.WaitGroup
	)

	heard := make(chan loads.Load, 100)
	teller := &loads.Teller{
		Cluster: "trust", Conn: agentConn, Logger: slog.New(slog.DiscardHandler),
		Load: func(context.Context) (loads.Load, error) {
			mu.Lock()
			defer mu.Unlock()

			return load, nil
		},
	}
	listener := func(cluster string, conn net.PacketConn, heard func(netip.AddrPort, loads.Load)) {
		l := &loads.Listener{Cluster: cluster, Conn: conn, Agents: func() []netip.AddrPort { return []netip.AddrPort{agent} }, Heard: heard}

		runs.Go(func() { _ = l.Run(ctx) })
	}

	runs.Go(func() { _ = teller.Run(ctx) })
	listener("trust", entryConn, func(from netip.AddrPort, l loads.Load) {
		if from == agent {
			heard <- l
		}
	})
	listener("qurum", strangerConn, func(netip.AddrPort, loads.Load) { t.Error("another deployment heard a load") })

	_, err := strangerConn.WriteTo([]byte("\xff\xffnonsense"), net.UDPAddrFromAddrPort(agent))
	require.NoError(t, err)
	require.Equal(t, loads.Load{Running: 3, Waiting: 1}, <-heard)

	mu.Lock()
	load = loads.Load{Running: 7}
	mu.Unlock()

	require.Eventually(t, func() bool { return <-heard == loads.Load{Running: 7} }, 10*time.Second, time.Millisecond)
	stop()
	runs.Wait()
}
