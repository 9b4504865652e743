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

// relay passes connections on to a server, until they are silenced: open ones
// then pass nothing any more, without being closed, while new ones work.
type relay struct {
	net.Listener
	to     string
	passed atomic.Int64 // bytes, both ways

	mu    sync.Mutex
	open  []*link
	tasks sync.WaitGroup
}

type link struct {
	a, b   net.Conn
	mu     sync.Mutex
	silent bool
}

func (r *relay) run() {
	for {
		a, err := r.Accept()
		if err != nil {
			return
		}

		b, err := net.Dial("tcp", r.to)
		if err != nil {
			a.Close()

			continue
		}

		l := &link{a: a, b: b}

		r.mu.Lock()
		r.open = append(r.open, l)
		r.mu.Unlock()
		r.tasks.Go(func() { l.pass(a, b, &r.passed) })
		r.tasks.Go(func() { l.pass(b, a, &r.passed) })
	}
}

func (l *link) pass(from, to net.Conn, passed *atomic.Int64) {
	buf := make([]byte, 32<<10)

	for {
		n, err := from.Read(buf)
		passed.Add(int64(n))

		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()

		if !silent && n > 0 {
			_, _ = to.Write(buf[:n])
		}

		if errors.Is(err, io.EOF) && !silent {
			to.Close()
		}

		if err != nil {
			return
		}
	}
}

// silence makes all open connections silent for good and counts them.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, l := range r.open {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}

	return len(r.open)
}

func (r *relay) shut() {
	r.Close()

	for _, l := range r.open {
		l.a.Close()
		l.b.Close()
	}

	r.tasks.Wait()
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
	nodes  []*replica.Replica
	states []*ledger
	relays []*relay
	stop   func()
}

func newHTTPGroup(t testing.TB, n int, tune func(*replica.Replica)) *httpGroup {
	g := &httpGroup{}
	ctx, cancel := context.WithCancel(context.Background())

	var (
		founders []quorum.Member
		servers  []*http.Server
		tasks    sync.WaitGroup
	)

	for i := range n {
		r := &relay{Listener: listen(t)}
		g.relays = append(g.relays, r)
		founders = append(founders, quorum.Member{ID: fmt.Sprint("vm", i), Addr: addrOf(r)})
	}

	for i, m := range founders {
		state := &ledger{}
		node := &replica.Replica{
			ID: m.ID, Cluster: "test", Dir: t.TempDir(), Addr: m.Addr, Founders: founders,
			Apply: state.apply, Snapshot: state.snapshot, Restore: state.restore,
			HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 600 * time.Millisecond,
		}

		if tune != nil {
			tune(node)
		}

		l := listen(t)
		g.relays[i].to = l.Addr().String()
		server := &http.Server{Handler: node.Handler()}
		servers = append(servers, server)
		g.nodes, g.states = append(g.nodes, node), append(g.states, state)

		tasks.Go(func() { _ = server.Serve(l) })
		tasks.Go(g.relays[i].run)
		tasks.Go(func() { _ = node.Run(ctx) })
	}

	g.stop = func() {
		cancel()

		for i := range servers {
			servers[i].Close()
			g.relays[i].shut()
		}

		tasks.Wait()
	}

	return g
}

// A stateful device between the VMs forgets all open connections: they carry
// nothing any more, in no direction, for good, and nobody closes them. New
// ones work. Every replica must notice, dial anew and go on.
func TestSilentConnectionsAreDialledAnew(t *testing.T) { //nolint:paralleltest // looks for leaked goroutines
	defer goleak.VerifyNone(t)

	g := newHTTPGroup(t, 3, nil)
	defer g.stop()

	for i, n := range g.nodes {
		_, _, err := n.Propose(within(20*time.Second), []byte(fmt.Sprint(i)))
		require.NoError(t, err)
	}

	for _, r := range g.relays {
		require.NotZero(t, r.silence())
	}

	for i, n := range g.nodes {
		require.Eventually(t, func() bool {
			_, _, err := n.ReadIndex(within(time.Second))

			return err == nil
		}, 30*time.Second, 10*time.Millisecond)
		require.Equal(t, "0 1 2", g.states[i].String())
	}
}
