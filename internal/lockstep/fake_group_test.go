package lockstep_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/parsleygate/parsleygate/internal/lockstep"
	"github.com/parsleygate/parsleygate/internal/wire"
)

// fakeGroup simulates a lock-step group of engines that take orders. All ranks begin each step
// together, and a rank that is armed for the step switches its map at that point.
type fakeGroup struct {
	shape lockstep.Shape

	mu    sync.Mutex
	ranks []*fakeRank
	epoch uint64
	step  uint64
	idle  bool
	// forming is set while the group is not open.
	forming   bool
	violation string // first violated invariant, or empty
	// stepTime is the duration of a step, heldTime the total time by which holds delayed
	// steps, and holdTimes the delay of each delayed step.
	stepTime  time.Duration
	heldTime  time.Duration
	holdTimes []time.Duration
	// weight is the number of times that each expert is chosen in a step, by set.
	weight [][]float64
	// fault returns the fault that affects the n-th order.
	fault  func(n int) fault
	orders int
	// prepares is the number of prepare orders.
	prepares int
	// onOrder, if set, replaces fault. It is called with mu held before each order is carried out.
	onOrder func(k *fakeRank, rank int, o *wire.EngineOrder) fault
	// pollTime is how long a poll takes.
	pollTime time.Duration
	// pollLost reports whether the answer to a poll of the rank is lost.
	pollLost func(rank int) bool
	// orderDelayPerRank delays an order by this time multiplied by the rank, to make orders
	// that are sent together arrive one after the other.
	orderDelayPerRank time.Duration
	// fanOutLost reports whether the n-th fan-out request is lost together with the agent that
	// forwards it.
	fanOutLost func(n int) bool
	fanOuts    int
	// countAggregators is the number of ranks that the director polls for counts.
	countAggregators int
	// logs receives the log of the director.
	logs io.Writer
	// lateDelay is the delay of late orders.
	lateDelay time.Duration
}

type fakeRank struct {
	version, prepared, armed, armedFor, highestVersion, fence uint64
	heldStep                                                  uint64
	holds                                                     bool
	expertSets, nextExpertSets                                [][]uint16
	// groupMap and nextGroupMap hold the map of all ranks, as ordered.
	groupMap, nextGroupMap string
	readyAt                time.Time
	counts                 []uint64
	slowdown               float64
}

// fault is a fault that affects one order.
type fault uint8

const (
	faultNone         fault = iota
	faultLost               // the order does not arrive
	faultAnswerLost         // the order is carried out, but the answer is lost
	faultLate               // the answer is lost, and the order is carried out after lateDelay
	faultLateAccepted       // as faultLate, but the fencing number is checked only on arrival
)

const (
	defaultStepTime = 10 * time.Millisecond
	expertCopyTime  = 20 * time.Millisecond
	// pollTimeout is how long an agent waits for the answer to a poll of another agent.
	pollTimeout = 100 * time.Millisecond
	// heldPollInterval is the interval at which the group checks whether a held step may begin.
	heldPollInterval = time.Millisecond
)

func newGroup(shape lockstep.Shape, weight [][]float64) *fakeGroup {
	g := &fakeGroup{shape: shape, epoch: 1, weight: weight, stepTime: defaultStepTime, logs: io.Discard, countAggregators: lockstep.DefaultSettings().CountAggregators, lateDelay: 2300 * time.Millisecond, fault: func(int) fault { return faultNone }, pollLost: func(int) bool { return false }}
	first := lockstep.InitialMap(shape.Sets, shape.Experts, shape.Ranks)

	for r := range shape.Ranks {
		k := &fakeRank{counts: make([]uint64, shape.Sets*shape.Experts)}
		for s := range first {
			k.expertSets = append(k.expertSets, first[s][r])
		}

		g.ranks = append(g.ranks, k)
	}

	return g
}

// run runs steps until ctx ends.
func (g *fakeGroup) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(g.stepTime)
		g.beginStep(ctx)
	}
}

// beginStep runs the next step once no rank holds it.
func (g *fakeGroup) beginStep(ctx context.Context) {
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.idle {
		return
	}

	heldTime := time.Duration(0)

	for g.isHeld() && ctx.Err() == nil {
		g.mu.Unlock()
		time.Sleep(heldPollInterval)
		g.mu.Lock()

		heldTime += heldPollInterval
		g.heldTime += heldPollInterval
	}

	if heldTime > 0 {
		g.holdTimes = append(g.holdTimes, heldTime)
	}

	g.runStep()
}

func (g *fakeGroup) isHeld() bool {
	return slices.ContainsFunc(g.ranks, func(k *fakeRank) bool { return k.holds && k.heldStep == g.step+1 })
}

