package expertgroup_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/expertgroup"
	"github.com/parsleygate/parsleygate/internal/ledger"
	"github.com/parsleygate/parsleygate/internal/placement"
	"github.com/parsleygate/parsleygate/internal/rank"
	"github.com/parsleygate/parsleygate/internal/standin"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	groupName = "g"
	ranks     = 4
	controls  = 3
	// longestHop is the longest way of a message when nothing is wrong.
	longestHop = 8 * time.Millisecond
	stepTime   = 10 * time.Millisecond
)

var (
	errLost    = errors.New("message lost")
	errStalled = errors.New("engine takes nothing")
)

// world is three control VMs with a log in memory, and a lock-step group whose
// ranks have agents. It runs in a synctest bubble.
type world struct {
	t      *testing.T
	ctx    context.Context //nolint:containedctx // ends everything that runs
	group  *standin.Lockstep
	shape  placement.Shape
	router [ranks]http.Handler
	nodes  [controls]*node

	mu     sync.Mutex
	rnd    *rand.Rand
	log    []*wire.GroupEntry
	truth  *ledger.Ledger
	leader int
	agents [ranks]*agent
	orders []*wire.RankOrder
	// faults: the share of messages that are lost, doubled or very late, whether
	// proposals are lost, and until when an engine takes nothing.
	lose, double, late float64
	logLoses           bool
	stalled            [ranks]time.Time
	// holdsUnanswered says that engines hold and their answers are lost.
	holdsUnanswered bool
}

// node is one control VM.
type node struct {
	director *expertgroup.Director
	ledger   *ledger.Ledger
	applied  int
	// cut is until when it gets no entries and its proposals go nowhere, and
	// believes until when it takes itself for the leader.
	cut, believes time.Time
}

// agent is one life of a rank's agent.
type agent struct {
	rank *rank.Rank
	stop context.CancelFunc
}

func newWorld(t *testing.T, seed uint64) *world {
	shape := placement.Shape{Layers: 2, Ranks: ranks, SlotsPerRank: 4, Experts: 8}
	w := &world{truth: ledger.New(ledger.DefaultLimits()), t: t, ctx: t.Context(), shape: shape, rnd: rand.New(rand.NewPCG(seed, 1))}
	w.group = &standin.Lockstep{
		Shape: shape, StepTime: stepTime, Tokens: 4000, Skew: 1.2, DriftEvery: 25, Seed: seed, Speed: []float64{1, 1, 1, 1},
	}
	w.group.Init()

	for n := range ranks {
		r := chi.NewRouter()
		w.group.Routes(r, n)
		w.router[n] = r
	}

	for i := range w.nodes {
		w.nodes[i] = w.newNode(i)
	}

	ctx, stop := context.WithCancel(t.Context())
	w.ctx = ctx

	var wg sync.WaitGroup

	for n := range ranks {
		w.startAgent(n)
	}

	for _, n := range w.nodes {
		wg.Go(func() { _ = n.director.Run(ctx) })
	}

	wg.Go(func() { w.group.Run(ctx) })
	wg.Go(func() { w.deliver(ctx) })
	t.Cleanup(func() {
		stop()
		wg.Wait()
		time.Sleep(time.Minute) // late messages end
	})

	return w
}

func (w *world) newNode(i int) *node {
	n := &node{ledger: ledger.New(ledger.DefaultLimits())}
	s := expertgroup.DefaultSettings()
	s.PlanInterval, s.StageTimeout, s.PrepareTimeout, s.SwitchLead = time.Second, 5*time.Second, 2*time.Second, 20
	s.Planner = placement.Planner{ExpertBytes: 1, StoreRate: 1 << 30, RankRate: 1 << 30, ExpertFraction: 1}
	n.director = &expertgroup.Director{
		IsLeader: func() bool { return w.leads(i) },
		Barrier:  func(ctx context.Context) error { return w.barrier(ctx, i) },
		Propose:  func(ctx context.Context, e *wire.GroupEntry) error { return w.propose(ctx, i, e) },
		Groups: func() []*wire.Group {
			return []*wire.Group{{
				Name: groupName, Ranks: ranks, Experts: uint32(w.shape.Experts),
				Layers: uint32(w.shape.Layers), Slots: uint32(w.shape.SlotsPerRank),
			}}
		},
		RankAgents:  func(string) []expertgroup.RankAgent { return w.places() },
		SendOrder:   w.order,
		FetchReport: w.report,
		Settings:    s,
		Logger:      slog.New(slog.NewTextHandler(w.t.Output(), nil)),
	}
	n.director.Init()
	n.ledger.OnGroupEntry = func(index uint64, e *wire.GroupEntry) { n.director.OnApplied(index, e, n.ledger.Groups()) }

	return n
}

