package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/role"
	"github.com/parsleygate/parsleygate/internal/testserver"
)

func (inst *Instance) startTarget(ctx context.Context, g, agents *errgroup.Group, zone string, s Service, n int) error {
	agentListener, err := listen(ctx, 0)
	if err != nil {
		return err
	}

	targetListener, err := listen(ctx, 0)
	if err != nil {
		return err
	}

	t := &Target{AgentID: fmt.Sprintf("%s-%s-%d", s.Name, zone, n+1), Zone: zone, Service: s, Address: targetListener.Addr().(*net.TCPAddr).AddrPort()}
	handler := inst.newTargetHandler(ctx, g, t, n)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}

	g.Go(func() error {
		_ = server.Serve(targetListener)

		return nil
	})

	announcer := &testserver.Announcer{
		Agent: agentListener.Addr().(*net.TCPAddr).AddrPort(), Interval: announceInterval,
		Current: t.announcement,
	}
	t.announceRestarts(announcer)

	announceCtx, stop := context.WithCancel(ctx)
	t.Stop = func() {
		stop()

		_ = server.Close()
	}

	g.Go(func() error {
		defer stop()

		announcer.Run(announceCtx)

		return eris.Wrap(server.Close(), "close target server")
	})

	a := &role.Agent{
		ID: t.AgentID, Cluster: inst.Deployment.Cluster, Zone: zone,
		Incarnation: role.IncarnationAt(time.Now()), Listener: agentListener,
		Controls: role.NewControlClient(inst.controlAddresses, nil),
		Bounds:   inst.Bounds, Logs: inst.Logs, Dump: inst.newDump("agent", t.AgentID),
	}
	agents.Go(func() error { return a.Run(ctx) })

	return nil
}

func (inst *Instance) newTargetHandler(ctx context.Context, g *errgroup.Group, t *Target, n int) http.Handler {
	if t.Service.Model {
		t.Engine = &testserver.Engine{
			StepBase: inst.Deployment.StepBase, StepPerSequence: inst.Deployment.StepPerSequence,
			ColdLimit: int(t.Service.ColdLimit), WarmAfter: 4 * int(t.Service.ColdLimit),
		}
		inst.engineTargets = append(inst.engineTargets, t)
		r := chi.NewRouter()
		inst.joinGroup(ctx, g, t, r, n)
		r.Mount("/", t.Engine.Handler())

		return r
	}

	t.Bookings = &testserver.BookingService{}
	inst.bookingTargets = append(inst.bookingTargets, t)

	return t.Bookings.Handler()
}

// announceRestarts makes an engine announce a restart immediately. The engine accepts
// requests again when its agent has accepted the announcement.
func (t *Target) announceRestarts(a *testserver.Announcer) {
	if t.Engine == nil {
		return
	}

	trigger := make(chan struct{}, 1)
	a.Trigger = trigger
	a.OnAccepted = t.Engine.ConfirmAnnounced
	t.Engine.OnRestart = func() {
		select {
		case trigger <- struct{}{}:
		default:
		}
	}
}

func (t *Target) announcement() testserver.Announcement {
	if t.Engine == nil {
		return t.Bookings.Announcement(t.Address, t.Service.Name, int(t.Service.WarmLimit))
	}

	a := t.Engine.Announcement(t.Address, t.Service.Name, int(t.Service.WarmLimit))
	a.Group, a.Rank = t.Group, t.Rank

	return a
}
