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

// ledger is a state machine that keeps all commands in order.
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

// node is one replica of a group in this process.
type node struct {
	*replica.Replica
	state *ledger
	stop  context.CancelFunc
	ended chan error
}

// group is several replicas whose messages stay in this process.
type group struct {
	t       *testing.T
	dirs    string
	mu      sync.Mutex
	nodes   map[netip.AddrPort]*node
	cut     map[[2]netip.AddrPort]bool // from, to
	founder []quorum.Member
	tune    func(*replica.Replica)
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i))
}

func newGroup(t *testing.T, founders int) *group {
	g := &group{t: t, dirs: t.TempDir(), nodes: map[netip.AddrPort]*node{}, cut: map[[2]netip.AddrPort]bool{}}
	for i := range founders {
		g.founder = append(g.founder, quorum.Member{ID: fmt.Sprint("vm", i), Addr: addr(i)})
	}

	return g
}

// start runs the replica vm<i> on its own data folder, the same one each time.
func (g *group) start(i int, dir string, founders []quorum.Member) *node {
	state := &ledger{}
	from := addr(i)
	random := rand.New(rand.NewPCG(uint64(i), 1))
	ctx, stop := context.WithCancel(context.Background())
	n := &node{state: state, stop: stop, ended: make(chan error, 1)}
	n.Replica = &replica.Replica{
		ID: fmt.Sprint("vm", i), Cluster: "test", Dir: g.dirs + "/" + dir, Addr: from, Founders: founders,
		Apply: state.apply, Snapshot: state.snapshot, Restore: state.restore,
		Rand: random.Int64N,
		Send: func(to netip.AddrPort, env *wire.PeerEnvelope) {
			if peer := g.reach(from, to); peer != nil {
				time.AfterFunc(time.Millisecond, func() { _, _ = peer.Deliver(context.Background(), env) })
			}
		},
		Forward: func(ctx context.Context, to netip.AddrPort, o *wire.PeerOrder) (*wire.PeerOrderAnswer, error) {
			peer := g.reach(from, to)
			if peer == nil {
				return nil, replica.ErrNotSent
			}

			answer, err := peer.Give(ctx, o)
			if g.reach(to, from) == nil {
				return nil, errors.New("answer lost")
			}

			return answer, err
		},
	}

	if g.tune != nil {
		g.tune(n.Replica)
	}

	g.mu.Lock()
	g.nodes[from] = n
	g.mu.Unlock()

	go func() { n.ended <- n.Run(ctx) }()

	return n
}

func (g *group) reach(from, to netip.AddrPort) *node {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.cut[[2]netip.AddrPort{from, to}] {
		return nil
	}

	return g.nodes[to]
}

// isolate cuts vm<i> off silently, both ways, or heals it.
func (g *group) isolate(i int, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	for j := range 10 {
		g.cut[[2]netip.AddrPort{addr(i), addr(j)}] = cut && i != j
		g.cut[[2]netip.AddrPort{addr(j), addr(i)}] = cut && i != j
	}
}

func (g *group) end(n *node) error {
	n.stop()

	return <-n.ended
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	_ = cancel // ends with the deadline

	return ctx
}

func TestSingleReplicaCommitsAndRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		n := g.start(0, "a", g.founder)

		for i := range 300 {
			_, result, err := n.Propose(within(time.Second), []byte(fmt.Sprint(i)))
			require.NoError(t, err)
			require.Equal(t, binary.AppendUvarint(nil, uint64(i+1)), result)
		}

		want := n.state.String()
		require.NoError(t, g.end(n))

		n = g.start(0, "a", g.founder)
		asked := time.Now()
		asOf, index, err := n.ReadIndex(within(time.Second))
		require.NoError(t, err)
		require.Equal(t, asked, asOf)
		require.GreaterOrEqual(t, index, uint64(300))
		require.Equal(t, want, n.state.String())
		require.NoError(t, g.end(n))
	})
}

func TestThreeReplicasFollowAnyProposer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		nodes := []*node{g.start(0, "a", g.founder), g.start(1, "b", g.founder), g.start(2, "c", g.founder)}

		for i, n := range nodes {
			_, _, err := n.Propose(within(10*time.Second), []byte(fmt.Sprint(i)))
			require.NoError(t, err)
		}

		for _, n := range nodes {
			_, _, err := n.ReadIndex(within(time.Second))
			require.NoError(t, err)
			require.Equal(t, "0 1 2", n.state.String())
		}

		for _, n := range nodes {
			require.NoError(t, g.end(n))
		}
	})
}

// Users see a control VM answer status and claims after its switch port failed
// without a word: it still calls itself leader. It must neither show old state
// as current nor, when it is back, unseat the leader that the others chose.
func TestIsolatedLeaderIsNotCurrentAndReturnsQuietly(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		nodes := []*node{g.start(0, "a", g.founder), g.start(1, "b", g.founder), g.start(2, "c", g.founder)}
		_, _, err := nodes[0].Propose(within(10*time.Second), []byte("before"))
		require.NoError(t, err)

		time.Sleep(time.Second)

		old := nodes[0].Status().Leader
		cut := 0

		for i, n := range nodes {
			if n.ID == old {
				cut = i
			}
		}

		g.isolate(cut, true)

		other := nodes[(cut+1)%3]
		_, _, err = other.Propose(within(20*time.Second), []byte("meanwhile"))
		require.NoError(t, err)

		_, _, err = nodes[cut].ReadIndex(within(5 * time.Second))
		require.Error(t, err)

		time.Sleep(time.Hour)

		leader, term := other.Status().Leader, other.Status().Term

		g.isolate(cut, false)
		time.Sleep(10 * time.Second)
		require.Equal(t, leader, nodes[cut].Status().Leader)
		require.Equal(t, term, nodes[cut].Status().Term)

		_, _, err = nodes[cut].ReadIndex(within(time.Second))
		require.NoError(t, err)
		require.Equal(t, "before meanwhile", nodes[cut].state.String())

		for _, n := range nodes {
			require.NoError(t, g.end(n))
		}
	})
}
