package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/local"
	"github.com/parsleygate/parsleygate/internal/logs"
)

// The ports of the local deployment.
const (
	localEntryPort    = 8601
	localOperatorPort = 8600
)

func newLocal() *cobra.Command {
	var logOutput string

	c := &cobra.Command{
		Use:   "local",
		Short: "Run a whole small deployment with stand-in targets in this process, on loopback",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()

			out := logs.Output{Writer: c.ErrOrStderr(), Debug: logs.ParseDebug(logOutput)}

			return runLocal(ctx, c, out)
		},
	}
	c.Flags().StringVar(&logOutput, "log-output", "", "parts whose debug lines are written, with commas between them, or all")

	return c
}

func runLocal(ctx context.Context, c *cobra.Command, out logs.Output) error {
	dir, err := os.MkdirTemp("", "parsleygate-local-")
	if err != nil {
		return eris.Wrap(err, "make data folder")
	}

	defer func() { _ = os.RemoveAll(dir) }()

	l := &local.Local{
		Deployment: local.Trust(), Logs: out,
		Dir: dir, EntryPort: localEntryPort, OperatorPort: localOperatorPort,
	}

	stopDumps := dumpOnSignal(l.WriteDumps, c.ErrOrStderr())
	defer stopDumps()

	g, gctx := errgroup.WithContext(ctx)
	if err := l.Start(gctx, g); err != nil {
		return errors.Join(err, g.Wait())
	}

	for i, base := range l.Entries() {
		c.Printf("callers:   %s (%s)\n", base, l.Deployment.Zones[i])
	}

	c.Printf("operators: %s\n\n", l.Operators()[0])
	c.Println(localHint(l.Entries()[0]))

	return eris.Wrap(g.Wait(), "run local deployment")
}

func localHint(base string) string {
	return fmt.Sprintf(`Try:
  curl -N %[1]s/cooper-assist/v1/drafts -d '{"Prompt":"stave 4 leaks","Tokens":12}'
  curl %[1]s/job-desk/v1/bookings -H 'Idempotency-Key: cask-17' -d '{"Ref":"cask-17","Slot":"kiln-2 10:00"}'
Stop with Ctrl-C.`, base)
}
