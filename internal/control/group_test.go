package control_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

var errCut = errors.New("no quorum")

// group is several control VMs over one log in memory. A VM that is cut off
// gets no commands, and its proposals and reads fail; healed, it catches up.
type group struct {
	servers []*control.Server

	mu  sync.Mutex
	log [][]byte
	at  []int
	cut []bool
	// slow VMs apply nothing, though they are not cut off.
	slow []bool
	// lose makes proposals commit and their answers get lost.
	lose bool
}

func newGroup(t testing.TB, n int) *group {
	t.Helper()

	g := &group{at: make([]int, n), cut: make([]bool, n), slow: make([]bool, n)}

	for i := range n {
		g.servers = append(g.servers, g.build(i, n))
	}

	for _, s := range g.servers {
		run(t, s.Run)
	}

	// The first reads must have shown that the VMs are current.
	time.Sleep(20 * time.Millisecond)

	return g
}

func (g *group) build(i, n int) *control.Server {
	s := &control.Server{
		Cluster: cluster, VM: fmt.Sprintf("control-%d", i+1),
		Propose:   func(_ context.Context, command []byte) (uint64, []byte, error) { return g.propose(i, command) },
		ReadIndex: func(context.Context) (time.Time, uint64, error) { return g.read(i) },
		IsLeader:  func() bool { return g.leader() == i },
	}

	for j := range n {
		if j != i {
			s.Peers = append(s.Peers, control.Peer{
				Name:        fmt.Sprintf("control-%d", j+1),
				RecentPolls: func(ctx context.Context) (*wire.HeardResponse, error) { return g.heard(ctx, i, j) },
			})
		}
	}

	s.Init()

	return s
}

func (g *group) server(i int) *control.Server {
	g.mu.Lock()
	defer g.mu.Unlock()

	return g.servers[i]
}

// restart replaces a VM by one that starts from its snapshot.
func (g *group) restart(t testing.TB, i int) {
	t.Helper()

	g.mu.Lock()
	defer g.mu.Unlock()

	next := g.build(i, len(g.servers))
	require.NoError(t, next.Restore(g.servers[i].Snapshot()))
	require.Equal(t, g.servers[i].Snapshot(), next.Snapshot())
	g.servers[i] = next
	run(t, next.Run)
}

// install lets VM to catch up by a snapshot of VM from, and heals it.
func (g *group) install(t testing.TB, from, to int) {
	t.Helper()

	g.mu.Lock()
	defer g.mu.Unlock()

	require.NoError(t, g.servers[to].Restore(g.servers[from].Snapshot()))
	g.at[to] = g.at[from]
	g.cut[to] = false
}

// count returns how many commands of the log are reports.
func (g *group) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	n := 0

	for _, data := range g.log {
		cmd := &wire.Command{}
		if proto.Unmarshal(data, cmd) == nil && cmd.GetNodeReports() != nil {
			n++
		}
	}

	return n
}

func (g *group) leader() int {
	g.mu.Lock()
	defer g.mu.Unlock()

	for i, cut := range g.cut {
		if !cut {
			return i
		}
	}

	return -1
}

func (g *group) isolate(i int, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.cut[i] = cut
	g.catchUp(i)
}

func (g *group) slowDown(i int, slow bool) {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.slow[i] = slow
	g.catchUp(i)
}

func (g *group) catchUp(i int) []byte {
	var result []byte

	for !g.cut[i] && !g.slow[i] && g.at[i] < len(g.log) {
		command := g.log[g.at[i]]
		g.at[i]++
		result = g.servers[i].Apply(uint64(g.at[i]), command)
	}

	return result
}

func (g *group) propose(i int, command []byte) (index uint64, result []byte, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.cut[i] {
		return 0, nil, &verdict.Error{Verdict: verdict.NotRun, Err: errCut}
	}

	g.log = append(g.log, command)

	for j := range g.servers {
		out := g.catchUp(j)
		if j == i {
			result = out
		}
	}

	if g.lose {
		return 0, nil, errCut
	}

	return uint64(len(g.log)), result, nil
}

func (g *group) read(i int) (asOf time.Time, index uint64, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.cut[i] {
		return time.Time{}, 0, errCut
	}

	return time.Now(), uint64(len(g.log)), nil
}

func (g *group) heard(ctx context.Context, from, to int) (*wire.HeardResponse, error) {
	g.mu.Lock()
	cut := g.cut[from] || g.cut[to]
	g.mu.Unlock()

	if cut {
		return nil, errCut
	}

	return g.server(to).Heard(ctx, &wire.HeardRequest{Cluster: cluster})
}

// decide plans and confirms a declaration at one control VM.
func (g *group) decide(t testing.TB, i int, number uint64, declaration string) *wire.DecisionAnswer {
	t.Helper()

	ctx := context.Background()

	plan, err := g.servers[i].Plan(ctx, &wire.PlanRequest{Operator: "may", Source: "test", Declaration: []byte(declaration), Override: true})
	require.NoError(t, err)

	answer, err := g.servers[i].Confirm(ctx, &wire.ConfirmRequest{Operator: "may", Number: number, PlanID: plan.GetPlan().GetID()})
	require.NoError(t, err)

	return answer.GetAnswer()
}

func (g *group) status(t testing.TB, i int, number uint64) *wire.DecisionStatus {
	t.Helper()

	status, err := g.servers[i].Status(context.Background(), &wire.StatusRequest{Number: number})
	require.NoError(t, err)

	return status.GetDecisions()[0]
}

// made decides at VM i if that is current, and returns how many decisions were made.
func made(g *group, i int, number uint64, declaration string) uint64 {
	ctx := context.Background()

	plan, err := g.servers[i].Plan(ctx, &wire.PlanRequest{Operator: "may", Source: "test", Declaration: []byte(declaration), Override: true})
	if err != nil {
		return 0
	}

	answer, err := g.servers[i].Confirm(ctx, &wire.ConfirmRequest{Operator: "may", Number: number, PlanID: plan.GetPlan().GetID()})
	if err != nil || answer.GetAnswer().GetState() != wire.DecisionState_DecisionMade {
		return 0
	}

	return 1
}
