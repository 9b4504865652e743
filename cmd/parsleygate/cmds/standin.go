package cmds

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/testserver"
)

// standinFlags are the flags of the standin command.
type standinFlags struct {
	address  string
	agent    string
	service  string
	model    bool
	capacity int
	cold     int
	step     time.Duration
}

func newStandin() *cobra.Command {
	var flags standinFlags

	c := &cobra.Command{
		Use:   "standin",
		Short: "Run a fake target (a model engine or a booking desk) beside an agent",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()

			return flags.run(ctx)
		},
	}
	f := c.Flags()
	f.StringVar(&flags.address, "address", "127.0.0.1:8701", "address on which the fake target listens")
	f.StringVar(&flags.agent, "agent", "127.0.0.1:8651", "address of the agent on the same VM")
	f.StringVar(&flags.service, "service", "cooper-assist", "name of the service that the target provides")
	f.BoolVar(&flags.model, "model", true, "run a model engine; false runs a booking desk")
	f.IntVar(&flags.capacity, "capacity", 16, "maximum number of concurrent requests when warm")
	f.IntVar(&flags.cold, "cold", 2, "maximum number of concurrent requests when cold")
	f.DurationVar(&flags.step, "step", 20*time.Millisecond, "time between two tokens of the model engine")

	return c
}

func (f *standinFlags) run(ctx context.Context) error {
	address, err := netip.ParseAddrPort(f.address)
	if err != nil {
		return eris.Wrapf(err, "--address %q; allowed: IP:port", f.address)
	}

	agent, err := netip.ParseAddrPort(f.agent)
	if err != nil {
		return eris.Wrapf(err, "--agent %q; allowed: IP:port", f.agent)
	}

	listener, err := listenOn(ctx, address)
	if err != nil {
		return err
	}

	handler, take := f.target(address)
	announcer := &testserver.Announcer{Agent: agent, Interval: time.Second, Current: take}

	go announcer.Run(ctx)

	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}

	go func() {
		<-ctx.Done()

		_ = server.Close()
	}()

	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "serve fake target")
	}

	return nil
}

func (f *standinFlags) target(address netip.AddrPort) (http.Handler, func() testserver.Announcement) {
	if !f.model {
		bookingService := &testserver.BookingService{}

		return bookingService.Handler(), func() testserver.Announcement { return bookingService.Announcement(address, f.service, f.capacity) }
	}

	e := &testserver.Engine{StepBase: f.step, ColdLimit: f.cold, WarmAfter: 4 * f.cold}

	return e.Handler(), func() testserver.Announcement { return e.Announcement(address, f.service, f.capacity) }
}
