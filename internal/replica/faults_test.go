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

// three starts a group of three and waits until it has a leader.
func three(t *testing.T, g *group) (leader *node, others []*node) {
	nodes := []*node{g.start(0, "a", g.founder), g.start(1, "b", g.founder), g.start(2, "c", g.founder)}
	_, _, err := nodes[0].Propose(within(10*time.Second), []byte("first"))
	require.NoError(t, err)
	time.Sleep(time.Second)

	for _, n := range nodes {
		if n.Status().State == "Leader" {
			leader = n
		} else {
			others = append(others, n)
		}
	}

	return leader, others
}

func (g *group) endAll() {
	for _, n := range g.nodes {
		require.NoError(g.t, g.end(n))
	}
}

// The leader's disk reports an error on one sync. It must stop at once and say
// so, its callers must not be told that nothing happened, and the others go on.
func TestFailedSyncStopsTheReplica(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)

		var broken atomic.Pointer[replica.Replica]

		g.tune = func(r *replica.Replica) {
			r.Files = withSync(func() error {
				if broken.Load() == r {
					return errors.New("input/output error")
				}

				return nil
			})
		}
		leader, others := three(t, g)

		broken.Store(leader.Replica)

		_, _, err := leader.Propose(within(5*time.Second), []byte("second"))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))

		var fail *journal.WriteError

		require.ErrorAs(t, <-leader.ended, &fail)

		_, _, err = leader.Propose(within(time.Second), []byte("late"))
		require.Equal(t, verdict.NotRun, verdict.Of(err))

		_, _, err = others[0].Propose(within(20*time.Second), []byte("third"))
		require.NoError(t, err)

		// An order is applied where the leader is; each of the others has it once a read
		// there has returned.
		for _, n := range others {
			_, _, err = n.ReadIndex(within(5 * time.Second))
			require.NoError(t, err)
			require.Equal(t, "first second third", n.state.String())
		}

		for _, n := range others {
			require.NoError(t, g.end(n))
		}
	})
}

// withSync returns files that call before ahead of each sync.
func withSync(before func() error) journal.Files {
	files := journal.OSFiles()
	create := files.Create
	files.Create = func(name string) (*journal.File, error) {
		f, err := create(name)
		if err != nil {
			return nil, err
		}

		sync := f.Sync
		f.Sync = func() error { return errors.Join(before(), sync()) }

		return f, nil
	}

	return files
}

// The leader's disk hangs for half a minute in one sync. Claims must go on
// through another leader, and when the sync returns the old one must neither
// answer with old state nor take the lead back.
func TestHangingDiskHandsTheLeadOver(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)

		var hanging atomic.Pointer[replica.Replica]

		g.tune = func(r *replica.Replica) {
			r.Files = withSync(func() error {
				if hanging.CompareAndSwap(r, nil) {
					time.Sleep(30 * time.Second)
				}

				return nil
			})
		}
		leader, others := three(t, g)
		hanging.Store(leader.Replica)

		go func() { _, _, _ = leader.Propose(within(time.Second), []byte("under way")) }()

		time.Sleep(10 * time.Second)

		_, _, err := others[0].Propose(within(20*time.Second), []byte("meanwhile"))
		require.NoError(t, err)

		_, _, err = leader.ReadIndex(within(time.Minute))
		require.NoError(t, err)
		require.Contains(t, leader.state.String(), "meanwhile")
		require.NotEqual(t, leader.ID, others[0].Status().Leader)
		g.endAll()
	})
}

// A follower hands a booking to the leader and the answer gets lost. Giving it
// again would book twice, and "not run" would be a lie.
func TestLostAnswerMayHaveRun(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		leader, others := three(t, g)

		g.mu.Lock()
		for j := range 3 {
			if addr(j) != leader.Addr {
				g.cut[[2]netip.AddrPort{leader.Addr, addr(j)}] = true
			}
		}
		g.mu.Unlock()

		_, _, err := others[0].Propose(within(20*time.Second), []byte("booked"))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))

		g.isolate(0, false)
		g.isolate(1, false)
		g.isolate(2, false)
		time.Sleep(20 * time.Second)

		_, _, err = others[0].Propose(within(20*time.Second), []byte("last"))
		require.NoError(t, err)
		require.LessOrEqual(t, countOf(others[0].state, "booked"), 1)
		g.endAll()
	})
}

