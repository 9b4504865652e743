package cmds

import "github.com/spf13/cobra"

func newStop() *cobra.Command {
	return newChangeCommand("stop PROCESS", "Stop the process on a VM: it finishes its requests and exits", "[Stop %q]\n")
}
