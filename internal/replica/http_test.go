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

// blackholeProxy passes connections on to a server, until they are silenced: open ones
// then pass nothing any more, without being closed, while new ones work.
type blackholeProxy struct {
	net.Listener
	upstream string
	bytes    atomic.Int64 // bytes, both ways

	mu    sync.Mutex
	conns []*proxiedConn
	wg    sync.WaitGroup
}

type proxiedConn struct {
	client, server net.Conn
	mu             sync.Mutex
	dropping       bool
}

func (r *blackholeProxy) run() {
	for {
		client, err := r.Accept()
		if err != nil {
			return
		}

		server, err := net.Dial("tcp", r.upstream)
		if err != nil {
			client.Close()

			continue
		}

		l := &proxiedConn{client: client, server: server}

		r.mu.Lock()
		r.conns = append(r.conns, l)
		r.mu.Unlock()
		r.wg.Go(func() { l.copy(client, server, &r.bytes) })
		r.wg.Go(func() { l.copy(server, client, &r.bytes) })
	}
}

func (l *proxiedConn) copy(from, to net.Conn, total *atomic.Int64) {
	buf := make([]byte, 32<<10)

	for {
		n, err := from.Read(buf)
		total.Add(int64(n))

		l.mu.Lock()
		dropping := l.dropping
		l.mu.Unlock()

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

// blackhole makes all open connections silent for good and counts them.
func (r *blackholeProxy) blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, l := range r.conns {
		l.mu.Lock()
		l.dropping = true
		l.mu.Unlock()
	}

	return len(r.conns)
}

func (r *blackholeProxy) closeAll() {
	r.Close()

	for _, l := range r.conns {
		l.client.Close()
		l.server.Close()
	}

	r.wg.Wait()
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	return l
}

func addrOf(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// httpGroup is a group over real connections on loopback, each through a relay.
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
		r := &blackholeProxy{Listener: listen(t)}
		g.proxies = append(g.proxies, r)
		founders = append(founders, quorum.Member{ID: fmt.Sprint("vm", i), Addr: addrOf(r)})
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

// A stateful device between the VMs forgets all open connections: they carry
// nothing any more, in no direction, for good, and nobody closes them. New
// ones work. Every replica must notice, dial anew and go on.
func TestBlackholedConnectionsAreRedialled(t *testing.T) { //nolint:paralleltest // looks for leaked goroutines
	defer goleak.VerifyNone(t)

	g := newHTTPGroup(t, 3, nil)
	defer g.stop()

	for i, n := range g.nodes {
		_, _, err := n.Propose(timeoutContext(20*time.Second), []byte(fmt.Sprint(i)))
		require.NoError(t, err)
	}

	for _, r := range g.proxies {
		require.NotZero(t, r.blackhole())
	}

	for i, n := range g.nodes {
		require.Eventually(t, func() bool {
			_, _, err := n.ReadIndex(timeoutContext(time.Second))

			return err == nil
		}, 30*time.Second, 10*time.Millisecond)
		require.Equal(t, "0 1 2", g.states[i].String())
	}
}
