package local

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/entry"
	"github.com/parsleygate/parsleygate/internal/role"
)

func (inst *Instance) startEntry(ctx context.Context, g *errgroup.Group, zone string, n int) error {
	port := uint16(0)
	if inst.EntryPort != 0 {
		port = inst.EntryPort + uint16(n)
	}

	listener, err := listen(ctx, port)
	if err != nil {
		return err
	}

	id := "entry-" + zone
	inst.entryAddresses = append(inst.entryAddresses, listener.Addr().(*net.TCPAddr).AddrPort())
	e := &role.Entry{
		ID: id, Cluster: inst.Deployment.Cluster, Zone: zone, Region: inst.Deployment.Region,
		Incarnation: role.IncarnationAt(time.Now()), Listener: listener,
		Controls: role.NewControlClient(inst.controlAddresses, nil), Limits: entry.DefaultLimits(),
		MaxCallerConnections: inst.Bounds.MaxConnections, Bounds: inst.Bounds, Logs: inst.Logs, Dump: inst.newDump("entry", id),
	}
	g.Go(func() error { return e.Run(ctx) })

	return nil
}

// awaitTargets waits until every entry answers a request to the booking service.
func (inst *Instance) awaitTargets(ctx context.Context) error {
	for _, base := range inst.Entries() {
		if err := awaitService(ctx, base+"/"+inst.Deployment.serviceName(false)+"/v1/runs"); err != nil {
			return err
		}
	}

	inst.logger.Info("Deployment is up.", "entries", len(inst.entryAddresses), "targets", len(inst.engineTargets)+len(inst.bookingTargets))

	return nil
}

func awaitService(ctx context.Context, url string) error {
	for {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return eris.Wrap(err, "probe entry")
		}

		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = resp.Body.Close()

			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}

		select {
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "wait until the deployment answers requests")
		case <-time.After(50 * time.Millisecond):
		}
	}
}
