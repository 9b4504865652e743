package role

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/parsleygate/parsleygate/internal/membership"
	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	// membershipInterval is the interval at which the leader checks the control set,
	// and at which a VM that is not a member asks to join.
	membershipInterval = 200 * time.Millisecond
	// membershipChangeTimeout bounds one change of the set.
	membershipChangeTimeout = 2 * time.Second
	// joinTimeout bounds one request to join.
	joinTimeout = 900 * time.Millisecond
	// replaceInterval is the interval at which the leader checks the control set while a VM is leaving.
	replaceInterval = 50 * time.Millisecond
)

// AutoMembership holds the settings by which control VMs join and replace each other
// automatically.
type AutoMembership struct {
	Settings membership.Settings
	// Seeds returns the internal addresses of some control VMs.
	Seeds func() []netip.AddrPort
}

// manageMembership asks to join the control set while this VM is not a member, and
// changes the membership while this VM leads. It fails if this VM lost its disk, and has to join
// as a new member.
func (r *Control) manageMembership(ctx context.Context) error {
	if r.AutoMembership == nil {
		return nil
	}

	manager := &membership.Manager{Settings: r.AutoMembership.Settings, LeavingSince: r.leaving.since}
	tick := time.NewTicker(membershipInterval)

	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-r.membersCheck:
		}

		switch {
		case r.hasLostDisk():
			return &quorum.LostDiskError{ID: r.VM}
		case r.isLeader():
			r.changeMembership(ctx, manager)
		case len(r.Founders) == 0 && !r.isMember():
			r.join(ctx)
		default:
			manager.Reset()
		}
	}
}

// hasLostDisk reports whether this VM waits as a founder although a group exists: the group told it, or sends
// messages to an earlier member at its address.
func (r *Control) hasLostDisk() bool {
	s := r.replica.Status()

	return s.DiskLost || s.Founding && len(r.replica.FormerPeers()) > 0
}

func (r *Control) isMember() bool {
	return slices.ContainsFunc(r.replica.Status().Members, func(m quorum.MemberStatus) bool { return m.Member.ID == r.VM })
}

func (r *Control) changeMembership(ctx context.Context, manager *membership.Manager) {
	members := r.replica.Status().Members

	change := manager.Decide(time.Now(), r.VM, members)
	if change.Kind == membership.NoChange {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()

	var err error

	name := "promote"

	if change.Kind == membership.Remove {
		name = "remove"
		err = r.replica.Remove(ctx, change.ID)
	} else {
		err = r.replica.Promote(ctx, change.ID)
	}

	r.Logs.Logger("roster").Info("Requested a change of the control set.", "change", name, "member", change.ID, "error", err)

	if err != nil {
		return
	}

	if change.Kind == membership.Remove && isSilentVoter(members, change.ID) {
		r.leaving.recordSilentRemoval(time.Now())
	}

	// A promotion may be the first half of a replacement.
	r.checkMembersNow()
}

func isSilentVoter(members []quorum.MemberStatus, id string) bool {
	return slices.ContainsFunc(members, func(m quorum.MemberStatus) bool {
		return m.Member.ID == id && m.Member.Role == quorum.Voter && !m.Active
	})
}

// checkMembersNow makes the leader check the control set without waiting for its next tick.
func (r *Control) checkMembersNow() {
	select {
	case r.membersCheck <- struct{}{}:
	default:
	}
}

// join asks members, one after the other, to add this VM as a learner: those that still send
// messages to its predecessor, then the seeds. After a loss of power the seeds may all be VMs
// without a disk, which know no member either.
func (r *Control) join(ctx context.Context) {
	self, _ := netip.ParseAddrPort(r.Listener.Addr().String())

	for _, seed := range append(slices.Clone(r.replica.FormerPeers()), r.AutoMembership.Seeds()...) {
		if seed == self {
			continue
		}

		attemptCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		_, err := wire.NewMembersProtobufClient("http://"+seed.String(), r.client).Change(attemptCtx, &wire.MemberChange{
			Kind: wire.MemberChangeKind_MemberAdd, ID: r.VM, Address: self.String(),
		})

		cancel()

		r.Logs.Logger("roster").Info("Requested to join the control set.", "seed", seed, "error", err)

		if err == nil {
			return
		}
	}
}

// controlAddresses returns the internal addresses of the members. Before this VM has joined, it
// returns those that it has heard of.
func (r *Control) controlAddresses() []string {
	var out []string
	for _, m := range r.replica.Status().Members {
		out = append(out, m.Member.Addr.String())
	}

	if len(out) == 0 {
		for _, a := range r.replica.FormerPeers() {
			out = append(out, a.String())
		}
	}

	return out
}

// serveOperators serves operators and targets on OperatorListener until ctx ends.
func (r *Control) serveOperators(ctx context.Context) error {
	if r.OperatorListener == nil {
		return nil
	}

	listener := r.Bounds.Listen("Operators", r.OperatorListener)
	server := listener.Server(r.OperatorHandler(r.server))

	go func() {
		<-ctx.Done()

		_ = shutdownServer(server)
	}()

	return serve(server, listener, "operators")
}
