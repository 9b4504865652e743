// Package cmds implements the commands of the parsleygate binary.
package cmds

import (
	"context"
	"io"

	"github.com/spf13/cobra"
)

// Execute runs the command given by args and returns the exit status.
func Execute(args []string, stdout, stderr io.Writer) int {
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)

	if err := root.ExecuteContext(context.Background()); err != nil {
		return 1
	}

	return 0
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:          "parsleygate",
		Short:        "Load balancer for expert-parallel model groups",
		SilenceUsage: true,
	}
	root.AddCommand(newLocal(), newLoad(), newStandin(), newMember(), newTrace(), newDump(), newDocs())
	root.AddCommand(processCommands()...)
	root.AddCommand(operatorCommands()...)

	return root
}
