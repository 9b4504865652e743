package role

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// vms is a set of control VMs with data folders that outlive their processes.
type vms struct {
	t       *testing.T
	dirs    []string
	stop    context.CancelFunc
	ended   chan error
	control []*Control
}

func newVMs(t *testing.T, n int) *vms {
	t.Helper()

	v := &vms{t: t}
	for range n {
		v.dirs = append(v.dirs, t.TempDir())
	}

	return v
}

// start starts all control VMs. Their addresses are new at each start, but for
// the log each keeps its name and its folder.
func (v *vms) start() {
	v.t.Helper()

	ctx, stop := context.WithCancel(context.Background())
	v.stop, v.ended, v.control = stop, make(chan error, len(v.dirs)), nil

	var (
		listeners []net.Listener
		members   []quorum.Member
	)

	for i := range v.dirs {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		require.NoError(v.t, err)

		listeners = append(listeners, l)
		members = append(members, quorum.Member{ID: fmt.Sprint("control-", i+1), Addr: netip.MustParseAddrPort(l.Addr().String())})
	}

	for i, dir := range v.dirs {
		c := &Control{
			VM: members[i].ID, Cluster: "trust", Zone: "ayutthaya", Incarnation: IncarnationAt(time.Now()),
			Listener: listeners[i], Dir: dir, Founders: members, Logs: logs.Output{Writer: v.t.Output()}, Dump: &dump.Dump{},
		}
		c.Build()
		v.control = append(v.control, c)

		go func() { v.ended <- c.Run(ctx) }()
	}
}

func (v *vms) end() {
	v.t.Helper()
	v.stop()

	for range v.control {
		require.NoError(v.t, <-v.ended)
	}
}

// claim asks until a leader answers.
func (v *vms) claim(key, attempt string) *wire.ClaimResponse {
	v.t.Helper()

	var r *wire.ClaimResponse

	require.Eventually(v.t, func() bool {
		var err error

		r, err = v.control[0].Server().Claim(v.t.Context(), &wire.ClaimRequest{
			Workspace: "w", Service: "desk", Key: key, BodyDigest: []byte("d"), Holder: &wire.ClaimHolder{AttemptID: attempt},
		})

		return err == nil
	}, time.Minute, 20*time.Millisecond)

	return r
}

// A cooper books a kiln slot, and hundreds of bookings later the control VM is
// stopped and started on its disk. The resend must get the first answer, a claim
// that was open must still name who holds it, and the operator who resends a
// decision under its number must get its first answer.
func TestStateOutlivesRestarts(t *testing.T) {
	t.Parallel()

	const bookings = 300

	v := newVMs(t, 1)
	v.start()

	for i := range bookings {
		key := fmt.Sprint("cask-", i)
		require.Equal(t, wire.ClaimState_ClaimGranted, v.claim(key, "first").GetState())

		if i%2 == 0 {
			_, err := v.control[0].Server().Settle(t.Context(), &wire.SettleRequest{
				Workspace: "w", Service: "desk", Key: key, AttemptID: "first", Verdict: wire.Verdict_Ran,
				Answer: &wire.Answer{Status: 201, Body: []byte(key)},
			})
			require.NoError(t, err)
		}
	}

	plan := v.plan()
	first := v.confirm(plan)
	require.Equal(t, wire.DecisionState_DecisionMade, first.GetState())
	v.end()
	v.start()

	for i := range bookings {
		key := fmt.Sprint("cask-", i)
		r := v.claim(key, "second")

		if i%2 == 0 {
			require.Equal(t, wire.ClaimState_ClaimRecorded, r.GetState())
			require.Equal(t, key, string(r.GetAnswer().GetBody()))
		} else {
			require.Equal(t, wire.ClaimState_ClaimOpen, r.GetState())
			require.Equal(t, "first", r.GetHolder().GetAttemptID())
		}
	}

	again := v.confirm(plan)
	require.True(t, again.GetRepeated())
	require.Equal(t, first.GetVersion(), again.GetVersion())
	v.end()
}

func (v *vms) plan() string {
	v.t.Helper()

	var id string

	require.Eventually(v.t, func() bool {
		r, err := v.control[0].Server().Plan(v.t.Context(), &wire.PlanRequest{
			Operator: "ann", Source: "f.ini", Declaration: []byte("[Zone \"ayutthaya\"]\nRegion = r\n"),
		})
		id = r.GetPlan().GetID()

		return err == nil
	}, time.Minute, 20*time.Millisecond)

	return id
}

func (v *vms) confirm(plan string) *wire.DecisionAnswer {
	v.t.Helper()

	r, err := v.control[0].Server().Confirm(v.t.Context(), &wire.ConfirmRequest{Operator: "ann", Number: 1, PlanID: plan})
	require.NoError(v.t, err)

	return r.GetAnswer()
}
