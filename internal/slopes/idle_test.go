package slopes_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/dump"
	"github.com/parsleygate/parsleygate/internal/entry"
	"github.com/parsleygate/parsleygate/internal/logs"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/role"
	"github.com/parsleygate/parsleygate/internal/testserver"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	idleCluster = "slopes"
	// idleWait is how long an idle deployment is watched.
	idleWait = 10 * time.Second
	// idleSettle is how long it may take until every entry holds its credits.
	idleSettle = 5 * time.Second
)

// fleet is one control VM, agents and entries that run in this process, without callers.
type fleet struct {
	b        *testing.B
	group    errgroup.Group
	polls    counter
	agents   counter
	controls []netip.AddrPort
	out      logs.Output
}

// BenchmarkIdle measures entries and agents that have no requests: polls at the
// control VM, and credits that entries renew at agents. The processor time is
// that of all of them together; from one size to the next it gives the slopes.
func BenchmarkIdle(b *testing.B) {
	sizes := []struct{ entries, agents, workspaces int }{
		{1, 1, 0}, {1, 30, 0}, {10, 30, 0}, {10, 30, 13000},
	}

	for _, s := range sizes {
		b.Run(fmt.Sprintf("entries=%d/agents=%d/workspaces=%d", s.entries, s.agents, s.workspaces), func(b *testing.B) {
			for b.Loop() {
				watch(b, s.entries, s.agents, s.workspaces)
			}
		})
	}
}

func watch(b *testing.B, entries, agents, workspaces int) {
	b.Helper()

	ctx, cancel := context.WithCancel(b.Context())
	f := &fleet{b: b, out: logs.Output{Writer: io.Discard}}

	defer func() {
		cancel()
		require.NoError(b, f.group.Wait())
	}()

	f.control(ctx, workspaces)

	for i := range agents {
		f.agent(ctx, i)
	}

	for i := range entries {
		f.entry(ctx, i)
	}

	time.Sleep(idleSettle)

	polls, credits, used := f.polls.bytes.Load(), f.agents.bytes.Load(), cpu(b)

	time.Sleep(idleWait)

	seconds := idleWait.Seconds()
	b.ReportMetric(float64(f.polls.bytes.Load()-polls)/seconds/float64(entries+agents), "poll-B/s/process")
	b.ReportMetric(float64(f.agents.bytes.Load()-credits)/seconds/float64(entries*agents), "credit-B/s/pair")
	b.ReportMetric((cpu(b)-used).Seconds()/seconds*100, "%core")
	b.ReportMetric(heap(), "heap-B")
}

func (f *fleet) control(ctx context.Context, workspaces int) {
	l := listen(f.b, &f.polls)
	f.controls = []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())}
	c := &role.Control{
		VM: "control-1", Cluster: idleCluster, Zone: "z", Incarnation: 1, Listener: l, Dir: f.b.TempDir(),
		Founders: []quorum.Member{{ID: "control-1", Addr: f.controls[0]}},
		Logs:     f.out, Dump: &dump.Dump{},
	}
	c.Build()
	f.group.Go(func() error { return c.Run(ctx) })
	f.declare(ctx, c.Server(), workspaces)
}

func (f *fleet) declare(ctx context.Context, server *control.Server, workspaces int) {
	var text strings.Builder

	text.WriteString("[Zone \"z\"]\nRegion = r\n[Service \"desk\"]\nResumable = false\n")

	for i := range workspaces {
		fmt.Fprintf(&text, "[Workspace \"workspace-%d\"]\nWeight = 3\n", i)
	}

	var planned *wire.PlanResponse

	require.Eventually(f.b, func() bool {
		var err error

		planned, err = server.Plan(ctx, &wire.PlanRequest{Operator: "slopes", Declaration: []byte(text.String())})
		if err != nil {
			f.b.Log(err)
		}

		return err == nil
	}, 10*time.Second, 500*time.Millisecond)

	r, err := server.Confirm(ctx, &wire.ConfirmRequest{Operator: "slopes", Number: 1, PlanID: planned.GetPlan().GetID()})
	require.NoError(f.b, err)
	require.Equal(f.b, wire.DecisionState_DecisionMade, r.GetAnswer().GetState(), r.GetAnswer().GetDetails())
}

func (f *fleet) agent(ctx context.Context, i int) {
	door := listen(f.b, &f.agents)
	a := &role.Agent{
		ID: fmt.Sprintf("desk-%d", i), Cluster: idleCluster, Zone: "z", Incarnation: 1, Listener: door,
		Controls: role.NewControlClient(f.controls, nil), Logs: f.out, Dump: &dump.Dump{},
	}
	f.group.Go(func() error { return a.Run(ctx) })

	none := uint32(0)
	announcer := &testserver.Announcer{
		Agent: netip.MustParseAddrPort(door.Addr().String()), Interval: time.Second,
		Current: func() testserver.Announcement {
			return testserver.Announcement{
				Address: netip.MustParseAddrPort("127.0.0.1:9"), Service: "desk", BootID: "boot", Capacity: 16, InFlight: &none,
			}
		},
	}
	f.group.Go(func() error {
		announcer.Run(ctx)

		return nil
	})
}

func (f *fleet) entry(ctx context.Context, i int) {
	e := &role.Entry{
		ID: fmt.Sprintf("entry-%d", i), Cluster: idleCluster, Zone: "z", Region: "r", Incarnation: 1,
		Listener: listen(f.b, &counter{}), Controls: role.NewControlClient(f.controls, nil),
		Limits: entry.DefaultLimits(), Logs: f.out, Dump: &dump.Dump{},
	}
	f.group.Go(func() error { return e.Run(ctx) })
}
