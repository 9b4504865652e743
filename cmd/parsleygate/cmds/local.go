package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/local"
	"github.com/parsleygate/parsleygate/internal/logs"
)

// localMemoryMB is the memory of the local deployment.
const localMemoryMB = 256

// localPort is the default port of the first control VM of the local deployment. The
// entries use the ports after it.
const localPort = 8600

func newLocal() *cobra.Command {
	var flags localFlags

	c := &cobra.Command{
		Use:   "local",
		Short: "Run a small deployment with fake targets in this process, on loopback",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()

			return flags.run(ctx, c)
		},
	}
	c.Flags().StringVar(&flags.logOutput, "log-output", "", "comma-separated list of parts whose debug lines are logged, or all")
	c.Flags().StringVar(&flags.deployment, "deployment", "trust", "which deployment to run: trust or qurum")
	c.Flags().DurationVar(&flags.exercise, "exercise", 0, "send load for this long while a zone is taken out and brought back and a target turns cold, then stop")
	c.Flags().Float64Var(&flags.rate, "rate", 150, "requests per second of the exercise")
	c.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of the load of the exercise")
	c.Flags().Uint16Var(&flags.port, "port", localPort, "port of the first control VM; the entries use the ports after it, and the ports of the control VMs are 10 apart")

	return c
}

// localFlags are the flags of the local command.
type localFlags struct {
	logOutput  string
	deployment string
	exercise   time.Duration
	rate       float64
	seed       uint64
	port       uint16
}

func (f *localFlags) parseDeployment() (local.Deployment, error) {
	switch f.deployment {
	case "trust":
		return local.TrustDeployment(), nil
	case "qurum":
		return local.QurumDeployment(), nil
	default:
		return local.Deployment{}, eris.Errorf("--deployment %q; allowed: trust, qurum", f.deployment)
	}
}

func (f *localFlags) run(ctx context.Context, c *cobra.Command) error {
	deployment, err := f.parseDeployment()
	if err != nil {
		return err
	}

	dir, err := os.MkdirTemp("", "parsleygate-local-")
	if err != nil {
		return eris.Wrap(err, "create data directory")
	}

	defer func() { _ = os.RemoveAll(dir) }()

	l := &local.Instance{
		Deployment: deployment, Logs: logs.Output{Writer: c.ErrOrStderr(), Debug: logs.ParseDebug(f.logOutput)},
		Dir: dir, EntryPort: f.port + 1, OperatorPort: f.port,
		Bounds: callers.Bounds{
			MaxConnections: callerConnections(0, 0, localMemoryMB) / 2, Memory: &callers.Memory{Limit: localMemoryMB << 20 / heldMemoryDivisor},
		},
	}

	limitHeap(localMemoryMB)

	stopDumps := dumpOnSignal(l.WriteDumps, c.ErrOrStderr())
	defer stopDumps()

	ctx, stop := context.WithCancel(ctx)
	defer stop()

	g, gctx := errgroup.WithContext(ctx)
	if err := l.Start(gctx, g); err != nil {
		stop()

		return errors.Join(err, g.Wait())
	}

	for i, base := range l.Entries() {
		c.Printf("callers:   %s (%s)\n", base, l.Deployment.Zones[i])
	}

	c.Printf("operators: %v\n\n", l.ControlAddresses())
	c.Println(usageHint(l.Entries()[0], deployment.Services[0].Name, deployment.Services[1].Name))

	if f.exercise > 0 {
		g.Go(func() error {
			defer stop()

			exercise := &local.Exercise{Instance: l, Duration: f.exercise, Rate: f.rate, Seed: f.seed, Out: c.OutOrStdout()}

			return exercise.Run(gctx)
		})
	}

	return eris.Wrap(g.Wait(), "run local deployment")
}

func usageHint(base, model, bookingService string) string {
	return fmt.Sprintf(`Try:
  curl -N %[1]s/%[2]s/v1/drafts -d '{"Prompt":"stave 4 leaks","Tokens":12}'
  curl %[1]s/%[3]s/v1/bookings -H 'Idempotency-Key: cask-17' -d '{"Ref":"cask-17","Slot":"kiln-2 10:00"}'
Stop with Ctrl-C.`, base, model, bookingService)
}
