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

var errIsolated = errors.New("no quorum")

// controlVMs is several control VMs on one in-memory log. An isolated VM gets no commands,
// and its proposals and reads fail. When the isolation ends, it catches up.
type controlVMs struct {
	servers []*control.Server

	mu       sync.Mutex
	log      [][]byte
	applied  []int
	isolated []bool
	// applyPaused VMs apply no commands, although they are not isolated.
	applyPaused []bool
	// loseAnswers makes proposals commit but return an error.
	loseAnswers bool
}

func newControlVMs(t testing.TB, n int) *controlVMs {
	t.Helper()

	vms := &controlVMs{applied: make([]int, n), isolated: make([]bool, n), applyPaused: make([]bool, n)}

	for i := range n {
		vms.servers = append(vms.servers, vms.build(i, n))
	}

	for _, s := range vms.servers {
		runUntilCleanup(t, s.Run)
	}

	// Wait for the first reads, which confirm that the VMs are current.
	time.Sleep(20 * time.Millisecond)

	return vms
}

func (v *controlVMs) build(i, n int) *control.Server {
	s := &control.Server{
		Cluster: cluster, VM: fmt.Sprintf("control-%d", i+1),
		Propose:   func(_ context.Context, command []byte) (uint64, []byte, error) { return v.propose(i, command) },
		ReadIndex: func(context.Context) (time.Time, uint64, error) { return v.readIndex(i) },
		IsLeader:  func() bool { return v.leader() == i },
	}

	for j := range n {
		if j != i {
			s.Peers = append(s.Peers, control.Peer{
				Name:        fmt.Sprintf("control-%d", j+1),
				RecentPolls: func(ctx context.Context) (*wire.HeardResponse, error) { return v.recentPolls(ctx, i, j) },
			})
		}
	}

	s.Init()

	return s
}

func (v *controlVMs) server(i int) *control.Server {
	v.mu.Lock()
	defer v.mu.Unlock()

	return v.servers[i]
}

// restart replaces a VM with one that starts from the snapshot of the old one.
func (v *controlVMs) restart(t testing.TB, i int) {
	t.Helper()

	v.mu.Lock()
	defer v.mu.Unlock()

	next := v.build(i, len(v.servers))
	require.NoError(t, next.Restore(v.servers[i].Snapshot()))
	require.Equal(t, v.servers[i].Snapshot(), next.Snapshot())
	v.servers[i] = next
	runUntilCleanup(t, next.Run)
}

// installSnapshot installs a snapshot of VM from on VM to and ends the isolation of to.
func (v *controlVMs) installSnapshot(t testing.TB, from, to int) {
	t.Helper()

	v.mu.Lock()
	defer v.mu.Unlock()

	require.NoError(t, v.servers[to].Restore(v.servers[from].Snapshot()))
	v.applied[to] = v.applied[from]
	v.isolated[to] = false
}

// countNodeReports returns how many commands of the log are node reports.
func (v *controlVMs) countNodeReports() int {
	v.mu.Lock()
	defer v.mu.Unlock()

	n := 0

	for _, data := range v.log {
		cmd := &wire.Command{}
		if proto.Unmarshal(data, cmd) == nil && cmd.GetNodeReports() != nil {
			n++
		}
	}

	return n
}

func (v *controlVMs) leader() int {
	v.mu.Lock()
	defer v.mu.Unlock()

	for i, isolated := range v.isolated {
		if !isolated {
			return i
		}
	}

	return -1
}

func (v *controlVMs) isolate(i int, isolated bool) {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.isolated[i] = isolated
	v.catchUp(i)
}

func (v *controlVMs) pauseApply(i int, paused bool) {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.applyPaused[i] = paused
	v.catchUp(i)
}

func (v *controlVMs) catchUp(i int) []byte {
	var result []byte

	for !v.isolated[i] && !v.applyPaused[i] && v.applied[i] < len(v.log) {
		command := v.log[v.applied[i]]
		v.applied[i]++
		result = v.servers[i].Apply(uint64(v.applied[i]), command)
	}

	return result
}

// commands returns the number of commands in the log.
func (v *controlVMs) commands() int {
	v.mu.Lock()
	defer v.mu.Unlock()

	return len(v.log)
}

func (v *controlVMs) propose(i int, command []byte) (index uint64, result []byte, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if v.isolated[i] {
		return 0, nil, &verdict.Error{Verdict: verdict.NotRun, Err: errIsolated}
	}

	v.log = append(v.log, command)

	for j := range v.servers {
		out := v.catchUp(j)
		if j == i {
			result = out
		}
	}

	if v.loseAnswers {
		return 0, nil, errIsolated
	}

	return uint64(len(v.log)), result, nil
}

func (v *controlVMs) readIndex(i int) (asOf time.Time, index uint64, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()

	if v.isolated[i] {
		return time.Time{}, 0, errIsolated
	}

	return time.Now(), uint64(len(v.log)), nil
}

func (v *controlVMs) recentPolls(ctx context.Context, from, to int) (*wire.HeardResponse, error) {
	v.mu.Lock()
	isolated := v.isolated[from] || v.isolated[to]
	v.mu.Unlock()

	if isolated {
		return nil, errIsolated
	}

	return v.server(to).Heard(ctx, &wire.HeardRequest{Cluster: cluster})
}

// decide plans and confirms a declaration at VM i.
func (v *controlVMs) decide(t testing.TB, i int, number uint64, declaration string) *wire.DecisionAnswer {
	t.Helper()

	ctx := context.Background()

	plan, err := v.servers[i].Plan(ctx, &wire.PlanRequest{Operator: "may", Source: "test", Declaration: []byte(declaration), Override: true})
	require.NoError(t, err)

	answer, err := v.servers[i].Confirm(ctx, &wire.ConfirmRequest{Operator: "may", Number: number, PlanID: plan.GetPlan().GetID()})
	require.NoError(t, err)

	return answer.GetAnswer()
}

func (v *controlVMs) status(t testing.TB, i int, number uint64) *wire.DecisionStatus {
	t.Helper()

	status, err := v.servers[i].Status(context.Background(), &wire.StatusRequest{Number: number})
	require.NoError(t, err)

	return status.GetDecisions()[0]
}

// tryDecideAt makes a decision at VM i if that VM is current. It returns the number of
// decisions made, 0 or 1.
func tryDecideAt(vms *controlVMs, i int, number uint64, declaration string) uint64 {
	ctx := context.Background()

	plan, err := vms.servers[i].Plan(ctx, &wire.PlanRequest{Operator: "may", Source: "test", Declaration: []byte(declaration), Override: true})
	if err != nil {
		return 0
	}

	answer, err := vms.servers[i].Confirm(ctx, &wire.ConfirmRequest{Operator: "may", Number: number, PlanID: plan.GetPlan().GetID()})
	if err != nil || answer.GetAnswer().GetState() != wire.DecisionState_DecisionMade {
		return 0
	}

	return 1
}
