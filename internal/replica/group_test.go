package replica_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/replica"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// ledger is a state machine that records all commands in order.
type ledger struct {
	mu       sync.Mutex
	commands [][]byte
}

func (l *ledger) apply(_ uint64, command []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.commands = append(l.commands, command)

	return binary.AppendUvarint(nil, uint64(len(l.commands)))
}

func (l *ledger) snapshot() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()

	b, _ := proto.Marshal(&wire.JournalBatch{Entries: quorum.EntriesToWire(l.entries())})

	return b
}

func (l *ledger) entries() []quorum.Entry {
	var es []quorum.Entry
	for _, c := range l.commands {
		es = append(es, quorum.Entry{Command: c})
	}

	return es
}

func (l *ledger) restore(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()

	var w wire.JournalBatch
	if err := proto.Unmarshal(b, &w); err != nil {
		return err
	}

	l.commands = nil
	for _, e := range w.GetEntries() {
		l.commands = append(l.commands, e.GetCommand())
	}

	return nil
}

func (l *ledger) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()

	return string(bytes.Join(l.commands, []byte(" ")))
}

// node is one replica of a group, with its state machine.
type node struct {
	*replica.Replica
	state  *ledger
	cancel context.CancelFunc
	runErr chan error
}

// group is a group of replicas that exchange messages in memory.
type group struct {
	t         *testing.T
	baseDir   string
	mu        sync.Mutex
	nodes     map[netip.AddrPort]*node
	blocked   map[[2]netip.AddrPort]bool // from, to
	founders  []quorum.Member
	configure func(*replica.Replica)
}

func nodeAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i))
}

func newGroup(t *testing.T, founders int) *group {
	g := &group{t: t, baseDir: t.TempDir(), nodes: map[netip.AddrPort]*node{}, blocked: map[[2]netip.AddrPort]bool{}}
	for i := range founders {
		g.founders = append(g.founders, quorum.Member{ID: fmt.Sprint("vm", i), Addr: nodeAddr(i)})
	}

	return g
}

// start starts the replica vm<i> with the data folder dir below baseDir. A later start
// with the same dir is a restart.
func (g *group) start(i int, dir string, founders []quorum.Member) *node {
	state := &ledger{}
	from := nodeAddr(i)
	rng := rand.New(rand.NewPCG(uint64(i), 1))
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{state: state, cancel: cancel, runErr: make(chan error, 1)}
	n.Replica = &replica.Replica{
		ID: fmt.Sprint("vm", i), Cluster: "test", Dir: g.baseDir + "/" + dir, Addr: from, Founders: founders,
		Apply: state.apply, Snapshot: state.snapshot, Restore: state.restore,
		Rand: rng.Int64N,
		Send: func(to netip.AddrPort, env *wire.PeerEnvelope) {
			if peer := g.lookup(from, to); peer != nil {
				time.AfterFunc(time.Millisecond, func() { _, _ = peer.Deliver(context.Background(), env) })
			}
		},
		Forward: func(ctx context.Context, to netip.AddrPort, o *wire.PeerOrder) (*wire.PeerOrderAnswer, error) {
			peer := g.lookup(from, to)
			if peer == nil {
				return nil, replica.ErrNotSent
			}

			resp, err := peer.Give(ctx, o)
			if g.lookup(to, from) == nil {
				return nil, errors.New("answer lost")
			}

			return resp, err
		},
	}

	if g.configure != nil {
		g.configure(n.Replica)
	}

	g.mu.Lock()
	g.nodes[from] = n
	g.mu.Unlock()

	go func() { n.runErr <- n.Run(ctx) }()

	return n
}

// lookup returns the node at the address to, or nil if messages from from to it are
// blocked.
func (g *group) lookup(from, to netip.AddrPort) *node {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.blocked[[2]netip.AddrPort{from, to}] {
		return nil
	}

	return g.nodes[to]
}

// isolate blocks all messages to and from vm<i>, without errors, or unblocks them.
func (g *group) isolate(i int, isolated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for j := range 10 {
		g.blocked[[2]netip.AddrPort{nodeAddr(i), nodeAddr(j)}] = isolated && i != j
		g.blocked[[2]netip.AddrPort{nodeAddr(j), nodeAddr(i)}] = isolated && i != j
	}
}

func (g *group) stopNode(n *node) error {
	n.cancel()

	return <-n.runErr
}

func timeoutContext(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	_ = cancel // the context ends at its deadline

	return ctx
}

func TestSingleReplicaCommitsAndRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		n := g.start(0, "a", g.founders)

		for i := range 300 {
			_, result, err := n.Propose(timeoutContext(time.Second), []byte(fmt.Sprint(i)))
			require.NoError(t, err)
			require.Equal(t, binary.AppendUvarint(nil, uint64(i+1)), result)
		}

		want := n.state.String()
		require.NoError(t, g.stopNode(n))

		n = g.start(0, "a", g.founders)
		start := time.Now()
		asOf, index, err := n.ReadIndex(timeoutContext(time.Second))
		require.NoError(t, err)
		require.Equal(t, start, asOf)
		require.GreaterOrEqual(t, index, uint64(300))
		require.Equal(t, want, n.state.String())
		require.NoError(t, g.stopNode(n))
	})
}

func TestAnyReplicaAcceptsProposals(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		nodes := []*node{g.start(0, "a", g.founders), g.start(1, "b", g.founders), g.start(2, "c", g.founders)}

		for i, n := range nodes {
			_, _, err := n.Propose(timeoutContext(10*time.Second), []byte(fmt.Sprint(i)))
			require.NoError(t, err)
		}

		for _, n := range nodes {
			_, _, err := n.ReadIndex(timeoutContext(time.Second))
			require.NoError(t, err)
			require.Equal(t, "0 1 2", n.state.String())
		}

		for _, n := range nodes {
			require.NoError(t, g.stopNode(n))
		}
	})
}

// The leader loses its network connection without any error and still considers itself
// the leader. Its linearizable reads must fail. When the connection is back, it must
// follow the leader elected meanwhile and not force another election.
func TestIsolatedLeaderFailsReadsAndRejoinsAsFollower(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		nodes := []*node{g.start(0, "a", g.founders), g.start(1, "b", g.founders), g.start(2, "c", g.founders)}
		_, _, err := nodes[0].Propose(timeoutContext(10*time.Second), []byte("before"))
		require.NoError(t, err)

		time.Sleep(time.Second)

		oldLeader := nodes[0].Status().Leader
		isolated := 0

		for i, n := range nodes {
			if n.ID == oldLeader {
				isolated = i
			}
		}

		g.isolate(isolated, true)

		other := nodes[(isolated+1)%3]
		_, _, err = other.Propose(timeoutContext(20*time.Second), []byte("meanwhile"))
		require.NoError(t, err)

		_, _, err = nodes[isolated].ReadIndex(timeoutContext(5 * time.Second))
		require.Error(t, err)

		time.Sleep(time.Hour)

		leader, term := other.Status().Leader, other.Status().Term

		g.isolate(isolated, false)
		time.Sleep(10 * time.Second)
		require.Equal(t, leader, nodes[isolated].Status().Leader)
		require.Equal(t, term, nodes[isolated].Status().Term)

		_, _, err = nodes[isolated].ReadIndex(timeoutContext(time.Second))
		require.NoError(t, err)
		require.Equal(t, "before meanwhile", nodes[isolated].state.String())

		for _, n := range nodes {
			require.NoError(t, g.stopNode(n))
		}
	})
}
