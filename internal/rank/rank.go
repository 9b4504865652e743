// Package rank is the agent's shell around the core that carries a rank through
// switches of its group's expert map. One goroutine owns the core; a second
// carries orders to the engine in their order; loads run beside both.
package rank

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/parsleygate/parsleygate/internal/expertmap"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	tickEvery    = 50 * time.Millisecond
	askAfter     = 500 * time.Millisecond
	statusEvery  = time.Second
	callTimeout  = time.Second
	loadTimeout  = 5 * time.Minute
	retryPause   = 100 * time.Millisecond
	maxJobs      = 64
	eventBuffer  = 256
	lowBits      = 32
	maxMapsKept  = 4
	peerIdleConn = 1
)

// Rank carries one rank. Its exported fields are set before Run.
type Rank struct {
	Group  string
	Number int
	// Started is the agent's incarnation, in seconds.
	Started uint64
	// Address returns where the engine is, as it announced itself.
	Address func() netip.AddrPort
	// FirstMap returns the map that follows from the group's shape; nil while
	// the group is not declared.
	FirstMap func() []byte
	// Peers returns the agents of the group's other ranks.
	Peers func() []netip.AddrPort
	// AskPeer asks a peer for the end of a switch.
	AskPeer func(ctx context.Context, peer netip.AddrPort, q *wire.RankQuestion) (*wire.RankAnswer, error)
	Logger  *slog.Logger

	core   *expertmap.Participant
	events chan func(now time.Time)
	jobs   chan job
	status atomic.Pointer[wire.RankStatus]
	state  atomic.Pointer[EngineState]
	maps   atomic.Pointer[[]*wire.GroupMap]
	client *http.Client
}

// job is one order for the engine.
type job struct {
	action expertmap.Action
	engine *expertmap.Engine
}

// Init prepares the rank. It is called once, before Run and the service.
func (r *Rank) Init() {
	r.core = &expertmap.Participant{
		Rank: r.Number, Incarnation: r.Started << lowBits, StatusEvery: statusEvery, AskAfter: askAfter,
	}
	r.events = make(chan func(time.Time), eventBuffer)
	r.jobs = make(chan job, maxJobs)
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: peerIdleConn, IdleConnTimeout: time.Minute}}
	r.maps.Store(&[]*wire.GroupMap{})
}

// Run carries the rank until ctx ends. The engine goes on by its standing orders.
func (r *Rank) Run(ctx context.Context) error {
	go r.carry(ctx)
	go r.watch(ctx)

	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	defer r.client.CloseIdleConnections()

	for {
		select {
		case <-ctx.Done():
			return nil
		case event := <-r.events:
			event(time.Now())
		case now := <-tick.C:
			r.do(ctx, r.core.Tick(now))
		}
	}
}

func (r *Rank) post(ctx context.Context, event func(now time.Time)) {
	select {
	case r.events <- event:
	case <-ctx.Done():
	}
}

func (r *Rank) do(ctx context.Context, actions []expertmap.Action) {
	for _, a := range actions {
		switch a.Kind {
		case expertmap.ActionStatus:
			r.status.Store(expertmap.StatusToWire(a.Status))
		case expertmap.ActionAsk:
			r.askPeers(ctx)
		case expertmap.ActionLoad:
			go r.load(ctx, a, r.engine())
		case expertmap.ActionHold, expertmap.ActionRun, expertmap.ActionDrop:
			r.queue(a)
		default:
		}
	}
}

// queue hands an order to the carrying goroutine. A full queue means that the
// engine takes nothing; the coordinator repeats what matters.
func (r *Rank) queue(a expertmap.Action) {
	select {
	case r.jobs <- job{action: a, engine: r.engine()}:
	default:
		r.Logger.Warn("engine takes no orders", "group", r.Group)
	}
}

// engine reaches the boot of the engine that was last heard of.
func (r *Rank) engine() *expertmap.Engine {
	c := &engineClient{client: r.client, address: r.Address(), placement: r.placement}
	if s := r.state.Load(); s != nil {
		c.bootID = s.BootID
	}

	return c.engine()
}

func (r *Rank) placement(version uint64) []byte {
	if version == 1 {
		return r.FirstMap()
	}

	for _, m := range *r.maps.Load() {
		if m.GetVersion() == version {
			return m.GetPlacement()
		}
	}

	return nil
}

// carry gives the engine its orders, one after the other.
func (r *Rank) carry(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case j := <-r.jobs:
			r.carryOne(ctx, j)
		}
	}
}

func (r *Rank) carryOne(ctx context.Context, j job) {
	err := r.call(ctx, j)

	switch j.action.Kind {
	case expertmap.ActionHold:
		fence := j.action.Fence

		r.post(ctx, func(now time.Time) { r.do(ctx, r.core.Held(now, fence, err == nil)) })
	case expertmap.ActionRun:
		// A hold that is not lifted would hold the whole group. A later order
		// supersedes this one.
		for err != nil && ctx.Err() == nil && len(r.jobs) == 0 && r.known() {
			time.Sleep(retryPause)

			err = r.call(ctx, j)
		}
	default:
	}

	if err != nil {
		r.Logger.Debug("order failed", "group", r.Group, "error", err)
	}
}

func (r *Rank) call(ctx context.Context, j job) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return j.engine.Do(ctx, j.action)
}

// known reports whether the rank still knows which map rules: an engine that has
// restarted must not be told by what was known before.
func (r *Rank) known() bool {
	s := r.status.Load()

	return s != nil && s.GetKnown()
}

func (r *Rank) load(ctx context.Context, a expertmap.Action, engine *expertmap.Engine) {
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()

	err := engine.Do(loadCtx, a)
	if err != nil {
		r.Logger.Debug("map not loaded", "group", r.Group, "version", a.Version, "error", err)
		time.Sleep(retryPause)
	}

	r.post(ctx, func(now time.Time) { r.do(ctx, r.core.Loaded(now, a.Version, err == nil)) })
}

func (r *Rank) askPeers(ctx context.Context) {
	for _, peer := range r.Peers() {
		go func() {
			askCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()

			a, err := r.AskPeer(askCtx, peer, &wire.RankQuestion{Group: r.Group, Rank: uint32(r.Number)})
			if err != nil || a.GetRecord() == nil {
				return
			}

			r.post(ctx, func(now time.Time) {
				r.do(ctx, r.core.Told(now, expertmap.RecordFromWire(a.GetRecord())))
			})
		}()
	}
}

// watch reads the engine's state again and again.
func (r *Rank) watch(ctx context.Context) {
	tick := time.NewTicker(2 * tickEvery)
	defer tick.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}

		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		s, err := (&engineClient{client: r.client, address: r.Address()}).state(callCtx)

		cancel()

		if err == nil {
			r.heard(ctx, s)
		}
	}
}

func (r *Rank) heard(ctx context.Context, s *EngineState) {
	former := r.state.Swap(s)
	restarted := former != nil && former.BootID != s.BootID

	r.post(ctx, func(now time.Time) {
		if restarted {
			r.do(ctx, r.core.EngineRestarted(now))
		}

		if s.Joined > 0 {
			r.do(ctx, r.core.Joined(expertmap.Step(s.Joined)))
		}

		if s.Missing > 0 {
			r.do(ctx, r.core.Missing(expertmap.Version(s.Missing)))
		}
	})
}
