package role

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/membership"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// rosterEvery is how often the leader looks at the control set, and how often a
	// VM that is not in it asks to join.
	rosterEvery = 400 * time.Millisecond
	// rosterTimeout bounds one change of the set.
	rosterTimeout = 2 * time.Second
	// joinTimeout bounds one question to join.
	joinTimeout = 900 * time.Millisecond
)

// AutoMembership lets the control VMs find and replace each other.
type AutoMembership struct {
	Settings membership.Settings
	// Seeds returns where some other control VMs serve the system's own processes.
	Seeds func() []netip.AddrPort
}

// keepSet joins the control set where this VM is not in it, and tends it while
// this VM leads.
func (r *Control) keepSet(ctx context.Context) {
	if r.AutoMembership == nil {
		return
	}

	core := &membership.Manager{Settings: r.AutoMembership.Settings}
	tick := time.NewTicker(rosterEvery)

	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}

		switch {
		case r.leads():
			r.tendSet(ctx, core)
		case len(r.Founders) == 0 && !r.isMember():
			r.join(ctx)
		default:
			core.Reset()
		}
	}
}

func (r *Control) isMember() bool {
	return slices.ContainsFunc(r.replica.Status().Members, func(m quorum.MemberStatus) bool { return m.Member.ID == r.VM })
}

func (r *Control) tendSet(ctx context.Context, core *membership.Manager) {
	change := core.Decide(time.Now(), r.VM, r.replica.Status().Members)
	if change.Kind == membership.NoChange {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()

	var err error

	what := "promote"

	if change.Kind == membership.Remove {
		what = "remove"
		err = r.replica.Remove(ctx, change.ID)
	} else {
		err = r.replica.Promote(ctx, change.ID)
	}

	r.Logs.Logger("roster").Info("Control set changed.", "change", what, "member", change.ID, "error", err)
}

// join asks the seeds, one after the other, to be taken in as a learner.
func (r *Control) join(ctx context.Context) {
	own, _ := netip.ParseAddrPort(r.Listener.Addr().String())

	for _, seed := range r.AutoMembership.Seeds() {
		if seed == own {
			continue
		}

		try, cancel := context.WithTimeout(ctx, joinTimeout)
		_, err := wire.NewMembersProtobufClient("http://"+seed.String(), r.client).Change(try, &wire.MemberChange{
			Kind: wire.MemberChangeKind_MemberAdd, ID: r.VM, Address: own.String(),
		})

		cancel()

		r.Logs.Logger("roster").Info("Asked to join the control set.", "seed", seed, "error", err)

		if err == nil {
			return
		}
	}
}

// controlAddresses returns where the members serve the system's own processes.
func (r *Control) controlAddresses() []string {
	var out []string
	for _, m := range r.replica.Status().Members {
		out = append(out, m.Member.Addr.String())
	}

	return out
}

// serveOperators serves the deployment's own operators and targets until ctx ends.
func (r *Control) serveOperators(ctx context.Context) error {
	if r.OperatorListener == nil {
		return nil
	}

	web := &http.Server{Handler: r.OperatorHandler(r.server), ReadHeaderTimeout: controlTry}

	go func() {
		<-ctx.Done()

		_ = shutDown(web)
	}()

	return serve(web, r.OperatorListener, "operators")
}
