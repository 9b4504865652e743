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
	"github.com/parsleygate/parsleygate/internal/testserver"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	groupName      = "g"
	ranks          = 4
	controlVMCount = 3
	// maxMessageDelay bounds the delay of a message unless a fault delays it.
	maxMessageDelay = 8 * time.Millisecond
	stepTime        = 10 * time.Millisecond
)

var (
	errLost    = errors.New("message lost")
	errStalled = errors.New("engine stalled")
)

// simulation is a group of control VMs with an in-memory log, and a lock-step group whose
// ranks have agents. It runs in a synctest bubble.
type simulation struct {
	t          *testing.T
	ctx        context.Context //nolint:containedctx // ends all goroutines of the simulation
	group      *testserver.RankGroup
	shape      placement.Shape
	routers    [ranks]http.Handler
	controlVMs [controlVMCount]*controlVM

	mu        sync.Mutex
	rng       *rand.Rand
	log       []*wire.GroupEntry
	reference *ledger.Ledger
	leader    int
	agents    [ranks]*agentInstance
	orders    []*wire.RankOrder
	// lossRate, duplicateRate and delayRate are the fractions of messages that are lost,
	// duplicated and delayed for long. dropProposals loses all proposals. An engine rejects
	// all calls before its stalledUntil.
	lossRate, duplicateRate, delayRate float64
	dropProposals                      bool
	stalledUntil                       [ranks]time.Time
	// dropHoldAnswers makes engines hold as ordered but loses their answers.
	dropHoldAnswers bool
}

// controlVM is one control VM.
type controlVM struct {
	director *expertgroup.Director
	ledger   *ledger.Ledger
	applied  int
	// Before partitionedUntil the VM receives no entries and its proposals are lost. Before
	// assumesLeadershipUntil it considers itself the leader.
	partitionedUntil, assumesLeadershipUntil time.Time
}

// agentInstance is a rank's agent from one start to the next.
type agentInstance struct {
	rank *rank.Rank
	stop context.CancelFunc
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	shape := placement.Shape{Layers: 2, Ranks: ranks, SlotsPerRank: 4, Experts: 8}
	w := &simulation{reference: ledger.New(ledger.DefaultLimits()), t: t, ctx: t.Context(), shape: shape, rng: rand.New(rand.NewPCG(seed, 1))}
	w.group = &testserver.RankGroup{
		Shape: shape, StepTime: stepTime, TokensPerStep: 4000, Skew: 1.2, DriftInterval: 25, Seed: seed, Speed: []float64{1, 1, 1, 1},
	}
	w.group.Init()

	for n := range ranks {
		r := chi.NewRouter()
		w.group.Routes(r, n)
		w.routers[n] = r
	}

	for i := range w.controlVMs {
		w.controlVMs[i] = w.newControlVM(i)
	}

	ctx, stop := context.WithCancel(t.Context())
	w.ctx = ctx

	var wg sync.WaitGroup

	for n := range ranks {
		w.startAgent(n)
	}

	for _, n := range w.controlVMs {
		wg.Go(func() { _ = n.director.Run(ctx) })
	}

	wg.Go(func() { w.group.Run(ctx) })
	wg.Go(func() { w.deliverLog(ctx) })
	t.Cleanup(func() {
		stop()
		wg.Wait()
		time.Sleep(time.Minute) // until all delayed messages have arrived
	})

	return w
}

func (w *simulation) newControlVM(i int) *controlVM {
	vm := &controlVM{ledger: ledger.New(ledger.DefaultLimits())}
	s := expertgroup.DefaultSettings()
	s.PlanInterval, s.StageTimeout, s.PrepareTimeout, s.SwitchLead = time.Second, 5*time.Second, 2*time.Second, 20
	s.Planner = placement.Planner{ExpertBytes: 1, StoreRate: 1 << 30, RankRate: 1 << 30, ExpertFraction: 1}
	vm.director = &expertgroup.Director{
		IsLeader: func() bool { return w.isLeader(i) },
		Barrier:  func(ctx context.Context) error { return w.barrier(ctx, i) },
		Propose:  func(ctx context.Context, e *wire.GroupEntry) error { return w.propose(ctx, i, e) },
		Groups: func() []*wire.Group {
			return []*wire.Group{{
				Name: groupName, Ranks: ranks, Experts: uint32(w.shape.Experts),
				Layers: uint32(w.shape.Layers), Slots: uint32(w.shape.SlotsPerRank),
			}}
		},
		RankAgents:  func(string) []expertgroup.RankAgent { return w.rankAgents() },
		SendOrder:   w.sendOrder,
		FetchReport: w.fetchReport,
		Settings:    s,
		Logger:      slog.New(slog.NewTextHandler(w.t.Output(), nil)),
	}
	vm.director.Init()
	vm.ledger.OnGroupEntry = func(index uint64, e *wire.GroupEntry) { vm.director.OnApplied(index, e, vm.ledger.Groups()) }

	return vm
}

