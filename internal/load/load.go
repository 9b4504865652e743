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

	client *http.Client
	mu     sync.Mutex
	report *Report
	sent   map[string]outcome
}

// request is one request, drawn before it is sent.
type request struct {
	n         int
	booking   bool
	workspace string
	ref       string
	tokens    int
	first     int
	phase     string
}

func (q *request) slot() string { return fmt.Sprintf("kiln-%d", q.n) }

const (
	// workspaceSkew makes a few workspaces large, as the users' are.
	workspaceSkew = 1.4
	// drainSlack is how much longer than its deadline a request is waited for.
	drainSlack = 5 * time.Second
)

// Run sends the load and returns what came of it.
func (l *Generator) Run(ctx context.Context) (*Report, error) {
	l.report = newReport()
	l.sent = make(map[string]outcome)
	l.client = &http.Client{
		Timeout:   l.Timeout + drainSlack,
		Transport: &http.Transport{MaxIdleConnsPerHost: l.MaxInFlight, DisableCompression: true},
	}
	defer l.client.CloseIdleConnections()

	l.send(ctx)

	if l.Runs == nil {
		return l.report, nil
	}

	// A caller's deadline may pass while its booking still runs: let it end first.
	runs, err := l.Runs(ctx)
	if err != nil {
		return l.report, fmt.Errorf("read the back ends' runs: %w", err)
	}

	l.judge(runs)

	return l.report, nil
}

func (l *Generator) send(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(l.Seed, 1))
	zipf := rand.NewZipf(rnd, workspaceSkew, 1, uint64(max(1, l.Workspaces)-1))
	slots := make(chan struct{}, l.MaxInFlight)
	next := time.Now()
	end := next.Add(l.Duration)

	var wg sync.WaitGroup
	defer wg.Wait()

	for n := 0; ; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / l.Rate * float64(time.Second)))
		q := l.draw(rnd, zipf, n)

		if next.After(end) || !pauses.Sleep(ctx, time.Until(next)) {
			return
		}

		if l.Phase != nil {
			q.phase = l.Phase()
		}

		select {
		case slots <- struct{}{}:
		default:
			l.tally(&q, result{outcome: notSent})

			continue
		}

		wg.Go(func() {
			l.one(ctx, q)
			<-slots
		})
	}
}

func (l *Generator) draw(rnd *rand.Rand, zipf *rand.Zipf, n int) request {
	return request{
		n:         n,
		booking:   rnd.Float64() < l.BookingShare,
		workspace: fmt.Sprintf("workspace-%d", zipf.Uint64()),
		ref:       fmt.Sprintf("ref-%d-%d", l.Seed, n),
		tokens:    1 + rnd.IntN(2*l.Tokens),
		first:     rnd.IntN(len(l.Entries)),
	}
}

func (l *Generator) one(ctx context.Context, q request) {
	if q.booking {
		l.tally(&q, l.book(ctx, &q))

		return
	}

	l.tally(&q, l.draft(ctx, &q))
}
