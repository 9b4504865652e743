// Package rank runs, in an agent, the participant of one rank in switches of its
// group's expert map. One goroutine owns the participant, a second one sends orders to
// the engine in sequence, and maps are loaded concurrently with both.
package rank

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleygate/parsleygate/internal/answers"
	"github.com/parsleygate/parsleygate/internal/expertmap"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	tickInterval       = 50 * time.Millisecond
	enginePollInterval = 2 * tickInterval
	peerQueryInterval  = 500 * time.Millisecond
	statusInterval     = time.Second
	callTimeout        = time.Second
	loadTimeout        = 5 * time.Minute
	retryDelay         = 100 * time.Millisecond
	eventBuffer        = 256
	maxOrderMaps       = 4
	maxIdleEngineConns = 1
	// maxEngineHeaderBytes bounds the head of an answer of the engine.
	maxEngineHeaderBytes = 16 << 10
	// engineRestartBits is the number of low bits of an incarnation that count the
	// engine's restarts.
	engineRestartBits = 20
)

// Rank runs the participant of one rank. Its exported fields must be set before Run.
type Rank struct {
	Group  string
	Number int
	// AgentStartSeconds is the agent's incarnation, in seconds.
	AgentStartSeconds uint64
	// EngineAddress returns the address that the engine announced.
	EngineAddress func() netip.AddrPort
	// InitialMap returns the map that follows from the group's declared shape; nil
	// while the group is not declared.
	InitialMap func() []byte
	// PeerAddresses returns the addresses of the agents of the group's other ranks.
	PeerAddresses func() []netip.AddrPort
	// QueryPeer asks a peer for the outcome of a switch.
	QueryPeer func(ctx context.Context, peer netip.AddrPort, q *wire.RankQuestion) (*wire.RankAnswer, error)
	// CallEngine sends one HTTP request to the engine. The default is an HTTP client
	// that belongs to the rank.
	CallEngine func(*http.Request) (*http.Response, error)
	Logger     *slog.Logger

	participant *expertmap.Participant
	events      chan event
	jobs        jobQueue
	goroutines  sync.WaitGroup
	// bootID is the engine's boot ID that the participant's state refers to, "" before
	// the engine's first report.
	bootID string
	// lastRun is the last Run for that boot; nil if the rank does not know which map
	// version is in use.
	lastRun *expertmap.Action

	lastStatus  atomic.Pointer[wire.RankStatus]
	engineState atomic.Pointer[EngineState]
	orderMaps   atomic.Pointer[mapsOfOrder]
}

// event runs in Run's goroutine. Its ctx is Run's, so that work started by a request
// outlives the request and ends with the rank.
type event func(ctx context.Context, now time.Time)

// mapsOfOrder holds the maps of an order, and the log index of the order's record.
type mapsOfOrder struct {
	asOf uint64
	maps []*wire.GroupMap
}

// Init prepares the rank. It is called once, before Run and before any RPC.
func (r *Rank) Init() {
	r.participant = &expertmap.Participant{
		Rank: r.Number, Incarnation: r.incarnation(time.Now()), StatusInterval: statusInterval, PeerQueryInterval: peerQueryInterval,
	}
	r.events = make(chan event, eventBuffer)
	r.jobs.notEmpty = make(chan struct{}, 1)
	r.orderMaps.Store(&mapsOfOrder{})
}

// incarnation returns a number that is higher at each start of the agent. Whole seconds
// are too coarse: an agent that restarted within a second would keep the incarnation of
// its previous process, which had a confirmed record, and would never be sent one.
func (r *Rank) incarnation(now time.Time) uint64 {
	started := time.Unix(int64(r.AgentStartSeconds), 0)
	if now.Before(started) {
		now = started
	}

	return uint64(now.UnixMilli()) << engineRestartBits
}

// Run runs the participant until ctx ends. The engine then continues by the orders that
// it has received.
func (r *Rank) Run(ctx context.Context) error {
	if r.CallEngine == nil {
		client := &http.Client{Transport: &answers.Transport{Base: &http.Transport{
			MaxIdleConnsPerHost: maxIdleEngineConns, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxEngineHeaderBytes,
		}}}
		defer client.CloseIdleConnections()

		r.CallEngine = client.Do
	}

	defer r.goroutines.Wait()
	r.goroutines.Go(func() { r.sendOrders(ctx) })
	r.goroutines.Go(func() { r.pollEngine(ctx) })

	tick := time.NewTicker(tickInterval)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-r.events:
			event(ctx, time.Now())
		case now := <-tick.C:
			r.perform(ctx, r.participant.Tick(now))
		}
	}
}

