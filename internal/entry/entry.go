// Package entry is the shell of the entry role: it speaks HTTP with callers,
// runs each request's exchange against agents and control VMs, and answers
// whole or refuses truthfully. The decisions are in the cores that it calls:
// exchange, routing, fairness and retries.
package entry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/parsleygate/parsleygate/internal/agentclient"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// View is what the entry reads from the configuration in force.
type View struct {
	Version uint64
	// ValidUntil is when the freshness lease ends.
	ValidUntil time.Time
	Service    func(name string) *wire.Service
	Workspace  func(name string) *wire.Workspace
	// Agent returns the address at which an agent is reached now.
	Agent func(id string) *wire.Node
}

// Limits bound what one caller may ask of an entry.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound a request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// MaxRecordedBytes bounds the answer that is kept for resends of a key.
	MaxRecordedBytes int
	// DefaultTimeout is the deadline of a caller that names none, MaxTimeout the longest.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// WriteTimeout is how long one write to a caller may take.
	WriteTimeout time.Duration
}

// DefaultLimits are the limits where the settings say nothing.
func DefaultLimits() Limits {
	return Limits{
		MaxHeaderBytes:   64 << 10,
		MaxBodyBytes:     4 << 20,
		MaxRecordedBytes: 64 << 10,
		DefaultTimeout:   time.Minute,
		MaxTimeout:       10 * time.Minute,
		WriteTimeout:     30 * time.Second,
	}
}

// Entry is one entry process. Its exported fields are set before Run.
type Entry struct {
	ID     string
	Zone   string
	Region string
	// Listener is where callers connect.
	Listener net.Listener
	Agents   *agentclient.Client
	Chooser  *routing.Chooser
	Budget   *retries.Budget
	View     func() View
	Claim    func(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Settle   func(ctx context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error)
	Limits   Limits
	// ShutdownDelay is how long the entry goes on taking requests after it said on
	// /ready that it leaves, so that the platform's balancer can notice.
	ShutdownDelay time.Duration
	Logger        *slog.Logger
	Seed          uint64
	mu            sync.Mutex
	queues        map[string]*queue
	credits       sync.Map // agent id to the *wire.Credit granted last
	nextItemID    atomic.Uint64
	stopping      atomic.Bool
	inFlight      sync.WaitGroup
	counters      counters
}

// tickInterval is the time between two rounds of housekeeping.
const tickInterval = 50 * time.Millisecond

// Run serves callers until ctx ends, then stops gracefully: it says that it
// leaves, refuses new requests as not run, and ends when the last one in flight has.
func (e *Entry) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: 10 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    e.Limits.MaxHeaderBytes,
		Protocols:         new(http.Protocols),
		ErrorLog:          slog.NewLogLogger(e.Logger.Handler(), slog.LevelDebug),
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	server.Protocols.SetUnencryptedHTTP2(true)

	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(e.Listener) }()

	tickCtx, stopTicker := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTicker()

	go e.runTicker(tickCtx)

	e.Logger.Info("callers welcome", "address", e.Listener.Addr().String(), "zone", e.Zone)

	select {
	case err := <-serveErr:
		return eris.Wrap(err, "serve callers")
	case <-ctx.Done():
	}

	return e.drain(server)
}

// Stopping reports whether the entry refuses new requests.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

func (e *Entry) drain(server *http.Server) error {
	e.stopping.Store(true)
	e.Logger.Info("leaving", "inFlight", e.counters.inFlight.Load())
	time.Sleep(e.ShutdownDelay)

	// Shutdown waits for every answer in flight; no deadline cuts one off, since
	// each has its own.
	err := server.Shutdown(context.Background())

	e.inFlight.Wait()
	e.Agents.Close()
	e.Logger.Info("left")

	return eris.Wrap(err, "stop serving")
}

// runTicker lets queues see new room and passed deadlines, and renews credits.
func (e *Entry) runTicker(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			e.tickQueues(now)
			e.renewCredits(ctx, now)
		}
	}
}

func (e *Entry) renewCredits(ctx context.Context, now time.Time) {
	for _, req := range e.Chooser.CreditRequests(now) {
		go func() { _ = e.requestCredit(ctx, req) }()
	}
}

// requestCredit asks an agent for a credit and takes in what it says.
func (e *Entry) requestCredit(ctx context.Context, req routing.CreditRequest) error {
	sent := time.Now()

	r, err := e.Agents.Grant(ctx, req.Addr, &wire.GrantRequest{
		EntryID: e.ID, Wanted: uint32(req.Wanted), Using: uint32(req.Using),
	})
	if err != nil {
		return err
	}

	var retryAt time.Time
	if after := r.GetRetryAfterMillis(); after > 0 {
		retryAt = sent.Add(time.Duration(after) * time.Millisecond)
	}

	e.applyCredit(sent, req.Service, r.GetCredit(), retryAt)
	e.applyLoad(sent, req.AgentID, r.GetLoad())

	return nil
}

// applyCredit counts a credit's remaining time from when its ask was sent, so
// that delay on the way only shortens it. AgainAt is when the agent wants to be
// asked again; zero where it did not say.
func (e *Entry) applyCredit(sent time.Time, service string, c *wire.Credit, retryAt time.Time) {
	if c == nil {
		return
	}

	e.Chooser.ApplyCredit(routing.CreditChanged{
		RetryAt:     retryAt,
		AgentID:     c.GetAgentID(),
		Incarnation: c.GetIncarnation(),
		Slots:       int(c.GetSlots()),
		ExpiresAt:   sent.Add(time.Duration(c.GetRemainingMillis()) * time.Millisecond),
	})
	e.credits.Store(c.GetAgentID(), c)

	if c.GetSlots() > 0 {
		now := time.Now()
		e.queue(service).setCapacity(now, e.Chooser.Capacity(now, service))
	}
}

func (e *Entry) applyLoad(takenAt time.Time, agentID string, l *wire.Load) {
	if l == nil {
		return
	}

	e.Chooser.ApplyReport(routing.ReportReceived{
		AgentID: agentID, Incarnation: l.GetCredit().GetIncarnation(), TakenAt: takenAt,
		InFlight: int(l.GetInFlight()), Limit: int(l.GetLimit()), Queued: int(l.GetQueued()),
		Cold: l.GetCold(), Leaving: l.GetLeaving(),
	})
}

// newRand returns a source for one core; seq keeps the sources of one entry apart.
func (e *Entry) newRand(seq uint64) *rand.Rand {
	return rand.New(rand.NewPCG(e.Seed, seq))
}