func (g *fakeGroup) runStep() {
	g.step++

	for _, k := range g.ranks {
		if k.armed != 0 && k.armedFor == g.step {
			k.version, k.expertSets, k.armed, k.prepared = k.armed, k.nextExpertSets, 0, 0
			k.groupMap = k.nextGroupMap
		}

		for s := range g.weight {
			for e, w := range g.weight[s] {
				k.counts[s*g.shape.Experts+e] += uint64(w * 100)
			}
		}
	}

	for i, k := range g.ranks {
		if k.version == g.ranks[0].version && k.groupMap != g.ranks[0].groupMap && g.violation == "" {
			g.violation = fmt.Sprintf("step %d began with two different maps of version %d", g.step, k.version)
		}

		if k.version != g.ranks[0].version && g.violation == "" {
			g.violation = fmt.Sprintf("step %d began with map %d at rank 0 and map %d at rank %d", g.step, g.ranks[0].version, k.version, i)
		}
	}
}

// restart begins a new epoch: map 0 is in use, and nothing is prepared, armed or held.
func (g *fakeGroup) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()

	initial := newGroup(g.shape, g.weight)
	g.epoch++
	g.step = 0

	for i, k := range initial.ranks {
		k.fence = 0
		*g.ranks[i] = *k
	}
}

var errKilled = errors.New("the directing agent was killed")

// agent is one run of the directing agent. Once it is killed, it sends nothing.
type agent struct {
	group *fakeGroup
	mu    sync.Mutex
	// killAt is the number of the order before which the agent is killed, or 0 for never.
	killAt, orders int
	dead           bool
}

func (a *agent) alive(order bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()

	if order {
		a.orders++
		a.dead = a.dead || a.orders == a.killAt
	}

	return !a.dead
}

// kill kills the agent. An order that it has just sent still arrives.
func (a *agent) kill() {
	a.mu.Lock()
	defer a.mu.Unlock()

	a.dead = true
}

func (a *agent) groupClient() lockstep.GroupClient {
	a.group.mu.Lock()
	defer a.group.mu.Unlock()

	return lockstep.GroupClient{Size: a.group.shape.Ranks, Epoch: a.group.epoch, Poll: a.poll, Order: a.order, FanOut: a.fanOut}
}

// fanOut splits the ranks into parts and sends the request to each part through one agent. If
// that agent is lost, its part gets no result.
func (a *agent) fanOut(ctx context.Context, ranks []int, e lockstep.FanOutRequest) []lockstep.FanOutResult {
	out := make([]lockstep.FanOutResult, len(ranks))
	size := int(math.Ceil(math.Sqrt(float64(len(ranks)))))

	var g sync.WaitGroup

	for first := 0; first < len(ranks); first += size {
		if a.group.losesFanOut() {
			for i := first; i < min(first+size, len(ranks)); i++ {
				out[i].Err = errKilled
			}

			g.Go(func() { <-ctx.Done() })

			continue
		}

		for i := first; i < min(first+size, len(ranks)); i++ {
			g.Go(func() {
				if e.Order != nil {
					out[i].Result = a.order(ctx, ranks[i], e.Order(ranks[i]))
				}

				out[i].Poll, out[i].Err = a.poll(ctx, ranks[i], lockstep.PollRequest{Experts: e.Experts})
			})
		}
	}

	g.Wait()

	return out
}

func (g *fakeGroup) losesFanOut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()

	g.fanOuts++

	return g.fanOutLost != nil && g.fanOutLost(g.fanOuts)
}

func (a *agent) poll(ctx context.Context, rank int, q lockstep.PollRequest) (lockstep.PollResult, error) {
	if !a.alive(false) {
		return lockstep.PollResult{}, errKilled
	}

	g := a.group
	g.mu.Lock()
	defer g.mu.Unlock()

	if g.pollTime > 0 {
		wait := time.NewTimer(g.pollTime)
		defer wait.Stop()

		g.mu.Unlock()

		select {
		case <-wait.C:
		case <-ctx.Done():
		}

		g.mu.Lock()

		if ctx.Err() != nil {
			return lockstep.PollResult{}, ctx.Err()
		}
	}

	if g.pollLost(rank) {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()

		g.mu.Unlock()
		<-ctx.Done()
		g.mu.Lock()

		return lockstep.PollResult{}, ctx.Err()
	}

	k := g.ranks[rank]
	result := lockstep.PollResult{Report: lockstep.Report{
		Group: "g", Epoch: g.epoch, Rank: rank, Size: len(g.ranks), Open: !g.forming, Step: g.step,
		Map: k.version, Armed: k.armed, Held: k.heldStep, Holds: k.holds, Pace: k.slowdown,
	}, Slowdowns: map[int]float64{}}

	if k.prepared != 0 && !time.Now().Before(k.readyAt) {
		result.Report.Prepared = k.prepared
	}

	if q.Counts {
		result.Counts = append(result.Counts, k.counts...)

		for other := rank + 1; other < rank+q.SumRanks; other++ {
			for i, n := range g.ranks[other].counts {
				result.Counts[i] += n
			}

			result.Slowdowns[other] = g.ranks[other].slowdown
		}
	}

	if q.Experts {
		result.Experts, result.MapVersion = k.expertSets, k.version
	}

	return result, nil
}

