package replica_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/journal"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/replica"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// startThree starts a group of three replicas and waits until it has a leader.
func startThree(t *testing.T, g *group) (leader *node, followers []*node) {
	nodes := []*node{g.start(0, "a", g.founders), g.start(1, "b", g.founders), g.start(2, "c", g.founders)}
	_, _, err := nodes[0].Propose(timeoutContext(10*time.Second), []byte("first"))
	require.NoError(t, err)
	time.Sleep(time.Second)

	for _, n := range nodes {
		if n.Status().State == "Leader" {
			leader = n
		} else {
			followers = append(followers, n)
		}
	}

	return leader, followers
}

func (g *group) stopAll() {
	for _, n := range g.nodes {
		require.NoError(g.t, g.stopNode(n))
	}
}

// The leader's disk fails a sync. The leader must stop with the error, must not report
// NotRun for the proposal in flight, and the other replicas must continue.
func TestFailedSyncStopsReplica(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)

		var failing atomic.Pointer[replica.Replica]

		g.configure = func(r *replica.Replica) {
			r.Files = filesWithSyncHook(func() error {
				if failing.Load() == r {
					return errors.New("input/output error")
				}

				return nil
			})
		}
		leader, followers := startThree(t, g)

		failing.Store(leader.Replica)

		_, _, err := leader.Propose(timeoutContext(5*time.Second), []byte("second"))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))

		var writeErr *journal.WriteError

		require.ErrorAs(t, <-leader.runErr, &writeErr)

		_, _, err = leader.Propose(timeoutContext(time.Second), []byte("late"))
		require.Equal(t, verdict.NotRun, verdict.Of(err))

		_, _, err = followers[0].Propose(timeoutContext(20*time.Second), []byte("third"))
		require.NoError(t, err)

		// Propose waits for the leader to apply the command. Another replica is only sure
		// to have applied it after a ReadIndex there.
		for _, n := range followers {
			_, _, err = n.ReadIndex(timeoutContext(5 * time.Second))
			require.NoError(t, err)
			require.Equal(t, "first second third", n.state.String())
		}

		for _, n := range followers {
			require.NoError(t, g.stopNode(n))
		}
	})
}

// filesWithSyncHook returns files that call beforeSync before each sync.
func filesWithSyncHook(beforeSync func() error) journal.Files {
	files := journal.OSFiles()
	create := files.Create
	files.Create = func(name string) (*journal.File, error) {
		f, err := create(name)
		if err != nil {
			return nil, err
		}

		sync := f.Sync
		f.Sync = func() error { return errors.Join(beforeSync(), sync()) }

		return f, nil
	}

	return files
}

// The leader's disk hangs in one sync for 30 s. Another leader must take over and commit
// proposals. When the sync returns, the old leader must neither serve reads from stale
// state nor become the leader again.
func TestLeaderWithHangingDiskIsReplaced(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)

		var hanging atomic.Pointer[replica.Replica]

		g.configure = func(r *replica.Replica) {
			r.Files = filesWithSyncHook(func() error {
				if hanging.CompareAndSwap(r, nil) {
					time.Sleep(30 * time.Second)
				}

				return nil
			})
		}
		leader, followers := startThree(t, g)
		hanging.Store(leader.Replica)

		go func() { _, _, _ = leader.Propose(timeoutContext(time.Second), []byte("under way")) }()

		time.Sleep(10 * time.Second)

		_, _, err := followers[0].Propose(timeoutContext(20*time.Second), []byte("meanwhile"))
		require.NoError(t, err)

		_, _, err = leader.ReadIndex(timeoutContext(time.Minute))
		require.NoError(t, err)
		require.Contains(t, leader.state.String(), "meanwhile")
		require.NotEqual(t, leader.ID, followers[0].Status().Leader)
		g.stopAll()
	})
}

// A follower forwards a proposal to the leader and the response is lost. The proposal
// must not be retried, because it could be applied twice. Its verdict must be MayHaveRun.
func TestLostForwardResponseIsMayHaveRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		leader, followers := startThree(t, g)

		g.mu.Lock()
		for j := range 3 {
			if nodeAddr(j) != leader.Addr {
				g.blocked[[2]netip.AddrPort{leader.Addr, nodeAddr(j)}] = true
			}
		}
		g.mu.Unlock()

		_, _, err := followers[0].Propose(timeoutContext(20*time.Second), []byte("booked"))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))

		g.isolate(0, false)
		g.isolate(1, false)
		g.isolate(2, false)
		time.Sleep(20 * time.Second)

		_, _, err = followers[0].Propose(timeoutContext(20*time.Second), []byte("last"))
		require.NoError(t, err)
		require.LessOrEqual(t, countOf(followers[0].state, "booked"), 1)
		g.stopAll()
	})
}

// The leader becomes unreachable while a follower waits for its response. The follower
// must return MayHaveRun once another leader is elected, and not wait for the caller's
// deadline of one minute.
func TestForwardIsCanceledByNewLeader(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.configure = func(r *replica.Replica) {
			forward := r.Forward
			r.Forward = func(ctx context.Context, to netip.AddrPort, o *wire.PeerOrder) (*wire.PeerOrderAnswer, error) {
				if string(o.GetCommand()) != "silent" {
					return forward(ctx, to, o)
				}

				<-ctx.Done()

				return nil, ctx.Err()
			}
		}
		leader, followers := startThree(t, g)
		start := time.Now()

		g.isolate(int(leader.Addr.Port()-nodeAddr(0).Port()), true)

		_, _, err := followers[0].Propose(timeoutContext(time.Minute), []byte("silent"))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.Less(t, time.Since(start), 10*time.Second)
		g.stopAll()
	})
}

