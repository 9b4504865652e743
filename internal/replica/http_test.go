package replica_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/replica"
)

// blackholeProxy forwards TCP connections to upstream. After a call to blackhole, the
// connections open at that time stay open but deliver no more data, while new connections
// work.
type blackholeProxy struct {
	net.Listener
	upstream string
	bytes    atomic.Int64 // read from both sides

	mu    sync.Mutex
	conns []*proxiedConn
	wg    sync.WaitGroup
}

type proxiedConn struct {
	client, server net.Conn
	mu             sync.Mutex
	dropping       bool
}

func (p *blackholeProxy) run() {
	for {
		client, err := p.Accept()
		if err != nil {
			return
		}

		server, err := net.Dial("tcp", p.upstream)
		if err != nil {
			client.Close()

			continue
		}

		conn := &proxiedConn{client: client, server: server}

		p.mu.Lock()
		p.conns = append(p.conns, conn)
		p.mu.Unlock()
		p.wg.Go(func() { conn.copy(client, server, &p.bytes) })
		p.wg.Go(func() { conn.copy(server, client, &p.bytes) })
	}
}

func (c *proxiedConn) copy(from, to net.Conn, total *atomic.Int64) {
	buf := make([]byte, 32<<10)

	for {
		n, err := from.Read(buf)
		total.Add(int64(n))

		c.mu.Lock()
		dropping := c.dropping
		c.mu.Unlock()

		if !dropping && n > 0 {
			_, _ = to.Write(buf[:n])
		}

		if errors.Is(err, io.EOF) && !dropping {
			to.Close()
		}

		if err != nil {
			return
		}
	}
}

// blackhole makes all open connections drop their data permanently, and returns the
// number of connections accepted so far.
func (p *blackholeProxy) blackhole() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, conn := range p.conns {
		conn.mu.Lock()
		conn.dropping = true
		conn.mu.Unlock()
	}

	return len(p.conns)
}

func (p *blackholeProxy) closeAll() {
	p.Close()

	for _, conn := range p.conns {
		conn.client.Close()
		conn.server.Close()
	}

	p.wg.Wait()
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	return l
}

func addrOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// httpGroup is a group of replicas that communicate by HTTP on loopback, through one proxy
// in front of each replica.
type httpGroup struct {
	nodes   []*replica.Replica
	states  []*ledger
	proxies []*blackholeProxy
	stop    func()
}

func newHTTPGroup(t testing.TB, n int, configure func(*replica.Replica)) *httpGroup {
	g := &httpGroup{}
	ctx, cancel := context.WithCancel(context.Background())

	var (
		founders []quorum.Member
		servers  []*http.Server
		wg       sync.WaitGroup
	)

	for i := range n {
		proxy := &blackholeProxy{Listener: listen(t)}
		g.proxies = append(g.proxies, proxy)
		founders = append(founders, quorum.Member{ID: fmt.Sprint("vm", i), Addr: addrOf(proxy)})
	}

	for i, m := range founders {
		state := &ledger{}
		node := &replica.Replica{
			ID: m.ID, Cluster: "test", Dir: t.TempDir(), Addr: m.Addr, Founders: founders,
			Apply: state.apply, Snapshot: state.snapshot, Restore: state.restore,
			HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 600 * time.Millisecond,
		}

		if configure != nil {
			configure(node)
		}

		l := listen(t)
		g.proxies[i].upstream = l.Addr().String()
		server := &http.Server{Handler: node.Handler()}
		servers = append(servers, server)
		g.nodes, g.states = append(g.nodes, node), append(g.states, state)

		wg.Go(func() { _ = server.Serve(l) })
		wg.Go(g.proxies[i].run)
		wg.Go(func() { _ = node.Run(ctx) })
	}

	g.stop = func() {
		cancel()

		for i := range servers {
			servers[i].Close()
			g.proxies[i].closeAll()
		}

		wg.Wait()
	}

	return g
}

// A stateful network device between the VMs drops the state of all open connections. They
// deliver no more data in either direction and are never closed, while new connections
// work. Every replica must time out, dial again and continue.
func TestBlackholedConnectionsAreRedialled(t *testing.T) { //nolint:paralleltest // checks for leaked goroutines
	defer goleak.VerifyNone(t)

	g := newHTTPGroup(t, 3, nil)
	defer g.stop()

	for i, n := range g.nodes {
		_, _, err := n.Propose(timeoutContext(20*time.Second), []byte(fmt.Sprint(i)))
		require.NoError(t, err)
	}

	for _, p := range g.proxies {
		require.NotZero(t, p.blackhole())
	}

	for i, n := range g.nodes {
		require.Eventually(t, func() bool {
			_, _, err := n.ReadIndex(timeoutContext(time.Second))

			return err == nil
		}, 30*time.Second, 10*time.Millisecond)
		require.Equal(t, "0 1 2", g.states[i].String())
	}
}
