package loadreport_test

import (
	"bytes"
	"context"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/loadreport"
	"github.com/parsleygate/parsleygate/internal/wire"
)

func socket(t *testing.T) (net.PacketConn, netip.AddrPort) {
	t.Helper()

	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)

	return c, netip.MustParseAddrPort(c.LocalAddr().String())
}

// An entry subscribes to an agent and receives the load of its engine, also after it
// changes. Subscriptions of another deployment and invalid datagrams get no reports.
func TestSubscribersReceiveLoads(t *testing.T) {
	t.Parallel()

	agentConn, agent := socket(t)
	entryConn, _ := socket(t)
	foreignConn, _ := socket(t)

	ctx, stop := context.WithCancel(t.Context())

	var (
		mu   sync.Mutex
		load = loadreport.Load{Running: 3, Waiting: 1}
		runs sync.WaitGroup
	)

	received := make(chan loadreport.Load, 100)
	publisher := &loadreport.Publisher{
		Cluster: "trust", Conn: agentConn, Logger: slog.New(slog.DiscardHandler),
		Load: func(context.Context) (loadreport.Load, error) {
			mu.Lock()
			defer mu.Unlock()

			return load, nil
		},
	}
	subscribe := func(cluster string, conn net.PacketConn, received func(netip.AddrPort, loadreport.Load)) {
		l := &loadreport.Subscriber{Cluster: cluster, Conn: conn, Agents: func() []netip.AddrPort { return []netip.AddrPort{agent} }, OnLoad: received}

		runs.Go(func() { _ = l.Run(ctx) })
	}

	runs.Go(func() { _ = publisher.Run(ctx) })
	subscribe("trust", entryConn, func(from netip.AddrPort, l loadreport.Load) {
		if from == agent {
			received <- l
		}
	})
	subscribe("qurum", foreignConn, func(netip.AddrPort, loadreport.Load) { t.Error("a subscriber of another deployment received a load") })

	_, err := foreignConn.WriteTo([]byte("\xff\xffnonsense"), net.UDPAddrFromAddrPort(agent))
	require.NoError(t, err)
	require.Equal(t, loadreport.Load{Running: 3, Waiting: 1}, <-received)

	mu.Lock()
	load = loadreport.Load{Running: 7}
	mu.Unlock()

	require.Eventually(t, func() bool { return <-received == loadreport.Load{Running: 7} }, 10*time.Second, time.Millisecond)
	stop()
	runs.Wait()
}

// fakeConn is a packet connection for use with a fake clock. It records when subscriptions
// are sent, and delivers reports.
type fakeConn struct {
	net.PacketConn

	from    net.Addr
	reports chan []byte
	closed  chan struct{}

	mu       sync.Mutex
	requests []time.Time
}

func (c *fakeConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.requests = append(c.requests, time.Now())

	return len(b), nil
}

func (c *fakeConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case w := <-c.reports:
		return copy(b, w), c.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *fakeConn) Close() error {
	close(c.closed)

	return nil
}

func (c *fakeConn) requestsWithin(from, to time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()

	n := 0

	for _, at := range c.requests {
		if at.After(from) && !at.After(to) {
			n++
		}
	}

	return n
}

// All VMs lose power. A restarted agent has no subscribers, and a restarted entry has just
// sent its subscription to an agent that was not up yet. Without load reports, the entries
// assigned a group twice its capacity until the next regular renewal.
func TestUnresponsiveAgentGetsFrequentSubscribeRequests(t *testing.T) {
	t.Parallel()

	synctest.Test(t, func(t *testing.T) {
		agent := netip.MustParseAddrPort("10.0.0.1:7341")
		conn := &fakeConn{from: net.UDPAddrFromAddrPort(agent), reports: make(chan []byte), closed: make(chan struct{})}

		ctx, stop := context.WithCancel(t.Context())
		l := &loadreport.Subscriber{
			Cluster: "trust", Conn: conn, Agents: func() []netip.AddrPort { return []netip.AddrPort{agent} },
			OnLoad: func(netip.AddrPort, loadreport.Load) {},
		}

		go func() { _ = l.Run(ctx) }()

		const reporting = 20 * time.Second

		for sequence := range uint64(reporting / (500 * time.Millisecond)) {
			w, err := proto.Marshal(&wire.LoadWord{Cluster: "trust", Sequence: sequence + 1})
			require.NoError(t, err)

			conn.reports <- w

			time.Sleep(500 * time.Millisecond)
		}

		lastReport := time.Now()
		require.LessOrEqual(t, conn.requestsWithin(lastReport.Add(-reporting/2), lastReport), 6, "subscriptions to a reporting agent are rarely renewed")
		time.Sleep(1500 * time.Millisecond)
		require.GreaterOrEqual(t, conn.requestsWithin(lastReport, time.Now()), 2, "a subscription is sent soon to an agent that stopped reporting")
		stop()
		synctest.Wait()
	})
}

