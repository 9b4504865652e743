package cmds

import (
	"context"
	"encoding/json"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/parsleygate/parsleygate/internal/load"
)

func newLoad() *cobra.Command {
	var (
		l               load.Generator
		bookingServices []string
	)

	c := &cobra.Command{
		Use:   "load",
		Short: "Send pseudo-random drafts and bookings to entries at a fixed rate, and check all answers",
		Long: "Send pseudo-random drafts and bookings to entries at a fixed rate, and check all answers.\n\n" +
			"With --desk, it also asks the booking desks directly, and checks that no booking ran twice and none ran after its caller received NotRun.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()

			if len(bookingServices) > 0 {
				l.Runs = func(ctx context.Context) (map[string]int, error) { return fetchBookingRuns(ctx, bookingServices) }
			}

			report, err := l.Run(ctx)
			report.Print(c.OutOrStdout())

			if err == nil && report.HasViolations() {
				err = eris.New("a guarantee was violated")
			}

			return err
		},
	}
	f := c.Flags()
	f.StringSliceVar(&l.Entries, "entry", []string{"http://127.0.0.1:8601", "http://127.0.0.1:8602", "http://127.0.0.1:8603"}, "base URLs of the entries")
	f.StringVar(&l.DraftService, "drafts", "cooper-assist", "name of the model service")
	f.StringVar(&l.BookingService, "bookings", "job-desk", "name of the booking service")
	f.StringSliceVar(&bookingServices, "desk", nil, "base URLs of the test booking desks, without the balancer in between")
	f.Float64Var(&l.Rate, "rate", 100, "requests per second")
	f.DurationVar(&l.Duration, "duration", 10*time.Second, "how long to send requests")
	f.Float64Var(&l.BookingShare, "booking-share", 0.2, "fraction of requests that are bookings")
	f.IntVar(&l.Tokens, "tokens", 40, "mean length of a draft in tokens")
	f.IntVar(&l.Workspaces, "workspaces", 10, "number of workspaces that the callers belong to")
	f.DurationVar(&l.Timeout, "timeout", 10*time.Second, "deadline of each request")
	f.Uint64Var(&l.Seed, "seed", 1, "seed of the random requests; the same seed sends the same requests")
	f.IntVar(&l.MaxInFlight, "most-in-flight", 4096, "maximum number of concurrent requests; requests above it are counted as not sent")

	return c
}

// fetchBookingRuns queries the test booking services for the number of runs of each booking.
func fetchBookingRuns(ctx context.Context, bookingServices []string) (map[string]int, error) {
	all := make(map[string]int)

	for _, base := range bookingServices {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/runs", nil)
		if err != nil {
			return nil, eris.Wrap(err, "request the runs of a desk")
		}

		runs, err := fetchRuns(r)
		if err != nil {
			return nil, err
		}

		for ref, n := range runs {
			all[ref] += n
		}
	}

	return all, nil
}

func fetchRuns(r *http.Request) (map[string]int, error) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, eris.Wrap(err, "request the runs of a desk")
	}
	defer func() { _ = resp.Body.Close() }()

	var runs map[string]int

	return runs, eris.Wrap(json.NewDecoder(resp.Body).Decode(&runs), "decode the runs of the desk")
}
