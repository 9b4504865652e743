package cmds

import (
	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/settings"
)

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a settings file and report its errors",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}

			c.Printf("%s: settings of %s %s in zone %s are valid\n", args[0], s.Process.Role, s.Process.ID, s.Process.Zone)

			return nil
		},
	}
}