func countOf(l *ledger, command string) int {
	l.mu.Lock()
	defer l.mu.Unlock()

	n := 0

	for _, c := range l.commands {
		if string(c) == command {
			n++
		}
	}

	return n
}

// A replica fails, misses hundreds of commits and is replaced by a new member, which
// catches up by a snapshot. The state must survive the loss of another replica after the
// replacement, and a restart of the rest.
func TestReplacedMemberCatchesUpAndRestarts(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.configure = func(r *replica.Replica) { r.SnapshotThreshold, r.CatchUpEntries = 100, 10 }
		leader, followers := startThree(t, g)
		lost := followers[1]

		require.NoError(t, g.stopNode(lost))

		commit := func(prefix string, n int) {
			var proposals sync.WaitGroup
			for i := range n {
				proposals.Go(func() {
					_, _, err := followers[0].Propose(timeoutContext(5*time.Second), []byte(fmt.Sprint(prefix, i)))
					require.NoError(t, err)
				})
			}
			proposals.Wait()
		}

		commit("a", 400)
		time.Sleep(2 * time.Second)
		require.False(t, leader.Status().SafeToStop)
		require.ErrorAs(t, followers[0].CheckStop(timeoutContext(5*time.Second), leader.ID), new(*replica.RequestError))
		require.NoError(t, followers[0].Remove(timeoutContext(5*time.Second), lost.ID))

		replacement := g.start(5, "f", nil)
		err := followers[0].Promote(timeoutContext(time.Second), replacement.ID)

		var refused *replica.RequestError

		require.ErrorAs(t, err, &refused)
		require.Equal(t, quorum.ReasonMemberUnknown, refused.Reason)
		require.NoError(t, followers[0].AddLearner(timeoutContext(5*time.Second), quorum.Member{ID: replacement.ID, Addr: replacement.Addr}))
		time.Sleep(5 * time.Second)
		require.NoError(t, followers[0].Promote(timeoutContext(5*time.Second), replacement.ID))
		time.Sleep(time.Second)
		require.True(t, leader.Status().SafeToStop, leader.Status().Reason)
		require.NoError(t, followers[0].CheckStop(timeoutContext(5*time.Second), leader.ID))
		commit("b", 300)

		// A second replica fails right after the replacement.
		require.NoError(t, leader.TransferLeadership(timeoutContext(5*time.Second), replacement.ID))
		require.NoError(t, g.stopNode(leader))
		commit("c", 100)

		_, _, err = replacement.ReadIndex(timeoutContext(5 * time.Second))
		require.NoError(t, err)

		want := replacement.state.String()

		require.NoError(t, g.stopNode(replacement))
		require.NoError(t, g.stopNode(followers[0]))

		restarted := g.start(5, "f", nil)
		restartedFounder := g.start(int(followers[0].Addr.Port())-7000, dirNameOf(followers[0]), g.founders)

		_, _, err = restarted.ReadIndex(timeoutContext(20 * time.Second))
		require.NoError(t, err)
		require.Equal(t, want, restarted.state.String())
		require.NoError(t, g.stopNode(restarted))
		require.NoError(t, g.stopNode(restartedFounder))
	})
}

func dirNameOf(n *node) string {
	return map[string]string{"vm0": "a", "vm1": "b", "vm2": "c"}[n.ID]
}

// Messages and requests of another cluster, sent to a wrong address, must be refused.
func TestOtherClusterIsRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		n := g.start(0, "a", g.founders)

		_, err := n.Deliver(context.Background(), &wire.PeerEnvelope{Cluster: "other"})
		require.Error(t, err)

		answer, err := n.Give(context.Background(), &wire.PeerOrder{Cluster: "other", RemainingMillis: 100})
		require.NoError(t, err)
		require.True(t, answer.GetNotRun())
		require.NoError(t, g.stopNode(n))
	})
}

// Guards against a replica that neither stops nor waits after a fault that gives it nothing to send or store.
func TestFaultWithoutActionsStopsReplica(t *testing.T) {
	t.Parallel()

	g := newGroup(t, 1)
	n := g.start(0, "a", g.founders)
	_, _, err := n.Propose(timeoutContext(10*time.Second), []byte("first"))
	require.NoError(t, err)

	earlier := quorum.Message{From: "vm1", FromCreationID: 1, To: "vm0", ToCreationID: 1, Body: quorum.Hello{}}
	_, err = n.Deliver(t.Context(), &wire.PeerEnvelope{Cluster: "test", Messages: []*wire.QuorumMessage{earlier.ToWire()}})
	require.NoError(t, err)

	var lost *quorum.LostDiskError

	select {
	case err := <-n.runErr:
		require.ErrorAs(t, err, &lost)
	case <-time.After(waitForFault):
		t.Fatal("the replica goes on")
	}
}

// waitForFault bounds how long a replica may take to stop.
const waitForFault = 10 * time.Second
