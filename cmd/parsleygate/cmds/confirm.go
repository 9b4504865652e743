package cmds

import (
	"context"
	"errors"
	"time"

	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// confirmFlags are the flags of commands that confirm a plan.
type confirmFlags struct {
	operatorFlags

	number uint64
	wait   time.Duration
}

func (f *confirmFlags) add(c *cobra.Command) {
	f.operatorFlags.add(c)
	f.addOperator(c)
	c.Flags().Uint64Var(&f.number, "number", 0, "number of the decision; repeat the command with the same number if the answer was lost (default: the next free number)")
	c.Flags().DurationVar(&f.wait, "wait", 0, "how long to wait until the decision is in force everywhere")
}

func newConfirm() *cobra.Command {
	var flags confirmFlags

	c := &cobra.Command{
		Use:   "confirm PLAN",
		Short: "Carry out a plan",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return confirm(c, &flags, args[0])
		},
	}
	flags.add(c)

	return c
}

// confirm makes the decision under a number that is printed first, so that the operator
// can repeat the command with that number if the answer is lost.
func confirm(c *cobra.Command, f *confirmFlags, plan string) error {
	if err := f.pickNumber(c); err != nil {
		return err
	}

	r := &wire.ConfirmRequest{Operator: f.operator, Number: f.number, PlanID: plan}

	response, err := callOperator(c.Context(), &f.operatorFlags, func(ctx context.Context, o wire.Operator) (*wire.ConfirmResponse, error) {
		return o.Confirm(ctx, r)
	})
	if err != nil {
		c.Printf("the outcome of decision %d is unknown; repeat the command with --number %d to make it or to learn its outcome\n", f.number, f.number)
		return err
	}

	if err := printAnswer(c, f.number, response.GetAnswer()); err != nil {
		return err
	}

	return f.awaitInForce(c)
}

func (f *confirmFlags) pickNumber(c *cobra.Command) error {
	if f.number != 0 {
		return nil
	}

	status, err := callOperator(c.Context(), &f.operatorFlags, func(ctx context.Context, o wire.Operator) (*wire.StatusResponse, error) {
		return o.Status(ctx, &wire.StatusRequest{Limit: 1})
	})
	if err != nil {
		return err
	}

	f.number = status.GetNextNumber()
	c.Printf("decision number %d\n", f.number)

	return nil
}

// statusPollInterval is the interval at which confirm --wait polls the status of the decision.
const statusPollInterval = 500 * time.Millisecond

var errNotInForce = errors.New("the decision is made, but is not yet known to be in force everywhere")

func (f *confirmFlags) awaitInForce(c *cobra.Command) error {
	if f.wait == 0 {
		return nil
	}

	ctx, cancel := context.WithTimeout(c.Context(), f.wait)
	defer cancel()

	for {
		status, err := callOperator(ctx, &f.operatorFlags, func(ctx context.Context, o wire.Operator) (*wire.StatusResponse, error) {
			return o.Status(ctx, &wire.StatusRequest{Number: f.number})
		})
		if err == nil && status.GetDecisions()[0].GetInForce() {
			printDecision(c, status.GetDecisions()[0])
			return nil
		}

		select {
		case <-ctx.Done():
			if err == nil {
				printDecision(c, status.GetDecisions()[0])
			}

			return errNotInForce
		case <-time.After(statusPollInterval):
		}
	}
}
