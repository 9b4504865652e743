package cmds

import (
	"context"
	"strings"

	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/wire"
)

func newStatus() *cobra.Command {
	var (
		flags operatorFlags
		r     wire.StatusRequest
	)

	c := &cobra.Command{
		Use:   "status",
		Short: "Show which decisions are in force, and which processes have not acknowledged them",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := callOperator(c.Context(), &flags, func(ctx context.Context, o wire.Operator) (*wire.StatusResponse, error) {
				return o.Status(ctx, &r)
			})
			if err != nil {
				return err
			}

			printStatus(c, status)

			return nil
		},
	}
	flags.add(c)
	c.Flags().Uint64Var(&r.Number, "number", 0, "show only the decision with this number (default: the latest decisions)")
	c.Flags().Uint32Var(&r.Limit, "limit", 0, "maximum number of decisions to show")

	return c
}

func printStatus(c *cobra.Command, status *wire.StatusResponse) {
	c.Printf("version %d, next number %d\n", status.GetVersion(), status.GetNextNumber())

	if status.GetStale() {
		c.Println("WARNING: this control VM cannot show that its state is current")
	}

	if unreachable := status.GetPeersUnheard(); len(unreachable) > 0 {
		c.Printf("WARNING: control VMs that did not answer: %s\n", strings.Join(unreachable, ", "))
	}

	for _, d := range status.GetDecisions() {
		printDecision(c, d)
	}
}

func printDecision(c *cobra.Command, d *wire.DecisionStatus) {
	state := "NOT YET in force"
	if d.GetInForce() {
		state = "in force"
	}

	if d.GetEntry().GetState() != wire.DecisionState_DecisionMade {
		state = "refused"
	}

	c.Printf("decision %d by %s (%s): %s; %s; acknowledged by %d of %d processes\n",
		d.GetEntry().GetNumber(), d.GetEntry().GetOperator(), d.GetEntry().GetSource(),
		state, d.GetWhy(), d.GetAcknowledged(), d.GetLive())

	for _, o := range d.GetOutstanding() {
		c.Printf("  outstanding: %s in %s has version %d, %s\n",
			o.GetNodeID(), o.GetZone(), o.GetKnownVersion(), outstandingText(o))
	}
}

func outstandingText(o *wire.Outstanding) string {
	switch {
	case o.GetState() == wire.OutstandingState_OutstandingOld:
		return "still polls"
	case o.GetSilentMillis() == 0:
		return "not seen by any control VM"
	default:
		return "silent for " + formatMillis(o.GetSilentMillis())
	}
}
