// Package entry implements the entry role: it accepts HTTP requests of callers, runs
// the exchange of each request with agents and control VMs, and returns a complete
// answer or a refusal with a correct verdict. The decisions are made by the packages
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
	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/quarantine"
	"github.com/parsleygate/parsleygate/internal/retries"
	"github.com/parsleygate/parsleygate/internal/routing"
	"github.com/parsleygate/parsleygate/internal/shares"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// View is what the entry reads from the current configuration.
type View struct {
	Version uint64
	// ValidUntil is when the lease of this view expires.
	ValidUntil time.Time
	Service    func(name string) *wire.Service
	Workspace  func(name string) *wire.Workspace
	// Agent returns the node of an agent, with its current address.
	Agent func(id string) *wire.Node
}

// Limits bound the requests of callers.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes bound the size of a request.
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// MaxRecordedBytes bounds an answer that is recorded for resends with the same key.
	MaxRecordedBytes int
	// DefaultTimeout applies to callers that send no timeout. MaxTimeout bounds the
	// timeouts of all callers.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
}

// DefaultLimits returns the limits that apply unless the settings override them.
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

// Entry is an entry process. Its exported fields must be set before Run.
type Entry struct {
	ID     string
	Zone   string
	Region string
	// Listener accepts the connections of callers.
	Listener net.Listener
	// MaxConnections bounds these connections; zero means no limit. Bounds has the memory for their requests.
	MaxConnections int
	Bounds         callers.Bounds
	Agents         *agentclient.Client
	Chooser        *routing.Chooser
	Budget         *retries.Budget
	View           func() View
	// TrialShare returns this entry's share in the trials of requests that are held back; all of them if
	// nil. OnTargetEnd, if set, is called when other entries need what EndsSince returns at once.
	TrialShare  func(quarantine.Part) shares.Share
	OnTargetEnd func()
	Claim       func(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimResponse, error)
	Settle      func(ctx context.Context, r *wire.SettleRequest) (*wire.SettleResponse, error)
	Limits      Limits
	// ShutdownDelay is the time from /ready reporting 503 until the listener closes, so
	// that the platform's balancer can notice. During this time new requests
	// are refused as Stopping.
	ShutdownDelay time.Duration
	Logger        *slog.Logger
	Seed          uint64
	mu            sync.Mutex
	queues        map[string]*queue
	credits       sync.Map // agent ID to the last granted *wire.Credit
	nextItemID    atomic.Uint64
	stopping      atomic.Bool
	inFlight      sync.WaitGroup
	counters      counters
	guard         requestGuard
}

const (
	// headerTimeout bounds how long a caller may take to send the header of a request, and idleTimeout
	// how long its connection may have none.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxStreams bounds the requests at once on a connection of HTTP/2, maxFrameBytes its frames, and
	// maxUnreadBytes the bodies that have arrived and are not read.
	maxStreams     = 100
	maxFrameBytes  = 16 << 10
	maxUnreadBytes = 128 << 10
)

// tickInterval is the interval at which queues are updated and credits renewed.
const tickInterval = 50 * time.Millisecond

// Run serves callers until ctx ends. Then it reports not ready, refuses new requests as
// NotRun and returns when the last request in flight has ended.
func (e *Entry) Run(ctx context.Context) error {
	listener := e.listen()
	server := listener.Server(e.handler())
	server.IdleTimeout = idleTimeout // for HTTP/2
	server.MaxHeaderBytes = e.Limits.MaxHeaderBytes
	server.Protocols = new(http.Protocols)
	server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReadFrameSize: maxFrameBytes,
		MaxReceiveBufferPerConnection: maxUnreadBytes, MaxReceiveBufferPerStream: maxUnreadBytes,
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	server.Protocols.SetUnencryptedHTTP2(true)

	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()

	tickCtx, stopTicker := context.WithCancel(context.WithoutCancel(ctx))
	defer stopTicker()

	go e.runTicker(tickCtx)

	e.Logger.Info("Serving callers.", "address", e.Listener.Addr().String(), "zone", e.Zone)

	select {
	case err := <-serveErr:
		return eris.Wrap(err, "serve callers")
	case <-ctx.Done():
	}

	return e.drain(server)
}

// listen bounds the connections of callers.
func (e *Entry) listen() *callers.Listener {
	l := e.Bounds.Listen("Callers", e.Listener)
	l.MaxConnections = e.MaxConnections
	l.HTTP2 = true
	l.Limits = func() callers.Limits {
		return callers.Limits{
			MaxHeaderBytes: e.Limits.MaxHeaderBytes, HeaderTimeout: headerTimeout, BodyTimeout: e.Limits.DefaultTimeout,
			IdleTimeout: idleTimeout, WriteTimeout: e.Limits.WriteTimeout,
		}
	}

	return l
}

// Stopping reports whether the entry is stopping and refuses new requests.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

func (e *Entry) drain(server *http.Server) error {
	e.stopping.Store(true)
	e.Logger.Info("Stopping: refusing new requests.", "inFlight", e.counters.inFlight.Load())
	time.Sleep(e.ShutdownDelay)

	// Shutdown waits for all answers in flight without a time limit, since each request
	// has its own deadline.
	err := server.Shutdown(context.Background())

	e.inFlight.Wait()
	e.Agents.Close()
	e.Logger.Info("Stopped: all requests have ended.")

	return eris.Wrap(err, "stop serving")
}

// runTicker periodically updates the queues' capacity, expires waiting requests and
// renews credits.
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

// requestCredit requests a credit from an agent and applies the response.
func (e *Entry) requestCredit(ctx context.Context, req routing.CreditRequest) error {
	sent := time.Now()

	r, err := e.Agents.Grant(ctx, req.Address, &wire.GrantRequest{
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

// applyCredit records a credit. Its remaining time counts from when the request was
// sent, so that network delay can only shorten it. retryAt is when the agent advises to
// request again, or zero if it does not.
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
		Cold: l.GetCold(), Draining: l.GetLeaving(),
	})
}

// newRand returns a random source. Sources of one entry must have different values of
// seq.
func (e *Entry) newRand(seq uint64) *rand.Rand {
	return rand.New(rand.NewPCG(e.Seed, seq))
}
