package cmds

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/wire"
)

func newZone() *cobra.Command {
	c := &cobra.Command{Use: "zone", Short: "Take an availability zone out, or bring it back"}
	c.AddCommand(
		newChangeCommand("out ZONE", "Take an availability zone out: no new work goes into it", "[Zone %q]\nOut = true\n"),
		newChangeCommand("in ZONE", "Bring an availability zone back", "[Zone %q]\nOut = false\n"),
	)

	return c
}

// newChangeCommand returns a command that plans one change and, with --yes, confirms it.
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

			// Without changes a number that was sent before still gets its first answer.
			if len(plan.GetChanges()) == 0 && flags.number == 0 {
				return nil
			}

			return confirm(c, &flags, plan.GetID())
		},
	}
	flags.add(c)
	c.Flags().BoolVar(&yes, "yes", false, "confirm at once")
	c.Flags().BoolVar(&override, "override", false, "do it although what remains cannot carry the load")

	return c
}

// rejectUndeclaredZone guards against a mistyped zone: it would be declared anew, and the
// zone that was meant would stay in use.
func rejectUndeclaredZone(plan *wire.Plan) error {
	for _, change := range plan.GetChanges() {
		if zone := change.GetAfter().GetZone(); zone != nil && change.GetBefore() == nil {
			return eris.Errorf("no zone %q is declared; declare it in a file first", zone.GetName())
		}
	}

	return nil
}