func (w *simulation) rankAgents() []expertgroup.RankAgent {
	var out []expertgroup.RankAgent
	for r := range ranks {
		out = append(out, expertgroup.RankAgent{Rank: r, Address: netip.AddrPortFrom(netip.IPv6Loopback(), uint16(r+1))})
	}

	return out
}

// startAgent starts the agent of rank n and stops its predecessor.
func (w *simulation) startAgent(n int) {
	first, err := placement.NewMap(w.shape)
	require.NoError(w.t, err)

	address := w.rankAgents()[n].Address
	r := &rank.Rank{
		Group: groupName, Number: n,
		EngineAddress: func() netip.AddrPort { return address },
		InitialMap:    first.Encode,
		PeerAddresses: func() []netip.AddrPort {
			var out []netip.AddrPort
			for _, p := range w.rankAgents() {
				if p.Rank != n {
					out = append(out, p.Address)
				}
			}

			return out
		},
		QueryPeer:  w.askPeer,
		CallEngine: func(q *http.Request) (*http.Response, error) { return w.callEngine(n, q) },
		Logger:     slog.New(slog.DiscardHandler),
	}
	r.Init()

	ctx, stop := context.WithCancel(w.ctx)

	w.mu.Lock()
	if w.agents[n] != nil {
		w.agents[n].stop()
	}

	w.agents[n] = &agentInstance{rank: r, stop: stop}
	w.mu.Unlock()

	go func() { _ = r.Run(ctx) }()
}

func (w *simulation) rankAt(to netip.AddrPort) *rank.Rank {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.agents[to.Port()-1].rank
}

func (w *simulation) setLeader(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.leader = i
}

// isLeader reports whether control VM i considers itself the leader.
func (w *simulation) isLeader(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	vm := w.controlVMs[i]

	return time.Now().Before(vm.assumesLeadershipUntil) || (w.leader == i && !time.Now().Before(vm.partitionedUntil))
}

func (w *simulation) barrier(ctx context.Context, i int) error {
	w.mu.Lock()
	until := len(w.log)
	partitioned := time.Now().Before(w.controlVMs[i].partitionedUntil)
	w.mu.Unlock()

	for !partitioned {
		w.mu.Lock()
		done := w.controlVMs[i].applied >= until
		w.mu.Unlock()

		if done {
			return nil
		}

		if !sleep(ctx, time.Millisecond) {
			return ctx.Err()
		}
	}

	return errLost
}

func (w *simulation) propose(ctx context.Context, i int, e *wire.GroupEntry) error {
	if !sleep(ctx, w.messageDelay()) {
		return ctx.Err()
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	if w.dropProposals || time.Now().Before(w.controlVMs[i].partitionedUntil) || w.rng.Float64() < w.lossRate {
		return errLost
	}

	w.log = append(w.log, e)
	if w.rng.Float64() < w.duplicateRate {
		w.log = append(w.log, e)
	}

	if w.rng.Float64() < w.lossRate {
		return errLost // appended, but the answer is lost
	}

	return nil
}

// deliverLog applies the log's entries on the control VMs that are not partitioned.
func (w *simulation) deliverLog(ctx context.Context) {
	for sleep(ctx, 5*time.Millisecond) {
		w.mu.Lock()

		for _, vm := range w.controlVMs {
			if time.Now().Before(vm.partitionedUntil) {
				continue
			}

			for ; vm.applied < len(w.log); vm.applied++ {
				apply(w.t, vm.ledger, w.log)
			}
		}

		w.mu.Unlock()
	}
}

// messageDelay returns a random message delay, which is 500 times as long for the fraction
// delayRate.
func (w *simulation) messageDelay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()

	d := time.Duration(w.rng.Int64N(int64(maxMessageDelay)))
	if w.rng.Float64() < w.delayRate {
		d *= 500
	}

	return d
}

func (w *simulation) chance(p func(w *simulation) float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.rng.Float64() < p(w)
}

func lossRate(w *simulation) float64      { return w.lossRate }
func duplicateRate(w *simulation) float64 { return w.duplicateRate }

func (w *simulation) sendOrder(ctx context.Context, to netip.AddrPort, o *wire.RankOrder) (*wire.RankStatus, error) {
	if o.GetKind() != wire.RankOrderKind_RankOrderNone {
		w.mu.Lock()
		w.orders = append(w.orders, o)
		w.mu.Unlock()
	}

	if w.chance(duplicateRate) {
		w.redeliver(o, w.messageDelay())
	}

	return transmit(ctx, w, func() (*wire.RankStatus, error) {
		// A call that the caller has abandoned may still arrive.
		late, cancel := context.WithTimeout(w.ctx, time.Second)
		defer cancel()

		return w.rankAt(to).Order(late, o)
	})
}

