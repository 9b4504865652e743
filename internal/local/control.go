package local

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/control"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/role"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// controlPortStep is the distance between the ports of two control VMs. The ports
// of the entries lie in between.
const controlPortStep = 10

// startControls starts a control VM in each availability zone and commits the
// declaration of the deployment.
func (inst *Instance) startControls(ctx context.Context, g *errgroup.Group) error {
	var (
		listeners []net.Listener
		members   []quorum.Member
	)

	for i := range inst.Deployment.Zones {
		port := uint16(0)
		if inst.OperatorPort != 0 {
			port = inst.OperatorPort + uint16(i)*controlPortStep
		}

		listener, err := listen(ctx, port)
		if err != nil {
			return err
		}

		address := listener.Addr().(*net.TCPAddr).AddrPort()
		listeners = append(listeners, listener)
		members = append(members, quorum.Member{ID: fmt.Sprintf("control-%d", i+1), Addr: address})
		inst.controlAddresses = append(inst.controlAddresses, address)
	}

	for i, m := range members {
		c := &role.Control{
			VM: m.ID, Cluster: inst.Deployment.Cluster, Zone: inst.Deployment.Zones[i],
			Incarnation: role.IncarnationAt(time.Now()), Listener: listeners[i],
			Dir: filepath.Join(inst.Dir, m.ID), Founders: members,
			Peers: slices.Delete(slices.Clone(members), i, i+1), Logs: inst.Logs, Bounds: inst.Bounds, ExpertSettings: expertSettings(),
			Dump: inst.newDump("control", m.ID),
		}
		c.Build()
		inst.controls = append(inst.controls, c)
		g.Go(func() error { return c.Run(ctx) })
	}

	return inst.commitDeclaration(ctx)
}

// commitDeclaration plans and confirms the initial configuration of the deployment,
// as an operator would.
func (inst *Instance) commitDeclaration(ctx context.Context) error {
	server := inst.controls[0].Server()

	planned, err := inst.plan(ctx, server)
	if err != nil {
		return eris.Wrap(err, "plan the deployment")
	}

	r, err := server.Confirm(ctx, &wire.ConfirmRequest{Operator: "local", Number: 1, PlanID: planned.GetPlan().GetID()})
	if err != nil {
		return eris.Wrap(err, "confirm the deployment")
	}

	if a := r.GetAnswer(); a.GetState() != wire.DecisionState_DecisionMade {
		return eris.Errorf("declaration of the deployment was not committed: %s %v", a.GetState(), a.GetDetails())
	}

	return nil
}

// Plan requests fail until the control VMs have elected a leader. They are sent at
// most maxPlanAttempts times, planRetryInterval apart.
const (
	maxPlanAttempts   = 200
	planRetryInterval = 50 * time.Millisecond
)

func (inst *Instance) plan(ctx context.Context, server *control.Server) (*wire.PlanResponse, error) {
	request := &wire.PlanRequest{Operator: "local", Source: "local", Declaration: []byte(inst.Deployment.Declaration())}

	for attempt := 1; ; attempt++ {
		r, err := server.Plan(ctx, request)
		if err == nil || attempt == maxPlanAttempts || ctx.Err() != nil {
			return r, err
		}

		time.Sleep(planRetryInterval)
	}
}
