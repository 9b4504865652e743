// Package rank is the agent's shell around the core that carries a rank through
// switches of its group's expert map. One goroutine owns the core; a second
// carries orders to the engine in their order; loads run beside both.
package rank

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleygate/parsleygate/internal/expertmap"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	tickEvery    = 50 * time.Millisecond
	watchEvery   = 2 * tickEvery
	askAfter     = 500 * time.Millisecond
	statusEvery  = time.Second
	callTimeout  = time.Second
	loadTimeout  = 5 * time.Minute
	retryPause   = 100 * time.Millisecond
	eventBuffer  = 256
	maxMapsKept  = 4
	peerIdleConn = 1
	// restartBits is how many low bits of an incarnation count the engine's restarts.
	restartBits = 20
)

// Rank carries one rank. Its exported fields are set before Run.
type Rank struct {
	Group  string
	Number int
	// AgentStartSeconds is the agent's incarnation, in seconds.
	AgentStartSeconds uint64
	// EngineAddress returns where the engine is, as it announced itself.
	EngineAddress func() netip.AddrPort
	// InitialMap returns the map that follows from the group's shape; nil while
	// the group is not declared.
	InitialMap func() []byte
	// PeerAddresses returns the agents of the group's other ranks.
	PeerAddresses func() []netip.AddrPort
	// QueryPeer asks a peer for the end of a switch.
	QueryPeer func(ctx context.Context, peer netip.AddrPort, q *wire.RankQuestion) (*wire.RankAnswer, error)
	// CallEngine sends one HTTP request to the engine; nil stands for an HTTP
	// client of the rank's own.
	CallEngine func(*http.Request) (*http.Response, error)
	Logger     *slog.Logger

	core   *expertmap.Participant
	events chan event
	jobs   jobQueue
	work   sync.WaitGroup
	// boot is the engine's boot that the core knows of, "" before the first word.
	boot string
	// lastRun is the last Run for that boot; nil where the rank does not know
	// which map rules.
	lastRun *expertmap.Action

	status atomic.Pointer[wire.RankStatus]
	state  atomic.Pointer[EngineState]
	maps   atomic.Pointer[keptMaps]
}

// event runs in Run's goroutine; ctx is Run's, so that what follows from a call
// outlives the call and ends with the rank.
type event func(ctx context.Context, now time.Time)

// keptMaps are the maps that came with an order, and how far the log was then.
type keptMaps struct {
	asOf uint64
	maps []*wire.GroupMap
}

// Init prepares the rank. It is called once, before Run and the service.
func (r *Rank) Init() {
	r.core = &expertmap.Participant{
		Rank: r.Number, Incarnation: r.incarnation(time.Now()), StatusInterval: statusEvery, PeerQueryInterval: askAfter,
	}
	r.events = make(chan event, eventBuffer)
	r.jobs.more = make(chan struct{}, 1)
	r.maps.Store(&keptMaps{})
}

// incarnation grows with every start of the agent. Whole seconds would not do:
// an agent that died and was back within one would be taken for its former life,
// which knew which map rules, and would never be told.
func (r *Rank) incarnation(now time.Time) uint64 {
	started := time.Unix(int64(r.AgentStartSeconds), 0)
	if now.Before(started) {
		now = started
	}

	return uint64(now.UnixMilli()) << restartBits
}

// Run carries the rank until ctx ends. The engine goes on by its standing orders.
func (r *Rank) Run(ctx context.Context) error {
	if r.CallEngine == nil {
		client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: peerIdleConn, IdleConnTimeout: time.Minute}}
		defer client.CloseIdleConnections()

		r.CallEngine = client.Do
	}

	defer r.work.Wait()
	r.work.Go(func() { r.carry(ctx) })
	r.work.Go(func() { r.watch(ctx) })

	tick := time.NewTicker(tickEvery)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-r.events:
			event(ctx, time.Now())
		case now := <-tick.C:
			r.do(ctx, r.core.Tick(now))
		}
	}
}

func (r *Rank) post(ctx context.Context, e event) {
	select {
	case r.events <- e:
	case <-ctx.Done():
	}
}

func (r *Rank) do(ctx context.Context, actions []expertmap.Action) {
	for _, a := range actions {
		switch a.Kind {
		case expertmap.ActionStatus:
			r.status.Store(expertmap.StatusToWire(a.Status))
		case expertmap.ActionQueryPeers:
			r.askPeers(ctx)
		case expertmap.ActionLoad:
			j := r.job(a)
			r.work.Go(func() { r.load(ctx, j) })
		case expertmap.ActionHold, expertmap.ActionRun, expertmap.ActionDrop:
			r.note(a)
			r.jobs.add(r.job(a))
		default:
		}
	}
}

func (r *Rank) note(a expertmap.Action) {
	switch {
	case a.Kind == expertmap.ActionRun:
		r.lastRun = &a
	case a.Kind == expertmap.ActionHold && a.Step == 0:
		r.lastRun = nil
	}
}

// job binds an action to the boot of the engine that the core knows of. It is
// not the boot last read: between that and the core's word of a restart, an
// order that follows from what was known before would reach the new process.
func (r *Rank) job(a expertmap.Action) *job {
	c := &engineClient{call: r.CallEngine, address: r.EngineAddress(), bootID: r.boot, placement: r.placement}

	return &job{action: a, boot: r.boot, engine: c.engine()}
}

func (r *Rank) placement(version uint64) []byte {
	if version == 1 {
		return r.InitialMap()
	}

	for _, m := range r.maps.Load().maps {
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
		r.Logger.Debug("map not loaded", "group", r.Group, "version", a.Version, "error", err)
		pause(ctx)
	}

	r.post(ctx, func(ctx context.Context, now time.Time) {
		// What a former process loaded is gone with it.
		if r.boot == j.boot {
			r.do(ctx, r.core.Loaded(now, a.Version, err == nil))
		}
	})
}

func (r *Rank) askPeers(ctx context.Context) {
	for _, peer := range r.PeerAddresses() {
		r.work.Go(func() {
			askCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()

			a, err := r.QueryPeer(askCtx, peer, &wire.RankQuestion{Group: r.Group, Rank: uint32(r.Number)})
			if err != nil || a.GetRecord() == nil {
				return
			}

			r.post(ctx, func(ctx context.Context, now time.Time) {
				r.do(ctx, r.core.HandlePeerRecord(now, expertmap.RecordFromWire(a.GetRecord())))
			})
		})
	}
}

// watch reads the engine's state again and again.
func (r *Rank) watch(ctx context.Context) {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}

		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		s, err := (&engineClient{call: r.CallEngine, address: r.EngineAddress()}).state(callCtx)

		cancel()

		if err == nil {
			r.post(ctx, func(ctx context.Context, now time.Time) { r.heard(ctx, now, s) })
		}
	}
}

// heard takes in the engine's state.
func (r *Rank) heard(ctx context.Context, now time.Time, s *EngineState) {
	restarted := r.boot != "" && r.boot != s.BootID
	r.boot = s.BootID
	r.state.Store(s)

	if restarted {
		r.lastRun = nil
		r.do(ctx, r.core.EngineRestarted(now))
	}

	if s.Joined > 0 {
		r.do(ctx, r.core.Joined(expertmap.Step(s.Joined)))
	}

	if s.Missing > 0 {
		r.do(ctx, r.core.Missing(expertmap.Version(s.Missing)))
	}
}
