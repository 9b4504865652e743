package cmds

import "github.com/spf13/cobra"

func newTarget() *cobra.Command {
	c := &cobra.Command{Use: "target", Short: "Retire or admit a target"}
	c.AddCommand(
		newChangeCommand("retire AGENT", "Retire the target of an agent: it gets no new requests", "[Target %q]\nRetired = true\n"),
		newChangeCommand("admit AGENT", "Admit the target of an agent", "[Target %q]\nRetired = false\n"),
	)

	return c
}