func (w *world) places() []expertgroup.RankAgent {
	var out []expertgroup.RankAgent
	for r := range ranks {
		out = append(out, expertgroup.RankAgent{Rank: r, Address: netip.AddrPortFrom(netip.IPv6Loopback(), uint16(r+1))})
	}

	return out
}

// startAgent starts an agent, in place of the former one.
func (w *world) startAgent(n int) {
	first, err := placement.NewMap(w.shape)
	require.NoError(w.t, err)

	address := w.places()[n].Address
	r := &rank.Rank{
		Group: groupName, Number: n,
		Address:  func() netip.AddrPort { return address },
		FirstMap: first.Encode,
		Peers: func() []netip.AddrPort {
			var out []netip.AddrPort
			for _, p := range w.places() {
				if p.Rank != n {
					out = append(out, p.Address)
				}
			}

			return out
		},
		AskPeer:    w.ask,
		CallEngine: func(q *http.Request) (*http.Response, error) { return w.callEngine(n, q) },
		Logger:     slog.New(slog.DiscardHandler),
	}
	r.Init()

	ctx, stop := context.WithCancel(w.ctx)

	w.mu.Lock()
	if w.agents[n] != nil {
		w.agents[n].stop()
	}

	w.agents[n] = &agent{rank: r, stop: stop}
	w.mu.Unlock()

	go func() { _ = r.Run(ctx) }()
}

func (w *world) at(to netip.AddrPort) *rank.Rank {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.agents[to.Port()-1].rank
}

func (w *world) lead(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.leader = i
}

// leads reports whether control VM i takes itself for the leader.
func (w *world) leads(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	n := w.nodes[i]

	return time.Now().Before(n.believes) || (w.leader == i && !time.Now().Before(n.cut))
}

func (w *world) barrier(ctx context.Context, i int) error {
	w.mu.Lock()
	until := len(w.log)
	cut := time.Now().Before(w.nodes[i].cut)
	w.mu.Unlock()

	for !cut {
		w.mu.Lock()
		done := w.nodes[i].applied >= until
		w.mu.Unlock()

		if done {
			return nil
		}

		if !wait(ctx, time.Millisecond) {
			return ctx.Err()
		}
	}

	return errLost
}

func (w *world) propose(ctx context.Context, i int, e *wire.GroupEntry) error {
	if !wait(ctx, w.hop()) {
		return ctx.Err()
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if w.logLoses || time.Now().Before(w.nodes[i].cut) || w.rnd.Float64() < w.lose {
		return errLost
	}

	w.log = append(w.log, e)
	if w.rnd.Float64() < w.double {
		w.log = append(w.log, e)
	}

	if w.rnd.Float64() < w.lose {
		return errLost // the answer
	}

	return nil
}

// deliver hands the log's entries to the control VMs that are not cut off.
func (w *world) deliver(ctx context.Context) {
	for wait(ctx, 5*time.Millisecond) {
		w.mu.Lock()

		for _, n := range w.nodes {
			if time.Now().Before(n.cut) {
				continue
			}

			for ; n.applied < len(w.log); n.applied++ {
				apply(w.t, n.ledger, w.log)
			}
		}

		w.mu.Unlock()
	}
}

// hop is how long a message is under way; some take very long.
func (w *world) hop() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()

	d := time.Duration(w.rnd.Int64N(int64(longestHop)))
	if w.rnd.Float64() < w.late {
		d *= 500
	}

	return d
}

func (w *world) chance(p func(w *world) float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.rnd.Float64() < p(w)
}

func losing(w *world) float64   { return w.lose }
func doubling(w *world) float64 { return w.double }

func (w *world) order(ctx context.Context, to netip.AddrPort, o *wire.RankOrder) (*wire.RankStatus, error) {
	if o.GetKind() != wire.RankOrderKind_RankOrderNone {
		w.mu.Lock()
		w.orders = append(w.orders, o)
		w.mu.Unlock()
	}

	if w.chance(doubling) {
		w.again(o, w.hop())
	}

	return carry(ctx, w, func() (*wire.RankStatus, error) {
		// A call that the caller gave up may still arrive.
		late, cancel := context.WithTimeout(w.ctx, time.Second)
		defer cancel()

		return w.at(to).Order(late, o)
	})
}

// again delivers an order once more, after d, to whichever agent then lives.
func (w *world) again(o *wire.RankOrder, d time.Duration) {
	go func() {
		if wait(w.ctx, d) {
			ctx, cancel := context.WithTimeout(w.ctx, time.Second)
			defer cancel()

			_, _ = w.at(w.places()[o.GetRank()].Address).Order(ctx, o)
		}
	}()
}

