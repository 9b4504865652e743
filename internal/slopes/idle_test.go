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
	// idleMeasureTime is how long an idle deployment is measured.
	idleMeasureTime = 10 * time.Second
	// idleSettleTime is the time for every entry to obtain its credits.
	idleSettleTime = 5 * time.Second
)

// idleDeployment is a deployment of one control VM, agents and entries in this process,
// without callers.
type idleDeployment struct {
	b                *testing.B
	group            errgroup.Group
	pollTraffic      byteCounter
	agentTraffic     byteCounter
	controlAddresses []netip.AddrPort
	out              logs.Output
}

// BenchmarkIdle measures entries and agents without requests: their polls to the control
// VM, and the credits that entries renew at agents. The processor time is that of all
// processes together. Its growth from size to size gives the cost per process.
func BenchmarkIdle(b *testing.B) {
	sizes := []struct{ entries, agents, workspaces int }{
		{1, 1, 0}, {1, 30, 0}, {10, 30, 0}, {10, 30, 13000},
	}

	for _, s := range sizes {
		b.Run(fmt.Sprintf("entries=%d/agents=%d/workspaces=%d", s.entries, s.agents, s.workspaces), func(b *testing.B) {
			for b.Loop() {
				measureIdle(b, s.entries, s.agents, s.workspaces)
			}
		})
	}
}

func measureIdle(b *testing.B, entries, agents, workspaces int) {
	b.Helper()

	ctx, cancel := context.WithCancel(b.Context())
	d := &idleDeployment{b: b, out: logs.Output{Writer: io.Discard}}

	defer func() {
		cancel()
		require.NoError(b, d.group.Wait())
	}()

	d.startControl(ctx, workspaces)

	for i := range agents {
		d.startAgent(ctx, i)
	}

	for i := range entries {
		d.startEntry(ctx, i)
	}

	time.Sleep(idleSettleTime)

	pollBytes, creditBytes, cpuBefore := d.pollTraffic.bytes.Load(), d.agentTraffic.bytes.Load(), cpuTime(b)

	time.Sleep(idleMeasureTime)

	seconds := idleMeasureTime.Seconds()
	b.ReportMetric(float64(d.pollTraffic.bytes.Load()-pollBytes)/seconds/float64(entries+agents), "poll-B/s/process")
	b.ReportMetric(float64(d.agentTraffic.bytes.Load()-creditBytes)/seconds/float64(entries*agents), "credit-B/s/pair")
	b.ReportMetric((cpuTime(b)-cpuBefore).Seconds()/seconds*100, "%core")
	b.ReportMetric(heapAlloc(), "heap-B")
}

func (d *idleDeployment) startControl(ctx context.Context, workspaces int) {
	l := listen(d.b, &d.pollTraffic)
	d.controlAddresses = []netip.AddrPort{netip.MustParseAddrPort(l.Addr().String())}
	c := &role.Control{
		VM: "control-1", Cluster: idleCluster, Zone: "z", Incarnation: 1, Listener: l, Dir: d.b.TempDir(),
		Founders: []quorum.Member{{ID: "control-1", Addr: d.controlAddresses[0]}},
		Logs:     d.out, Dump: &dump.Dump{},
	}
	c.Build()
	d.group.Go(func() error { return c.Run(ctx) })
	d.commitConfiguration(ctx, c.Server(), workspaces)
}

func (d *idleDeployment) commitConfiguration(ctx context.Context, server *control.Server, workspaces int) {
	var text strings.Builder

	text.WriteString("[Zone \"z\"]\nRegion = r\n[Service \"desk\"]\nResumable = false\n")

	for i := range workspaces {
		fmt.Fprintf(&text, "[Workspace \"workspace-%d\"]\nWeight = 3\n", i)
	}

	var planned *wire.PlanResponse

	require.Eventually(d.b, func() bool {
		var err error

		planned, err = server.Plan(ctx, &wire.PlanRequest{Operator: "slopes", Declaration: []byte(text.String())})
		if err != nil {
			d.b.Log(err)
		}

		return err == nil
	}, 10*time.Second, 500*time.Millisecond)

	r, err := server.Confirm(ctx, &wire.ConfirmRequest{Operator: "slopes", Number: 1, PlanID: planned.GetPlan().GetID()})
	require.NoError(d.b, err)
	require.Equal(d.b, wire.DecisionState_DecisionMade, r.GetAnswer().GetState(), r.GetAnswer().GetDetails())
}

func (d *idleDeployment) startAgent(ctx context.Context, i int) {
	listener := listen(d.b, &d.agentTraffic)
	a := &role.Agent{
		ID: fmt.Sprintf("desk-%d", i), Cluster: idleCluster, Zone: "z", Incarnation: 1, Listener: listener,
		Controls: role.NewControlClient(d.controlAddresses, nil), Logs: d.out, Dump: &dump.Dump{},
	}
	d.group.Go(func() error { return a.Run(ctx) })

	none := uint32(0)
	announcer := &testserver.Announcer{
		Agent: netip.MustParseAddrPort(listener.Addr().String()), Interval: time.Second,
		Current: func() testserver.Announcement {
			return testserver.Announcement{
				Address: netip.MustParseAddrPort("127.0.0.1:9"), Service: "desk", BootID: "boot", Capacity: 16, InFlight: &none,
			}
		},
	}
	d.group.Go(func() error {
		announcer.Run(ctx)

		return nil
	})
}

func (d *idleDeployment) startEntry(ctx context.Context, i int) {
	e := &role.Entry{
		ID: fmt.Sprintf("entry-%d", i), Cluster: idleCluster, Zone: "z", Region: "r", Incarnation: 1,
		Listener: listen(d.b, &byteCounter{}), Controls: role.NewControlClient(d.controlAddresses, nil),
		Limits: entry.DefaultLimits(), Logs: d.out, Dump: &dump.Dump{},
	}
	d.group.Go(func() error { return e.Run(ctx) })
}