func (r *Rank) postEvent(ctx context.Context, e event) {
	select {
	case r.events <- e:
	case <-ctx.Done():
	}
}

func (r *Rank) perform(ctx context.Context, actions []expertmap.Action) {
	for _, a := range actions {
		switch a.Kind {
		case expertmap.ActionStatus:
			r.lastStatus.Store(expertmap.StatusToWire(a.Status))
		case expertmap.ActionQueryPeers:
			r.queryPeers(ctx)
		case expertmap.ActionLoad:
			j := r.newJob(a)
			r.goroutines.Go(func() { r.load(ctx, j) })
		case expertmap.ActionHold, expertmap.ActionRun, expertmap.ActionDrop:
			r.recordRun(a)
			r.jobs.add(r.newJob(a))
		default:
		}
	}
}

func (r *Rank) recordRun(a expertmap.Action) {
	switch {
	case a.Kind == expertmap.ActionRun:
		r.lastRun = &a
	case a.Kind == expertmap.ActionHold && a.Step == 0:
		r.lastRun = nil
	}
}

// newJob binds an action to the boot that the participant's state refers to. The boot
// read last must not be used: until the participant has been informed of a restart, its
// orders are based on the state of the previous process and would reach the new one.
func (r *Rank) newJob(a expertmap.Action) *job {
	c := &engineClient{doRequest: r.CallEngine, address: r.EngineAddress(), bootID: r.bootID, placement: r.placement}

	return &job{action: a, bootID: r.bootID, engine: c.actions()}
}

func (r *Rank) placement(version uint64) []byte {
	if version == 1 {
		return r.InitialMap()
	}

	for _, m := range r.orderMaps.Load().maps {
		if m.GetVersion() == version {
			return m.GetPlacement()
		}
	}

	return nil
}

func (r *Rank) load(ctx context.Context, j *job) {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()

	a := j.action

	err := j.engine.Do(loadCtx, a)
	if err != nil {
		r.Logger.Debug("Loading an expert map into the engine failed.", "group", r.Group, "version", a.Version, "error", err)
		waitBeforeRetry(ctx)
	}

	r.postEvent(ctx, func(ctx context.Context, now time.Time) {
		// A map that was loaded into a previous engine process is lost.
		if r.bootID == j.bootID {
			r.perform(ctx, r.participant.Loaded(now, a.Version, err == nil))
		}
	})
}

func (r *Rank) queryPeers(ctx context.Context) {
	for _, peer := range r.PeerAddresses() {
		r.goroutines.Go(func() {
			queryCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()

			a, err := r.QueryPeer(queryCtx, peer, &wire.RankQuestion{Group: r.Group, Rank: uint32(r.Number)})
			if err != nil || a.GetRecord() == nil {
				return
			}

			r.postEvent(ctx, func(ctx context.Context, now time.Time) {
				r.perform(ctx, r.participant.HandlePeerRecord(now, expertmap.RecordFromWire(a.GetRecord())))
			})
		})
	}
}

// pollEngine polls the engine's state until ctx ends.
func (r *Rank) pollEngine(ctx context.Context) {
	tick := time.NewTicker(enginePollInterval)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}

		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		s, err := (&engineClient{doRequest: r.CallEngine, address: r.EngineAddress()}).state(callCtx)

		cancel()

		if err == nil {
			r.postEvent(ctx, func(ctx context.Context, now time.Time) { r.handleEngineState(ctx, now, s) })
		}
	}
}

// handleEngineState processes a polled state of the engine.
func (r *Rank) handleEngineState(ctx context.Context, now time.Time, s *EngineState) {
	restarted := r.bootID != "" && r.bootID != s.BootID
	r.bootID = s.BootID
	r.engineState.Store(s)

	if restarted {
		r.lastRun = nil
		r.perform(ctx, r.participant.EngineRestarted(now))
	}

	if s.Joined > 0 {
		r.perform(ctx, r.participant.Joined(expertmap.Step(s.Joined)))
	}

	if s.Missing > 0 {
		r.perform(ctx, r.participant.Missing(expertmap.Version(s.Missing)))
	}
}