// replay delivers the last orders again.
func (w *world) replay() {
	w.mu.Lock()
	defer w.mu.Unlock()

	for i, o := range w.orders[max(0, len(w.orders)-200):] {
		w.again(o, time.Duration(i%97)*time.Millisecond)
	}
}

func (w *world) report(ctx context.Context, to netip.AddrPort, q *wire.RankQuestion) (*wire.RankReport, error) {
	return carry(ctx, w, func() (*wire.RankReport, error) { return w.at(to).Report(ctx, q) })
}

func (w *world) ask(ctx context.Context, to netip.AddrPort, q *wire.RankQuestion) (*wire.RankAnswer, error) {
	return carry(ctx, w, func() (*wire.RankAnswer, error) { return w.at(to).Ask(ctx, q) })
}

// carry carries a call and its answer, either of which may be lost or late.
func carry[A any](ctx context.Context, w *world, call func() (A, error)) (A, error) {
	type result struct {
		answer A
		err    error
	}

	done := make(chan result, 1)

	go func() {
		if !wait(w.ctx, w.hop()) || w.chance(losing) {
			return
		}

		a, err := call()
		if !wait(w.ctx, w.hop()) || w.chance(losing) {
			return
		}

		done <- result{answer: a, err: err}
	}()

	select {
	case r := <-done:
		return r.answer, r.err
	case <-ctx.Done():
		var none A

		return none, ctx.Err()
	}
}

func (w *world) callEngine(n int, q *http.Request) (*http.Response, error) {
	if !wait(q.Context(), w.hop()) {
		return nil, q.Context().Err()
	}

	w.mu.Lock()
	stalled := time.Now().Before(w.stalled[n])
	w.mu.Unlock()

	if stalled || w.chance(losing) {
		return nil, errStalled
	}

	var order rank.EngineOrder

	if q.Body != nil {
		body, err := io.ReadAll(q.Body)
		require.NoError(w.t, err)
		require.NoError(w.t, json.Unmarshal(body, &order))

		q.Body = io.NopCloser(bytes.NewReader(body))
	}

	out := httptest.NewRecorder()
	w.router[n].ServeHTTP(out, q)

	w.mu.Lock()
	unanswered := w.holdsUnanswered && order.Do == rank.DoHold
	w.mu.Unlock()

	if unanswered || w.chance(losing) {
		return nil, errLost
	}

	return out.Result(), nil
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// run waits until ok, at most for d. No two ranks may ever use two maps.
func (w *world) run(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		require.Zero(w.t, w.group.State().Mixed, "two ranks used different maps in a step")

		if ok != nil && ok() {
			return true
		}
	}

	return false
}

// record returns what the whole log says of the group.
func (w *world) record() *wire.GroupRecord {
	w.mu.Lock()
	defer w.mu.Unlock()

	for int(w.truth.Index()) < len(w.log) {
		apply(w.t, w.truth, w.log)
	}

	if g := w.truth.Groups(); len(g) == 1 {
		return g[0].GetRecord()
	}

	return &wire.GroupRecord{RulingVersion: ledger.InitialMapVersion}
}

// apply applies the next entry of log to l.
func apply(t *testing.T, l *ledger.Ledger, log []*wire.GroupEntry) {
	i := l.Index()
	data, err := proto.Marshal(&wire.Command{Kind: &wire.Command_GroupEntry{GroupEntry: log[i]}})
	require.NoError(t, err)
	l.Apply(i+1, data)
}

// heal ends all faults.
func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.lose, w.double, w.late, w.logLoses = 0, 0, 0, false
	w.holdsUnanswered = false
	w.stalled = [ranks]time.Time{}

	for _, n := range w.nodes {
		n.cut, n.believes = time.Time{}, time.Time{}
	}
}

// requireAlive checks that the group steps again and that a next map comes to
// rule on every rank.
func (w *world) requireAlive() {
	steps := w.group.State().Steps
	require.True(w.t, w.run(30*time.Second, func() bool { return w.group.State().Steps > steps+30 }), "the group steps")

	ruling := w.record().GetRulingVersion()
	require.True(w.t, w.run(2*time.Minute, func() bool { return w.followed(ruling) }), "a next map rules on all ranks")
}

// followed reports whether all ranks use a map that is newer than former.
func (w *world) followed(former uint64) bool {
	for _, v := range w.group.State().Versions {
		if v <= former {
			return false
		}
	}

	return true
}
