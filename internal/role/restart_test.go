package role

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/membership"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// controlSet is a set of control VMs whose data folders outlive their processes.
type controlSet struct {
	t       *testing.T
	dirs    []string
	stop    context.CancelFunc
	done    chan error
	control []*Control
}

func newControlSet(t *testing.T, n int) *controlSet {
	t.Helper()

	s := &controlSet{t: t}
	for range n {
		s.dirs = append(s.dirs, t.TempDir())
	}

	return s
}

// start starts all control VMs. Each keeps its name and data folder, but gets a new
// address at each start.
func (s *controlSet) start() {
	s.t.Helper()

	ctx, stop := context.WithCancel(context.Background())
	s.stop, s.done, s.control = stop, make(chan error, len(s.dirs)), nil

	var (
		listeners []net.Listener
		members   []quorum.Member
	)

	for i := range s.dirs {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		require.NoError(s.t, err)

		listeners = append(listeners, l)
		members = append(members, quorum.Member{ID: fmt.Sprint("control-", i+1), Addr: netip.MustParseAddrPort(l.Addr().String())})
	}

	for i, dir := range s.dirs {
		c := &Control{
			VM: members[i].ID, Cluster: "trust", Zone: "ayutthaya", Incarnation: IncarnationAt(time.Now()),
			Listener: listeners[i], Dir: dir, Founders: members, Logs: logs.Output{Writer: s.t.Output()}, Dump: &dump.Dump{},
		}
		c.Build()
		s.control = append(s.control, c)

		go func() { s.done <- c.Run(ctx) }()
	}
}

func (s *controlSet) end() {
	s.t.Helper()
	s.stop()

	for range s.control {
		require.NoError(s.t, <-s.done)
	}
}

// claim repeats a claim until a leader answers.
func (s *controlSet) claim(key, attempt string) *wire.ClaimResponse {
	s.t.Helper()

	var r *wire.ClaimResponse

	require.Eventually(s.t, func() bool {
		var err error

		r, err = s.control[0].Server().Claim(s.t.Context(), &wire.ClaimRequest{
			Workspace: "w", Service: "desk", Key: key, BodyDigest: []byte("d"), Holder: &wire.ClaimHolder{AttemptID: attempt},
		})

		return err == nil
	}, time.Minute, 20*time.Millisecond)

	return r
}

// A control VM restarts on its disk after hundreds of claims. A repeated claim must
// return the recorded answer, an open claim must still name its holder, and an operator
// who repeats a decision with the same number must get the same answer.
func TestStateSurvivesRestart(t *testing.T) {
	t.Parallel()

	const bookings = 300

	s := newControlSet(t, 1)
	s.start()

	for i := range bookings {
		key := fmt.Sprint("cask-", i)
		require.Equal(t, wire.ClaimState_ClaimGranted, s.claim(key, "first").GetState())

		if i%2 == 0 {
			_, err := s.control[0].Server().Settle(t.Context(), &wire.SettleRequest{
				Workspace: "w", Service: "desk", Key: key, AttemptID: "first", Verdict: wire.Verdict_Ran,
				Answer: &wire.Answer{Status: 201, Body: []byte(key)},
			})
			require.NoError(t, err)
		}
	}

	plan := s.plan()
	first := s.confirm(plan)
	require.Equal(t, wire.DecisionState_DecisionMade, first.GetState())
	s.end()
	s.start()

	for i := range bookings {
		key := fmt.Sprint("cask-", i)
		r := s.claim(key, "second")

		if i%2 == 0 {
			require.Equal(t, wire.ClaimState_ClaimRecorded, r.GetState())
			require.Equal(t, key, string(r.GetAnswer().GetBody()))
		} else {
			require.Equal(t, wire.ClaimState_ClaimOpen, r.GetState())
			require.Equal(t, "first", r.GetHolder().GetAttemptID())
		}
	}

	again := s.confirm(plan)
	require.True(t, again.GetRepeated())
	require.Equal(t, first.GetVersion(), again.GetVersion())
	s.end()
}

func (s *controlSet) plan() string {
	s.t.Helper()

	var id string

	require.Eventually(s.t, func() bool {
		r, err := s.control[0].Server().Plan(s.t.Context(), &wire.PlanRequest{
			Operator: "ann", Source: "f.ini", Declaration: []byte("[Zone \"ayutthaya\"]\nRegion = r\n"),
		})
		id = r.GetPlan().GetID()

		return err == nil
	}, time.Minute, 20*time.Millisecond)

	return id
}

func (s *controlSet) confirm(plan string) *wire.DecisionAnswer {
	s.t.Helper()

	r, err := s.control[0].Server().Confirm(s.t.Context(), &wire.ConfirmRequest{Operator: "ann", Number: 1, PlanID: plan})
	require.NoError(s.t, err)

	return r.GetAnswer()
}

// memberVM is a control VM that keeps its address over restarts.
type memberVM struct {
	address  netip.AddrPort
	dir      string
	volatile bool
	role     *Control
}

// startMembers starts control VMs that find each other through seeds, until stop is called.
func startMembers(t *testing.T, vms []*memberVM, seeds []netip.AddrPort, bootstrap bool) (stop func()) {
	t.Helper()

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, len(vms))

	for _, vm := range vms {
		self, err := OpenMember(vm.dir, vm.address, seeds, MemberOptions{Bootstrap: bootstrap, Volatile: vm.volatile})
		require.NoError(t, err)

		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", vm.address.String())
		require.NoError(t, err)

		vm.role = &Control{
			VM: self.ID, Cluster: "trust", Zone: "a", Incarnation: IncarnationAt(time.Now()), Listener: l, Dir: t.TempDir(),
			Founders: self.Founders(), TrustedNetwork: true, Logs: logs.Output{Writer: t.Output()}, Dump: &dump.Dump{},
			AutoMembership: &AutoMembership{Settings: membership.DefaultSettings(1), Seeds: func() []netip.AddrPort { return seeds }},
		}
		if !vm.volatile {
			vm.role.Dir = filepath.Join(vm.dir, "log")
		}

		vm.role.Build()

		go func() { done <- vm.role.Run(ctx) }()
	}

	return func() {
		cancel()

		for range vms {
			require.NoError(t, <-done)
		}
	}
}

// All VMs lose power, and the settings written after it name only VMs without a disk as seeds.
// Guards against these knowing only each other: they could not join, and processes that follow
// them found no VM that knows the configuration.
func TestVMsWithoutDiskFindTheMembersAfterALossOfPower(t *testing.T) {
	t.Parallel()

	vms := make([]*memberVM, 5)
	founders, others := []netip.AddrPort{}, []netip.AddrPort{}

	for i := range vms {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", fmt.Sprintf("127.0.8.%d:0", i+1))
		require.NoError(t, err)

		vms[i] = &memberVM{address: netip.MustParseAddrPort(l.Addr().String()), dir: t.TempDir(), volatile: i >= 3}
		require.NoError(t, l.Close())

		if vms[i].volatile {
			others = append(others, vms[i].address)
		} else {
			founders = append(founders, vms[i].address)
		}
	}

	allJoined := func() bool {
		for _, vm := range vms {
			if !vm.role.isMember() || len(vm.role.controlAddresses()) < len(vms) {
				return false
			}
		}

		return true
	}

	stop := startMembers(t, vms, founders, true)
	require.Eventually(t, allJoined, time.Minute, 20*time.Millisecond)
	stop()

	defer startMembers(t, vms, others, false)()

	require.Eventually(t, allJoined, time.Minute, 20*time.Millisecond)
}
