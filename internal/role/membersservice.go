package role

import (
	"context"
	"net/netip"

	"github.com/twitchtv/twirp"

	"github.com/parsleygate/parsleygate/internal/quorum"
	"github.com/parsleygate/parsleygate/internal/wire"
	"github.com/parsleygate/parsleygate/pkg/verdict"
)

// membersService serves operators' requests about the set of control VMs.
type membersService struct {
	role *Control
}

// List implements wire.Members. Only the leader knows the other members' progress, so
// other members refuse if there is a leader.
func (s *membersService) List(context.Context, *wire.MembersRequest) (*wire.MembersResponse, error) {
	st := s.role.replica.Status()
	if st.Leader != "" && st.Leader != s.role.VM {
		return nil, twirp.NewErrorf(twirp.Unavailable, "%s leads, at %s", st.Leader, st.LeaderAddr)
	}

	out := &wire.MembersResponse{Term: st.Term, Leader: st.Leader, Answered: s.role.VM}

	if !st.SafeToStop {
		out.StopUnsafe = st.Reason
	}

	for _, m := range st.Members {
		out.Members = append(out.Members, &wire.ControlMember{
			ID: m.Member.ID, Address: m.Member.Addr.String(), Voter: m.Member.Role == quorum.Voter,
			Lag: m.Lag, Active: m.Active, Leader: m.Member.ID == st.Leader,
		})
	}

	return out, nil
}

// Change implements wire.Members.
func (s *membersService) Change(ctx context.Context, c *wire.MemberChange) (*wire.MemberChanged, error) {
	if c.GetKind() == wire.MemberChangeKind_MemberLeave {
		return s.leave(ctx, c.GetID())
	}

	if err := s.change(ctx, c); err != nil {
		return nil, memberChangeError(err)
	}

	s.role.Logs.Logger("control").Info("Control set changed by an operator.", "change", c.GetKind().String(), "id", c.GetID())

	return &wire.MemberChanged{}, nil
}

// leave serves the announcement of a control VM that stops.
func (s *membersService) leave(ctx context.Context, id string) (*wire.MemberChanged, error) {
	if s.role.AutoMembership == nil {
		return &wire.MemberChanged{}, nil
	}

	replaced, err := s.role.awaitReplacement(ctx, id)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}

	return &wire.MemberChanged{Replaced: replaced}, nil
}

func (s *membersService) change(ctx context.Context, c *wire.MemberChange) error {
	switch c.GetKind() {
	case wire.MemberChangeKind_MemberAdd:
		a, err := netip.ParseAddrPort(c.GetAddress())
		if err != nil {
			return twirp.InvalidArgumentError("Address", "is no IP:port")
		}

		return s.role.replica.AddLearner(ctx, quorum.Member{ID: c.GetID(), Addr: a})
	case wire.MemberChangeKind_MemberPromote:
		return s.role.replica.Promote(ctx, c.GetID())
	case wire.MemberChangeKind_MemberRemove:
		return s.role.replica.Remove(ctx, c.GetID())
	case wire.MemberChangeKind_MemberLead:
		return s.role.replica.TransferLeadership(ctx, c.GetID())
	default:
		return twirp.InvalidArgumentError("Kind", "is no change")
	}
}

// memberChangeError returns the RPC error for a failed change. It states whether the
// change may still take effect.
func memberChangeError(err error) error {
	if verdict.Of(err) == verdict.NotRun {
		return twirp.NewError(twirp.FailedPrecondition, "nothing was changed: "+err.Error())
	}

	return twirp.NewError(twirp.Unavailable, "whether it was changed is unknown, look with member list: "+err.Error())
}
