package cmds

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/trace"
)

func newTrace() *cobra.Command {
	return &cobra.Command{
		Use:   "trace ID FILE...",
		Short: "Show the log lines of one request from the logs of several processes, in order of time",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var lines []trace.Line

			for _, name := range args[1:] {
				more, err := readLog(name, args[0])
				if err != nil {
					return err
				}

				lines = append(lines, more...)
			}

			return trace.Print(c.OutOrStdout(), args[0], lines)
		},
	}
}

func readLog(name, request string) ([]trace.Line, error) {
	f, err := os.Open(filepath.Clean(name))
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}

	defer func() { _ = f.Close() }()

	return trace.Read(filepath.Base(name), request, f)
}
