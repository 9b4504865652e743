// Package agent is the process beside each target through which all requests to the target
// pass. It admits requests, relays the responses, keeps the outcomes of attempts, and forwards
// orders to the engine.
package agent

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"

	"github.com/parsleygate/parsleygate/internal/admission"
	"github.com/parsleygate/parsleygate/internal/callers"
	"github.com/parsleygate/parsleygate/internal/identity"
	"github.com/parsleygate/parsleygate/internal/orders"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// Agent is the proxy of one target. Set the exported fields before Run.
type Agent struct {
	// ID identifies the agent and its target, across restarts.
	ID   string
	Zone string
	// Incarnation is unique to each start, and higher than any earlier one.
	Incarnation uint64
	// Address is the listen address if Listener is nil.
	Address  netip.AddrPort
	Listener net.Listener
	// Identity is that of this process, nil for plaintext.
	Identity *identity.Identity
	// Bounds are those of the clients of both listeners.
	Bounds callers.Bounds
	// AnnounceListener accepts announcements only, in addition to Listener. It may be nil.
	AnnounceListener net.Listener
	// Mount adds further services to the routes of Listener. It may be nil.
	Mount func(chi.Router)
	// Authorize, if set, wraps the handler of Listener and decides who may use which paths.
	Authorize func(http.Handler) http.Handler
	// View returns the current control configuration. It is called for each request, from many
	// goroutines, and must not block.
	View func() admission.View
	// HighestOrder returns the highest fencing number that the control configuration has
	// recorded for this target. It is nil if the configuration does not record it.
	HighestOrder func() (number uint64, known bool)
	// SendOrder sends an order to the engine. If nil, the order is posted as JSON. An error
	// with the verdict NotRun means that the order never reached the engine.
	SendOrder func(ctx context.Context, to netip.AddrPort, o orders.Order) (orders.Result, error)
	// Logger and Metrics are optional.
	Logger   *slog.Logger
	Metrics  metrics.Registry
	Settings Settings
	// Now is the clock. The default is time.Now.
	Now func() time.Time

	prepareOnce sync.Once
	admitter    admitter
	orders      orderExecutor
	target      targetState
	counters    counters
	client      targetClient
	// pendingBytes limits the total size of the requests that are being read or in flight.
	pendingBytes  *semaphore.Weighted
	server        *http.Server
	listenAddress netip.AddrPort
	listening     chan struct{}
	drained       chan struct{}
	// answerQueriesUntil is the time, in Unix nanoseconds, until which a draining agent stays
	// up for queries about undelivered responses.
	answerQueriesUntil atomic.Int64
	// openExchanges counts the exchanges whose last frame has not been written yet.
	openExchanges atomic.Int64
	shutdownOnce  sync.Once
}

// prepare sets defaults and creates the internal state.
func (a *Agent) prepare() {
	a.prepareOnce.Do(func() {
		if a.Now == nil {
			a.Now = time.Now
		}

		if a.Logger == nil {
			a.Logger = slog.New(slog.DiscardHandler)
		}

		a.Logger = a.Logger.With("part", "agent", "agent", a.ID)

		if a.Metrics == nil {
			a.Metrics = metrics.NewRegistry()
		}

		a.Settings.applyDefaults()
		a.counters = newCounters(a.Metrics)
		a.client = newTargetClient(a.Settings, a.Bounds.Memory)
		a.pendingBytes = semaphore.NewWeighted(int64(a.Settings.MaxPendingBytes))
		a.listening = make(chan struct{})
		a.drained = make(chan struct{})
		a.admitter.view = a.View
		a.admitter.core = admission.Core{
			AgentID:     a.ID,
			Incarnation: a.Incarnation,
			Started:     a.Now(),
			Settings:    a.Settings.Admission,
		}
		a.orders.core = orders.Core{AgentID: a.ID, Incarnation: a.Incarnation, UnsettledTimeout: a.Settings.UnsettledOrderTimeout}
	})
}

// Run serves until Drain has finished or ctx ends. The end of ctx cancels all requests in
// flight.
func (a *Agent) Run(ctx context.Context) error {
	a.prepare()

	ln, err := a.listen(ctx)
	if err != nil {
		return err
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	bounded := a.Bounds.Listen("Entries", ln)
	bounded.Encrypted = a.Identity != nil
	a.server = bounded.Server(a.handler())
	a.server.BaseContext = func(net.Listener) context.Context { return ctx }
	withConn := a.server.ConnContext
	a.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return setUserTimeout(a.Settings.AckTimeout)(withConn(ctx, c), c)
	}
	close(a.listening)
	a.Logger.Info("Listening for connections.", "address", a.listenAddress, "incarnation", a.Incarnation)

	stopAnnounce := a.serveAnnouncements()
	defer stopAnnounce()

	serveErr := make(chan error, 1)
	go func() { serveErr <- a.server.Serve(identity.MaybePeerListener(a.Identity, bounded)) }()

	tickerDone := make(chan struct{})

	go func() {
		defer close(tickerDone)
		a.tick(ctx)
	}()

	err = a.wait(ctx, serveErr)

	cancel()
	<-tickerDone
	a.client.closeIdle()

	return err
}

// wait returns when the server has ended because of Drain, ctx or an error.
func (a *Agent) wait(ctx context.Context, serveErr <-chan error) error {
	select {
	case err := <-serveErr:
		if !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}

		<-a.drained

		return nil
	case <-ctx.Done():
		_ = a.server.Close()

		if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve")
		}

		return nil
	}
}

func (a *Agent) listen(ctx context.Context) (net.Listener, error) {
	ln := a.Listener

	if ln == nil {
		var lc net.ListenConfig

		var err error
		if ln, err = lc.Listen(ctx, "tcp", a.Address.String()); err != nil {
			return nil, eris.Wrapf(err, "listen on %s", a.Address)
		}
	}

	a.listenAddress = a.Address
	if addr, ok := ln.Addr().(*net.TCPAddr); ok {
		a.listenAddress = addr.AddrPort()
	}

	return ln, nil
}

// tick passes the time to the admission core once per TickInterval.
func (a *Agent) tick(ctx context.Context) {
	t := time.NewTicker(a.Settings.TickInterval)
	defer t.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			a.admitter.tick(a.Now())
		}
	}
}

// Node returns the agent's membership record.
func (a *Agent) Node() *wire.Node {
	a.prepare()

	t := a.target.load()
	n := &wire.Node{
		ID:          a.ID,
		Kind:        wire.NodeKind_NodeAgent,
		Zone:        a.Zone,
		Address:     a.address().String(),
		Incarnation: a.Incarnation,
		Leaving:     a.admitter.draining(),
	}

	if t != nil {
		n.Service = t.Service
		n.BootID = t.BootID
		n.Capacity = t.Capacity
		n.Group = t.Group
		n.Rank = t.Rank
	}

	return n
}

// Service returns the service of the target, or "" before the first announcement. It is cheap
// enough to be called by View.
func (a *Agent) Service() string {
	if t := a.target.load(); t != nil {
		return t.Service
	}

	return ""
}

// address returns the actual listen address, or the configured one before the agent listens.
func (a *Agent) address() netip.AddrPort {
	select {
	case <-a.listening:
		return a.listenAddress
	default:
		return a.Address
	}
}

// Ready returns a channel that is closed once the agent listens and its address is known.
func (a *Agent) Ready() <-chan struct{} {
	a.prepare()

	return a.listening
}
