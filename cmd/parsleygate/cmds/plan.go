package cmds

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/wire"
)

func newPlan() *cobra.Command {
	var (
		flags    operatorFlags
		file     string
		override bool
	)

	c := &cobra.Command{
		Use:   "plan -f FILE",
		Short: "Show what a declaration would change and what that would cost, without changing anything",
		Long: "Show what a declaration would change and what that would cost, without changing anything.\n\n" +
			"Records that the declaration does not mention stay unchanged. A section with Removed = true removes its record.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
			if err != nil {
				return eris.Wrap(err, "read the declaration")
			}

			plan, err := makePlan(c.Context(), &flags, file, data, override)
			if err != nil {
				return err
			}

			printPlan(c, plan)

			if len(plan.GetChanges()) > 0 {
				c.Printf("\nnothing has changed yet; to carry it out: parsleygate confirm %s\n", plan.GetID())
			}

			return nil
		},
	}
	flags.add(c)
	flags.addOperator(c)
	c.Flags().StringVarP(&file, "file", "f", "", "declaration file in INI format")
	c.Flags().BoolVar(&override, "override", false, "allow the plan to be confirmed even if the remaining capacity is less than the load")
	_ = c.MarkFlagRequired("file")

	return c
}

func makePlan(ctx context.Context, f *operatorFlags, source string, data []byte, override bool) (*wire.Plan, error) {
	r := &wire.PlanRequest{Operator: f.operator, Source: source, Declaration: data, Override: override}

	response, err := callOperator(ctx, f, func(ctx context.Context, o wire.Operator) (*wire.PlanResponse, error) {
		return o.Plan(ctx, r)
	})

	return response.GetPlan(), err
}

// printPlan prints the changes of a plan, the capacity, the requests to drain, the cost,
// and the warnings and refusals.
func printPlan(c *cobra.Command, p *wire.Plan) {
	if len(p.GetChanges()) == 0 {
		c.Println("nothing to change")
		return
	}

	c.Printf("plan %s against version %d\n", p.GetID(), p.GetBaseVersion())

	for _, change := range p.GetChanges() {
		c.Printf("  %s\n", change.GetText())
	}

	printCapacity(c, p.GetCapacity())
	printDrains(c, p.GetDrains())

	cost := p.GetCost()
	c.Printf("cost: %d cold starts, %d bytes of weights%s\n", cost.GetColdStarts(), cost.GetWeightBytes(), unknownWeightsNote(cost))

	for _, demand := range p.GetNeeds() {
		left := min(demand.GetDuring(), demand.GetAfter())
		c.Printf("  %s: %d requests in hand, %d to spare\n",
			demand.GetService(), demand.GetNeeded(), int64(left)-int64(demand.GetNeeded()))
	}

	for _, warning := range p.GetWarnings() {
		c.Printf("WARNING: %s\n", warning)
	}

	for _, refusal := range p.GetRefusals() {
		c.Printf("REFUSED%s: %s\n", overriddenNote(p), refusal)
	}
}

func printCapacity(c *cobra.Command, lines []*wire.CapacityLine) {
	if len(lines) == 0 {
		return
	}

	c.Printf("%-20s %-20s %8s %8s %8s  (requests at once)\n", "service", "zone", "before", "during", "after")

	for _, line := range lines {
		c.Printf("%-20s %-20s %8d %8d %8d\n",
			line.GetService(), line.GetZone(), line.GetBefore(), line.GetDuring(), line.GetAfter())
	}
}

func printDrains(c *cobra.Command, lines []*wire.DrainLine) {
	var (
		requests uint32
		longest  uint64
	)

	for _, line := range lines {
		requests += line.GetInFlight()
		longest = max(longest, line.GetLongestMillis())
	}

	if len(lines) == 0 {
		return
	}

	wait := "unknown"

	switch {
	case requests == 0:
		wait = "none"
	case longest > 0:
		wait = formatMillis(longest)
	}

	c.Printf("to finish: %d requests at %d processes, longest wait %s\n", requests, len(lines), wait)
}

func unknownWeightsNote(cost *wire.Cost) string {
	if cost.GetWeightsUnknown() {
		return " or more: a service declares no WeightBytes"
	}

	return ""
}

func overriddenNote(p *wire.Plan) string {
	if p.GetOverride() {
		return " (overridden)"
	}

	return ""
}
