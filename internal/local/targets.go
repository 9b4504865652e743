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

func (l *Instance) startTarget(ctx context.Context, g, agents *errgroup.Group, zone string, s Service, n int) error {
	door, err := listen(ctx, 0)
	if err != nil {
		return err
	}

	back, err := listen(ctx, 0)
	if err != nil {
		return err
	}

	t := &Target{AgentID: fmt.Sprintf("%s-%s-%d", s.Name, zone, n+1), Zone: zone, Service: s, Address: back.Addr().(*net.TCPAddr).AddrPort()}
	handler := l.newStandin(ctx, g, t, n)
	web := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}

	g.Go(func() error {
		_ = web.Serve(back)

		return nil
	})

	announcer := &testserver.Announcer{
		Agent: door.Addr().(*net.TCPAddr).AddrPort(), Interval: announceEvery,
		Current: t.announcement,
	}
	t.connect(announcer)

	announcing, stop := context.WithCancel(ctx)
	t.Stop = func() {
		stop()

		_ = web.Close()
	}

	g.Go(func() error {
		defer stop()

		announcer.Run(announcing)

		return eris.Wrap(web.Close(), "close stand-in")
	})

	a := &role.Agent{
		ID: t.AgentID, Cluster: l.Deployment.Cluster, Zone: zone,
		Incarnation: role.IncarnationAt(time.Now()), Listener: door,
		Controls: role.NewControlClient(l.operators, nil),
		Logs:     l.Logs, Dump: l.newDump("agent", t.AgentID),
	}
	agents.Go(func() error { return a.Run(ctx) })

	return nil
}

func (l *Instance) newStandin(ctx context.Context, g *errgroup.Group, t *Target, n int) http.Handler {
	if t.Service.Model {
		t.Engine = &testserver.Engine{
			StepBase: l.Deployment.StepBase, StepPerSequence: l.Deployment.StepPerSequence,
			ColdLimit: int(t.Service.ColdLimit), WarmAfter: 4 * int(t.Service.ColdLimit),
		}
		l.engines = append(l.engines, t)
		r := chi.NewRouter()
		l.joinGroup(ctx, g, t, r, n)
		r.Mount("/", t.Engine.Handler())

		return r
	}

	t.Bookings = &testserver.BookingService{}
	l.desks = append(l.desks, t)

	return t.Bookings.Handler()
}

// connect lets an engine announce a restart at once, and take work only then.
func (t *Target) connect(a *testserver.Announcer) {
	if t.Engine == nil {
		return
	}

	again := make(chan struct{}, 1)
	a.Trigger = again
	a.OnAccepted = t.Engine.ConfirmAnnounced
	t.Engine.OnRestart = func() {
		select {
		case again <- struct{}{}:
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
