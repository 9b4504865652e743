package replica_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
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

// callerTimeout is how long a caller waits for an answer before it asks another replica.
const callerTimeout = time.Second

// delayedGroup is a group of three replicas whose commands all conflict. Callers and replicas are
// delayed at random.
type delayedGroup struct {
	*group
	nodes []*node

	mu  sync.Mutex
	rng *rand.Rand
}

// delay returns how long a message or a process is delayed, mostly not at all.
func (g *delayedGroup) delay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.rng.IntN(3) > 0 {
		return 0
	}

	return time.Duration(g.rng.Int64N(int64(4 * callerTimeout)))
}

func (g *delayedGroup) intN(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.rng.IntN(n)
}

func newDelayedGroup(t *testing.T, seed uint64) *delayedGroup {
	g := &delayedGroup{group: newGroup(t, 3), rng: rand.New(rand.NewPCG(seed, 3))}
	g.configure = func(r *replica.Replica) {
		r.Conflicts = func(_, _ []byte) bool { return true }
		forward := r.Forward
		r.Forward = func(ctx context.Context, to netip.AddrPort, o *wire.PeerOrder) (*wire.PeerOrderAnswer, error) {
			late := g.delay()
			if late == 0 {
				return forward(ctx, to, o)
			}

			// What is in the leader's socket is read although the sender has left.
			o = proto.CloneOf(o)
			time.AfterFunc(late, func() { _, _ = forward(timeoutContext(callerTimeout), to, o) })
			<-ctx.Done()

			return nil, ctx.Err()
		}
	}

	for i := range 3 {
		g.nodes = append(g.nodes, g.start(i, fmt.Sprint("dir", i), g.founders))
	}

	return g
}

// call sends a command to a replica that may read it late, and reports whether it was acknowledged
// while the caller waited.
func (g *delayedGroup) call(n *node, command string) bool {
	ctx := timeoutContext(callerTimeout)
	done := make(chan bool, 1)

	time.AfterFunc(g.delay(), func() {
		_, _, err := n.ProposeCurrent(ctx, []byte(command))
		done <- err == nil
	})

	select {
	case acknowledged := <-done:
		return acknowledged
	case <-ctx.Done():
		return false
	}
}

// An operator orders one state and then the other, each until some replica acknowledges it. Orders
// are read late, forwarded late, and read late by the leader. Guards against an order that is carried
// out after a newer one was acknowledged, by a replica whose caller had given up.
func TestDelayedCommandDoesNotFollowANewerOne(t *testing.T) {
	t.Parallel()

	for seed := range uint64(80) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newDelayedGroup(t, seed)
				defer g.stopAll()

				time.Sleep(5 * time.Second)

				for i := range 6 {
					command := []string{"out", "in"}[i%2]
					for !g.call(g.nodes[g.intN(3)], command) {
						time.Sleep(100 * time.Millisecond)
					}

					if g.intN(2) == 0 {
						time.Sleep(5 * callerTimeout) // All that is late has arrived.

						for _, n := range g.nodes {
							_, _, err := n.ReadIndex(timeoutContext(10 * time.Second))
							require.NoError(t, err)
							require.True(t, strings.HasSuffix(n.state.String(), command), "%s is in force after %q was acknowledged", n.state, command)
						}
					}
				}
			})
		})
	}
}

// An order reaches a new leader that holds a newer one which it has not applied yet. Guards against a
// leader that compares with its state only.
func TestLeaderRefusesDelayedCommand(t *testing.T) {
	t.Parallel()

	conflicting := func(command string) bool { return command == "newer" }

	for _, c := range []struct {
		name   string
		log    []string
		asOf   uint64
		refuse bool
	}{
		{"nothing follows", []string{"newer", "other"}, 3, false},
		{"another command follows", []string{"newer", "other"}, 2, false},
		{"a conflicting command follows", []string{"other", "newer", "other"}, 1, true},
		{"a conflicting command follows others", []string{"other", "other", "newer"}, 1, true},
		{"the index is ahead of the log", []string{"other"}, 9, true},
		{"unconditional", []string{"newer"}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()

			core, err := quorum.New(quorum.Config{
				ID: "a", CreationID: 1, Rand: func(int64) int64 { return 0 },
				Conflicts: func(earlier, command []byte) bool { return conflicting(string(earlier)) && string(command) == "order" },
			}, quorum.StoredState{State: quorum.HardState{Term: 1}, Snapshot: quorum.Snapshot{Members: quorum.Members{{ID: "a", Birth: 1}, {ID: "b", Birth: 2, Addr: nodeAddr(2)}, {ID: "c", Birth: 3, Addr: nodeAddr(3)}}}, Entries: storedEntries(c.log)}, time.Unix(1000, 0))
			require.NoError(t, err)

			now := time.Unix(1000, 0).Add(time.Minute)
			answer := func(body quorum.Body) {
				core.Step(now, quorum.Received{Message: quorum.Message{From: "b", FromCreationID: 2, To: "a", ToCreationID: 1, Term: 2, Body: body}})
				takeAll(core)
			}
			core.Step(now, quorum.Tick{})
			takeAll(core)
			answer(quorum.VoteAnswer{Pre: true, Granted: true})
			answer(quorum.VoteAnswer{Granted: true})
			require.Equal(t, "Leader", core.Status().State)
			require.Zero(t, core.Status().Commit, "the entries of the leader before are not committed yet")

			core.Step(now, quorum.Proposed{ID: 1, Command: []byte("order"), AsOf: c.asOf})

			b := core.Take()
			if !c.refuse {
				require.Empty(t, b.Answers)

				return
			}

			require.Len(t, b.Answers, 1)
			require.Equal(t, quorum.ReasonSuperseded, b.Answers[0].Reason)
		})
	}
}

func storedEntries(commands []string) []quorum.Entry {
	out := make([]quorum.Entry, 0, len(commands))
	for i, c := range commands {
		out = append(out, quorum.Entry{Index: uint64(i + 1), Term: 1, Kind: quorum.EntryCommand, Command: []byte(c)})
	}

	return out
}

func takeAll(core *quorum.Core) {
	for b := core.Take(); !b.Empty(); b = core.Take() {
		core.Synced()
	}
}
