// Package load is the load tool: it sends drafts and bookings to entries at a
// fixed rate, whatever the answers (open loop), and checks every answer. The
// same seed sends the same requests at the same times.
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

// Generator is one run. Its fields are set before Run.
type Generator struct {
	// Entries are the base URLs of the entries; each request picks one.
	Entries []string
	// DraftService and BookingService are the services as callers name them.
	DraftService   string
	BookingService string
	// Rate is requests a second; Duration is how long they are sent.
	Rate     float64
	Duration time.Duration
	// BookingShare is the share of requests that are bookings.
	BookingShare float64
	// Tokens is the mean length of a draft.
	Tokens int
	// Workspaces is how many workspaces the callers belong to.
	Workspaces int
	// Timeout is each caller's deadline.
	Timeout time.Duration
	Seed    uint64
	// MaxInFlight bounds the requests at once; those above it are counted as not sent.
	MaxInFlight int
	// Phase names the part of an exercise that a request belongs to; may be nil.
	Phase func() string
	// Runs returns how often each booking ran, from the back ends themselves; may be nil.
	Runs func(ctx context.Context) (map[string]int, error)

	client          *http.Client
	mu              sync.Mutex
	report          *Report
	bookingOutcomes map[string]outcome
}

// request is one request, drawn before it is sent.
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
	// workspaceSkew makes a few workspaces large, as the users' are.
	workspaceSkew = 1.4
	// responseGracePeriod is how much longer than its deadline a request is waited for.
	responseGracePeriod = 5 * time.Second
)

// Run sends the load and returns what came of it.
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

	// A caller's deadline may pass while its booking still runs: let it end first.
	runs, err := g.Runs(ctx)
	if err != nil {
		return g.report, fmt.Errorf("read the back ends' runs: %w", err)
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

		if next.After(end) || !pauses.For(ctx, time.Until(next)) {
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
