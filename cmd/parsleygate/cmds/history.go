package cmds

import (
	"context"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/wire"
)

func newHistory() *cobra.Command {
	var (
		flags operatorFlags
		r     wire.HistoryRequest
	)

	c := &cobra.Command{
		Use:   "history",
		Short: "Show who made which decisions, newest first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			history, err := callOperator(c.Context(), &flags, func(ctx context.Context, o wire.Operator) (*wire.HistoryResponse, error) {
				return o.History(ctx, &r)
			})
			if err != nil {
				return err
			}

			printHistory(c, history)

			return nil
		},
	}
	flags.add(c)
	c.Flags().Uint32Var(&r.Limit, "limit", 0, "maximum number of decisions to show")

	return c
}

func printHistory(c *cobra.Command, history *wire.HistoryResponse) {
	for _, e := range history.GetEntries() {
		state := strings.TrimPrefix(e.GetState().String(), "Decision")
		at := time.UnixMilli(e.GetAtUnixMillis()).UTC().Format(time.RFC3339)
		c.Printf("%d %s %s %s %s from %s, version %d\n",
			e.GetNumber(), at, e.GetOperator(), state, e.GetPlanID(), e.GetSource(), e.GetVersion())

		for _, detail := range e.GetDetails() {
			c.Printf("  %s\n", detail)
		}
	}

	if history.GetFloor() > 0 {
		c.Printf("decisions up to number %d are no longer kept\n", history.GetFloor())
	}
}
