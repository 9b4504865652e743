package cmds

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// newMember returns the commands that list and change the members of the control set.
func newMember() *cobra.Command {
	c := &cobra.Command{
		Use:   "member",
		Short: "List and change the control VMs",
		Long: "List and change the control VMs.\n\n" +
			"To replace a lost control VM, start another one with [Control] Join = true and a new ID, add it, promote it once " +
			"it has caught up, and remove the lost one. Change one control VM at a time; list shows whether another may be stopped.",
	}
	c.AddCommand(
		newMemberList(),
		newMemberChange("add ID ADDRESS", "Add a control VM as a learner (a member without a vote)", wire.MemberChangeKind_MemberAdd),
		newMemberChange("promote ID", "Promote a learner that has caught up to a voter", wire.MemberChangeKind_MemberPromote),
		newMemberChange("remove ID", "Remove a control VM permanently", wire.MemberChangeKind_MemberRemove),
		newMemberChange("lead ID", "Transfer leadership to a control VM", wire.MemberChangeKind_MemberLead),
	)

	return c
}

func newMemberList() *cobra.Command {
	var flags operatorFlags

	c := &cobra.Command{
		Use:   "list",
		Short: "List the control VMs, and show whether one may be stopped",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := callMembers(c.Context(), &flags, func(ctx context.Context, m wire.Members) (*wire.MembersResponse, error) {
				return m.List(ctx, &wire.MembersRequest{})
			})
			if err != nil {
				return err
			}

			printMembers(c, r)

			return nil
		},
	}
	flags.add(c)

	return c
}

func printMembers(c *cobra.Command, r *wire.MembersResponse) {
	c.Printf("answered by %s; term %d, leader %s\n", r.GetAnswered(), r.GetTerm(), r.GetLeader())

	for _, m := range r.GetMembers() {
		kind := "learner"
		if m.GetVoter() {
			kind = "voter"
		}

		c.Printf("  %-16s %-22s %-8s lag %d, active %t, leads %t\n", m.GetID(), m.GetAddress(), kind, m.GetLag(), m.GetActive(), m.GetLeader())
	}

	if why := r.GetStopUnsafe(); why != "" {
		c.Printf("do not stop a control VM now: %s\n", why)

		return
	}

	c.Println("one control VM may be stopped")
}

func newMemberChange(use, short string, kind wire.MemberChangeKind) *cobra.Command {
	var flags operatorFlags

	args := 1
	if kind == wire.MemberChangeKind_MemberAdd {
		args = 2
	}

	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(args),
		RunE: func(c *cobra.Command, a []string) error {
			change := &wire.MemberChange{Kind: kind, ID: a[0]}
			if args > 1 {
				change.Address = a[1]
			}

			_, err := callMembers(c.Context(), &flags, func(ctx context.Context, m wire.Members) (*wire.MemberChanged, error) {
				return m.Change(ctx, change)
			})
			if err != nil {
				return err
			}

			c.Println("done")

			return nil
		},
	}
	flags.add(c)

	return c
}

// callMembers calls the control VMs in order until one answers. Repeating a call is safe,
// because a membership change is made only once.
func callMembers[T any](ctx context.Context, f *operatorFlags, call func(context.Context, wire.Members) (T, error)) (T, error) {
	return callFirstAnswering(ctx, f, wire.NewMembersProtobufClient, call)
}
