package cmds

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/wire"
)

func newZone() *cobra.Command {
	c := &cobra.Command{Use: "zone", Short: "Take an availability zone out of use, or bring it back"}
	c.AddCommand(
		newChangeCommand("out ZONE", "Take an availability zone out of use: it gets no new requests", "[Zone %q]\nOut = true\n"),
		newChangeCommand("in ZONE", "Bring an availability zone back into use", "[Zone %q]\nOut = false\n"),
	)

	return c
}

// newChangeCommand returns a command that plans a single change and, with --yes, confirms
// the plan.
func newChangeCommand(use, short, declaration string) *cobra.Command {
	var (
		flags    confirmFlags
		yes      bool
		override bool
	)

	c := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text := fmt.Sprintf(declaration, args[0])

			plan, err := makePlan(c.Context(), &flags.operatorFlags, c.CommandPath()+" "+args[0], []byte(text), override)
			if err != nil {
				return err
			}

			printPlan(c, plan)

			if err := rejectUndeclaredZone(plan); err != nil {
				return err
			}

			if !yes {
				c.Printf("\nnothing has changed yet; to carry it out: parsleygate confirm %s, or --yes\n", plan.GetID())
				return nil
			}

			// A plan without changes is still confirmed if a number is given: if that number
			// was sent before, the control VM returns its first answer.
			if len(plan.GetChanges()) == 0 && flags.number == 0 {
				return nil
			}

			return confirm(c, &flags, plan.GetID())
		},
	}
	flags.add(c)
	c.Flags().BoolVar(&yes, "yes", false, "confirm the plan immediately")
	c.Flags().BoolVar(&override, "override", false, "make the change even if the remaining capacity is less than the load")

	return c
}

// rejectUndeclaredZone returns an error if the plan would declare a new zone. The name of
// the zone is mistyped then, and the intended zone would stay in use.
func rejectUndeclaredZone(plan *wire.Plan) error {
	for _, change := range plan.GetChanges() {
		if zone := change.GetAfter().GetZone(); zone != nil && change.GetBefore() == nil {
			return eris.Errorf("no zone %q is declared; declare it in a file first", zone.GetName())
		}
	}

	return nil
}