// order sends an order through the agent of the rank. Without an answer it blocks until the
// sender's context ends.
func (a *agent) order(ctx context.Context, rank int, o *wire.EngineOrder) wire.EngineResult {
	result := a.deliver(rank, o)
	if result == wire.EngineResult_EngineUnknown {
		<-ctx.Done()
	}

	return result
}

func (a *agent) deliver(rank int, o *wire.EngineOrder) wire.EngineResult {
	if !a.alive(true) {
		return wire.EngineResult_EngineUnknown
	}

	g := a.group
	time.Sleep(time.Duration(rank) * g.orderDelayPerRank)
	g.mu.Lock()
	g.orders++

	if o.GetKind() == wire.EngineOrderKind_EngineOrderPrepare {
		g.prepares++
	}

	k := g.ranks[rank]

	defer g.mu.Unlock()

	f := faultNone
	if g.onOrder != nil {
		f = g.onOrder(k, rank, o)
	} else {
		f = g.fault(g.orders)
	}

	switch f {
	case faultLost:
		return wire.EngineResult_EngineUnknown
	case faultLate, faultLateAccepted:
		if f == faultLateAccepted && o.GetFence() >= k.fence {
			k.fence = o.GetFence()
		}

		// A late order is carried out from a copy, because the sender may reuse its own.
		late := proto.CloneOf(o)

		time.AfterFunc(g.lateDelay, func() {
			g.mu.Lock()
			defer g.mu.Unlock()

			if f == faultLateAccepted {
				late.Fence = max(late.GetFence(), k.fence)
			}

			g.carryOut(k, rank, late)
		})

		return wire.EngineResult_EngineUnknown
	case faultAnswerLost:
		g.carryOut(k, rank, o)

		return wire.EngineResult_EngineUnknown
	default:
		return g.carryOut(k, rank, o)
	}
}

// carryOut requires g.mu to be held.
func (g *fakeGroup) carryOut(k *fakeRank, rank int, o *wire.EngineOrder) wire.EngineResult {
	switch {
	case o.GetEpoch() != g.epoch:
		return wire.EngineResult_EngineMisfit
	case o.GetFence() < k.fence:
		return wire.EngineResult_EngineFenced
	}

	k.fence = o.GetFence()

	switch o.GetKind() {
	case wire.EngineOrderKind_EngineOrderPrepare:
		return k.prepare(rank, o, g.shape)
	case wire.EngineOrderKind_EngineOrderArm:
		if k.prepared != o.GetVersion() || time.Now().Before(k.readyAt) || g.step >= o.GetStep() {
			return wire.EngineResult_EngineMisfit
		}

		k.armed, k.armedFor = o.GetVersion(), o.GetStep()
	case wire.EngineOrderKind_EngineOrderDisarm:
		if k.version == o.GetVersion() {
			return wire.EngineResult_EngineMisfit
		}

		if k.armed == o.GetVersion() {
			k.armed = 0
		}
	case wire.EngineOrderKind_EngineOrderHold:
		if k.holds && k.heldStep != o.GetStep() || g.step >= o.GetStep() {
			return wire.EngineResult_EngineMisfit
		}

		k.heldStep, k.holds = o.GetStep(), true
	case wire.EngineOrderKind_EngineOrderGo:
		if k.holds && k.heldStep == o.GetStep() {
			k.holds = false
		}
	default:
		return wire.EngineResult_EngineMisfit
	}

	return wire.EngineResult_EngineDone
}

func (k *fakeRank) prepare(rank int, o *wire.EngineOrder, shape lockstep.Shape) wire.EngineResult {
	if o.GetVersion() <= k.highestVersion || k.armed != 0 {
		return wire.EngineResult_EngineMisfit
	}

	var expertSets [][]uint16

	totalNew := 0

	for s := range shape.Sets {
		var experts []uint16

		had := map[uint16]bool{}
		for _, e := range k.expertSets[s] {
			had[e] = true
		}

		newInSet := 0

		for _, e := range o.GetMap()[s*shape.Ranks+rank].GetExperts() {
			experts = append(experts, uint16(e))
			if !had[uint16(e)] {
				newInSet++
			}
		}

		if newInSet > shape.SpareSlots || len(experts) > shape.Slots {
			return wire.EngineResult_EngineMisfit
		}

		totalNew += newInSet
		expertSets = append(expertSets, experts)
	}

	k.highestVersion, k.prepared, k.nextExpertSets = o.GetVersion(), o.GetVersion(), expertSets
	k.nextGroupMap = fmt.Sprint(o.GetMap())
	k.readyAt = time.Now().Add(time.Duration(totalNew) * expertCopyTime)

	return wire.EngineResult_EngineDone
}

// skewed returns weights that give most of the load to a few experts.
func skewed(shape lockstep.Shape, seed uint64) [][]float64 {
	r := rand.New(rand.NewPCG(seed, 1))
	out := make([][]float64, shape.Sets)

	for s := range out {
		out[s] = make([]float64, shape.Experts)
		for i, e := range r.Perm(shape.Experts) {
			out[s][e] = 1 / float64(1+i)
		}
	}

	return out
}