// Guards against reports that no engine sends, by which an entry would place everything at one
// target or nothing at any: each is ignored and named once, and the next valid one counts.
func TestInvalidReportsAreIgnoredAndNamed(t *testing.T) {
	t.Parallel()

	synctest.Test(t, func(t *testing.T) {
		agent := netip.MustParseAddrPort("10.0.0.1:7341")
		conn := &fakeConn{from: net.UDPAddrFromAddrPort(agent), reports: make(chan []byte), closed: make(chan struct{})}

		ctx, stop := context.WithCancel(t.Context())

		var (
			received []loadreport.Load
			logged   bytes.Buffer
		)

		l := &loadreport.Subscriber{
			Cluster: "trust", Conn: conn, Agents: func() []netip.AddrPort { return nil }, Logger: slog.New(slog.NewTextHandler(&logged, nil)),
			OnLoad: func(_ netip.AddrPort, l loadreport.Load) { received = append(received, l) },
		}

		go func() { _ = l.Run(ctx) }()

		synctest.Wait()

		for i, w := range []*wire.LoadWord{
			{Running: 3, Pace: 1},
			{Pace: math.NaN()},
			{Pace: math.Inf(1)},
			{Pace: -1},
			{Pace: 1000},
			{Running: math.MaxUint32},
			{Waiting: math.MaxUint32},
			{Running: 5, Skew: math.NaN()},
			{Running: 6, Skew: math.Inf(1)},
			{Running: 7, Skew: -1},
			{Running: 8, Skew: 0.5},
			{Running: 9, Skew: 1e6},
			{Running: 4, Pace: 1, Skew: 2.5},
		} {
			w.Cluster, w.Sequence = "trust", uint64(i+1)

			data, err := proto.Marshal(w)
			require.NoError(t, err)

			conn.reports <- data
		}

		stop()
		synctest.Wait()
		// A load counts also if the skew beside it is invalid.
		require.Equal(t, []loadreport.Load{{Running: 3, Slowdown: 1}, {Running: 5}, {Running: 6}, {Running: 7}, {Running: 8}, {Running: 9}, {Running: 4, Slowdown: 1, Skew: 2.5}}, received)
		require.Equal(t, 1, strings.Count(logged.String(), "Invalid load report"))
		require.Contains(t, logged.String(), agent.String())
	})
}

// The skew of the expert map changes. Guards against a report that waits for the next regular one:
// a pass of the group ends in between.
func TestChangedLoadIsPublishedAtOnce(t *testing.T) {
	t.Parallel()

	synctest.Test(t, func(t *testing.T) {
		conn := &fakeConn{from: net.UDPAddrFromAddrPort(netip.MustParseAddrPort("10.0.0.2:7341")), reports: make(chan []byte), closed: make(chan struct{})}
		changed := make(chan struct{})
		load := loadreport.Load{Running: 3, Skew: 1.3}

		ctx, stop := context.WithCancel(t.Context())
		p := &loadreport.Publisher{
			Cluster: "trust", Conn: conn, Changed: changed, Logger: slog.New(slog.DiscardHandler),
			Load: func(context.Context) (loadreport.Load, error) { return load, nil },
		}

		go func() { _ = p.Run(ctx) }()

		data, err := proto.Marshal(&wire.LoadAsk{Cluster: "trust"})
		require.NoError(t, err)

		conn.reports <- data

		time.Sleep(150 * time.Millisecond) // The load is reported after 100 ms, and has not changed since.
		synctest.Wait()

		load.Skew = 2.7
		changed <- struct{}{}

		synctest.Wait()
		require.Equal(t, 1, conn.requestsWithin(time.Now().Add(-time.Millisecond), time.Now()))

		stop()
		synctest.Wait()
	})
}