// redeliver delivers an order again after d, to the agent that runs by then.
func (w *simulation) redeliver(o *wire.RankOrder, d time.Duration) {
	go func() {
		if sleep(w.ctx, d) {
			ctx, cancel := context.WithTimeout(w.ctx, time.Second)
			defer cancel()

			_, _ = w.rankAt(w.rankAgents()[o.GetRank()].Address).Order(ctx, o)
		}
	}()
}

// replayOrders delivers the last 200 orders again.
func (w *simulation) replayOrders() {
	w.mu.Lock()
	defer w.mu.Unlock()

	for i, o := range w.orders[max(0, len(w.orders)-200):] {
		w.redeliver(o, time.Duration(i%97)*time.Millisecond)
	}
}

func (w *simulation) fetchReport(ctx context.Context, to netip.AddrPort, q *wire.RankQuestion) (*wire.RankReport, error) {
	return transmit(ctx, w, func() (*wire.RankReport, error) { return w.rankAt(to).Report(ctx, q) })
}

func (w *simulation) askPeer(ctx context.Context, to netip.AddrPort, q *wire.RankQuestion) (*wire.RankAnswer, error) {
	return transmit(ctx, w, func() (*wire.RankAnswer, error) { return w.rankAt(to).Ask(ctx, q) })
}

// transmit makes a call. The request and the answer may each be lost or delayed.
func transmit[A any](ctx context.Context, w *simulation, call func() (A, error)) (A, error) {
	type result struct {
		answer A
		err    error
	}

	done := make(chan result, 1)

	go func() {
		if !sleep(w.ctx, w.messageDelay()) || w.chance(lossRate) {
			return
		}

		a, err := call()
		if !sleep(w.ctx, w.messageDelay()) || w.chance(lossRate) {
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

func (w *simulation) callEngine(n int, q *http.Request) (*http.Response, error) {
	if !sleep(q.Context(), w.messageDelay()) {
		return nil, q.Context().Err()
	}

	w.mu.Lock()
	stalled := time.Now().Before(w.stalledUntil[n])
	w.mu.Unlock()

	if stalled || w.chance(lossRate) {
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
	w.routers[n].ServeHTTP(out, q)

	w.mu.Lock()
	unanswered := w.dropHoldAnswers && order.Do == rank.DoHold
	w.mu.Unlock()

	if unanswered || w.chance(lossRate) {
		return nil, errLost
	}

	return out.Result(), nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// waitFor runs the simulation until ok returns true, but at most for d, and reports whether it
// did. With a nil ok it runs for d. It fails the test if two ranks use different maps in one
// step.
func (w *simulation) waitFor(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		require.Zero(w.t, w.group.State().MixedSteps, "two ranks used different maps in a step")

		if ok != nil && ok() {
			return true
		}
	}

	return false
}

// record returns the group's record after all entries of the log.
func (w *simulation) record() *wire.GroupRecord {
	w.mu.Lock()
	defer w.mu.Unlock()

	for int(w.reference.Index()) < len(w.log) {
		apply(w.t, w.reference, w.log)
	}

	if g := w.reference.Groups(); len(g) == 1 {
		return g[0].GetRecord()
	}

	return &wire.GroupRecord{RulingVersion: ledger.InitialMapVersion}
}

// apply applies the log's next entry to l.
func apply(t *testing.T, l *ledger.Ledger, log []*wire.GroupEntry) {
	i := l.Index()
	data, err := proto.Marshal(&wire.Command{Kind: &wire.Command_GroupEntry{GroupEntry: log[i]}})
	require.NoError(t, err)
	l.Apply(i+1, data)
}

// clearFaults ends all faults.
func (w *simulation) clearFaults() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.lossRate, w.duplicateRate, w.delayRate, w.dropProposals = 0, 0, 0, false
	w.dropHoldAnswers = false
	w.stalledUntil = [ranks]time.Time{}

	for _, vm := range w.controlVMs {
		vm.partitionedUntil, vm.assumesLeadershipUntil = time.Time{}, time.Time{}
	}
}

// requireProgress checks that the group computes steps and that a newer map comes into force
// on all ranks.
func (w *simulation) requireProgress() {
	steps := w.group.State().Steps
	require.True(w.t, w.waitFor(30*time.Second, func() bool { return w.group.State().Steps > steps+30 }), "the group must continue to compute steps")

	current := w.record().GetRulingVersion()
	require.True(w.t, w.waitFor(2*time.Minute, func() bool { return w.allRanksNewerThan(current) }), "a newer map must come into force on all ranks")
}

// allRanksNewerThan reports whether all ranks use a map newer than version.
func (w *simulation) allRanksNewerThan(version uint64) bool {
	for _, v := range w.group.State().MapVersions {
		if v <= version {
			return false
		}
	}

	return true
}