// The leader is cut off without a word while a follower waits for its answer.
// The caller has a minute, but knows what there is to know once another leads.
func TestForwardEndsWithTheTerm(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.tune = func(r *replica.Replica) {
			forward := r.Forward
			r.Forward = func(ctx context.Context, to netip.AddrPort, o *wire.PeerOrder) (*wire.PeerOrderAnswer, error) {
				if string(o.GetCommand()) != "silent" {
					return forward(ctx, to, o)
				}

				<-ctx.Done()

				return nil, ctx.Err()
			}
		}
		leader, others := three(t, g)
		from := time.Now()

		g.isolate(int(leader.Addr.Port()-addr(0).Port()), true)

		_, _, err := others[0].Propose(within(time.Minute), []byte("silent"))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		require.Less(t, time.Since(from), 10*time.Second)
		g.endAll()
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

// A control VM misses hundreds of changes, its disk is lost, and operators put
// a new VM in its place, with commits going on. All restart afterwards.
func TestReplacementAndRestartAfterHundreds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		g.tune = func(r *replica.Replica) { r.SnapshotThreshold, r.CatchUpEntries = 100, 10 }
		leader, others := three(t, g)
		lost := others[1]

		require.NoError(t, g.end(lost))

		commit := func(prefix string, n int) {
			var done sync.WaitGroup
			for i := range n {
				done.Go(func() {
					_, _, err := others[0].Propose(within(5*time.Second), []byte(fmt.Sprint(prefix, i)))
					require.NoError(t, err)
				})
			}
			done.Wait()
		}

		commit("a", 400)
		time.Sleep(2 * time.Second)
		require.False(t, leader.Status().SafeToStop)
		require.ErrorAs(t, others[0].CheckStop(within(5*time.Second), leader.ID), new(*replica.RequestError))
		require.NoError(t, others[0].Remove(within(5*time.Second), lost.ID))

		fresh := g.start(5, "f", nil)
		err := others[0].Promote(within(time.Second), fresh.ID)

		var refused *replica.RequestError

		require.ErrorAs(t, err, &refused)
		require.Equal(t, quorum.ReasonMemberUnknown, refused.Reason)
		require.NoError(t, others[0].AddLearner(within(5*time.Second), quorum.Member{ID: fresh.ID, Addr: fresh.Addr}))
		time.Sleep(5 * time.Second)
		require.NoError(t, others[0].Promote(within(5*time.Second), fresh.ID))
		time.Sleep(time.Second)
		require.True(t, leader.Status().SafeToStop, leader.Status().Reason)
		require.NoError(t, others[0].CheckStop(within(5*time.Second), leader.ID))
		commit("b", 300)

		// The second loss right after the repair.
		require.NoError(t, leader.TransferLeadership(within(5*time.Second), fresh.ID))
		require.NoError(t, g.end(leader))
		commit("c", 100)

		_, _, err = fresh.ReadIndex(within(5 * time.Second))
		require.NoError(t, err)

		want := fresh.state.String()

		require.NoError(t, g.end(fresh))
		require.NoError(t, g.end(others[0]))

		again := g.start(5, "f", nil)
		back := g.start(int(others[0].Addr.Port())-7000, dirOf(others[0]), g.founder)

		_, _, err = again.ReadIndex(within(20 * time.Second))
		require.NoError(t, err)
		require.Equal(t, want, again.state.String())
		require.NoError(t, g.end(again))
		require.NoError(t, g.end(back))
	})
}

func dirOf(n *node) string {
	return map[string]string{"vm0": "a", "vm1": "b", "vm2": "c"}[n.ID]
}

// Messages of another deployment reach this one through a mistaken address.
func TestAnotherClusterIsRefused(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		n := g.start(0, "a", g.founder)

		_, err := n.Deliver(context.Background(), &wire.PeerEnvelope{Cluster: "other"})
		require.Error(t, err)

		answer, err := n.Give(context.Background(), &wire.PeerOrder{Cluster: "other", RemainingMillis: 100})
		require.NoError(t, err)
		require.True(t, answer.GetNotRun())
		require.NoError(t, g.end(n))
	})
}
