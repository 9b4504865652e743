package cmds

import (
	"context"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/wire"
)

func newDiff() *cobra.Command {
	var (
		flags operatorFlags
		file  string
	)

	c := &cobra.Command{
		Use:   "diff -f FILE",
		Short: "Compare a declaration with the configuration in force, in both directions",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
			if err != nil {
				return eris.Wrap(err, "read the declaration")
			}

			r := &wire.DiffRequest{Source: file, Declaration: data}

			diff, err := callOperator(c.Context(), &flags, func(ctx context.Context, o wire.Operator) (*wire.DiffResponse, error) {
				return o.Diff(ctx, r)
			})
			if err != nil {
				return err
			}

			for _, change := range diff.GetChanges() {
				c.Printf("differs: %s\n", change.GetText())
			}

			for _, key := range diff.GetUndeclared() {
				c.Printf("not declared, stays as it is: %s\n", key)
			}

			return nil
		},
	}
	flags.add(c)
	c.Flags().StringVarP(&file, "file", "f", "", "declaration file in INI format")
	_ = c.MarkFlagRequired("file")

	return c
}
