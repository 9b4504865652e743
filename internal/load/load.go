// Package load is an open-loop load generator: it sends drafts and bookings to entries
// at a given mean rate, regardless of the answers, and checks every answer. Runs with
// the same seed send the same requests at the same times.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/parsleygate/parsleygate/internal/pauses"
)

// Generator generates the load of one run. Its fields must be set before Run.
type Generator struct {
	// Entries are the base URLs of the entries. Each request is sent to one of them,
	// drawn at random.
	Entries []string
	// DraftService and BookingService are the names of the services in request paths.
	DraftService   string
	BookingService string
	// Rate is the mean number of requests per second, sent for Duration.
	Rate     float64
	Duration time.Duration
	// BookingShare is the fraction of requests that are bookings.
	BookingShare float64
	// Tokens is the mean length of a draft in tokens.
	Tokens int
	// Workspaces is the number of workspaces of the callers.
	Workspaces int
	// Timeout is the time limit that each request announces to its entry.
	Timeout time.Duration
	Seed    uint64
	// MaxInFlight bounds the concurrent requests. Those above it are counted as NotSent.
	MaxInFlight int
	// Phase returns the name of the phase under which a new request is counted; may be
	// nil.
	Phase func() string
	// Runs returns how many times each booking ran, as counted by the targets; may be nil.
	Runs func(ctx context.Context) (map[string]int, error)

	client          *http.Client
	mu              sync.Mutex
	report          *Report
	bookingOutcomes map[string]outcome
}

// request contains the random parameters of one request.
type request struct {
	n          int
	booking    bool
	workspace  string
	ref        string
	tokens     int
	firstEntry int
	phase      string
}

func (q *request) slot() string { return fmt.Sprintf("kiln-%d", q.n) }

const (
	// workspaceSkew is the exponent of the Zipf distribution of requests over
	// workspaces. As in real use, a few workspaces send most requests.
	workspaceSkew = 1.4
	// responseGracePeriod is how long the HTTP client waits beyond the request's timeout.
	responseGracePeriod = 5 * time.Second
)

// Run sends the load and returns the report, once all requests have ended.
func (g *Generator) Run(ctx context.Context) (*Report, error) {
	g.report = newReport()
	g.bookingOutcomes = make(map[string]outcome)
	g.client = &http.Client{
		Timeout:   g.Timeout + responseGracePeriod,
		Transport: &http.Transport{MaxIdleConnsPerHost: g.MaxInFlight, DisableCompression: true},
	}
	defer g.client.CloseIdleConnections()

	g.send(ctx)

	if g.Runs == nil {
		return g.report, nil
	}

	// A booking may still run after its caller's deadline. The runs are read only after
	// all callers have returned.
	runs, err := g.Runs(ctx)
	if err != nil {
		return g.report, fmt.Errorf("read how often the targets ran each booking: %w", err)
	}

	g.checkBookings(runs)

	return g.report, nil
}

func (g *Generator) send(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(g.Seed, 1))
	zipf := rand.NewZipf(rnd, workspaceSkew, 1, uint64(max(1, g.Workspaces)-1))
	inFlight := make(chan struct{}, g.MaxInFlight)
	next := time.Now()
	end := next.Add(g.Duration)

	var wg sync.WaitGroup
	defer wg.Wait()

	for n := 0; ; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / g.Rate * float64(time.Second)))
		q := g.drawRequest(rnd, zipf, n)

		if next.After(end) || !pauses.Sleep(ctx, time.Until(next)) {
			return
		}

		if g.Phase != nil {
			q.phase = g.Phase()
		}

		select {
		case inFlight <- struct{}{}:
		default:
			g.record(&q, result{outcome: notSent})

			continue
		}

		wg.Go(func() {
			g.sendRequest(ctx, q)
			<-inFlight
		})
	}
}

func (g *Generator) drawRequest(rnd *rand.Rand, zipf *rand.Zipf, n int) request {
	return request{
		n:          n,
		booking:    rnd.Float64() < g.BookingShare,
		workspace:  fmt.Sprintf("workspace-%d", zipf.Uint64()),
		ref:        fmt.Sprintf("ref-%d-%d", g.Seed, n),
		tokens:     1 + rnd.IntN(2*g.Tokens),
		firstEntry: rnd.IntN(len(g.Entries)),
	}
}

func (g *Generator) sendRequest(ctx context.Context, q request) {
	if q.booking {
		g.record(&q, g.sendBooking(ctx, &q))

		return
	}

	g.record(&q, g.sendDraft(ctx, &q))
}
