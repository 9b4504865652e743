package expertmap

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// group simulates a group in virtual time: engines in lock-step, agents,
// control VMs with a log to which only the leader can append, and an unreliable
// network.
type group struct {
	rng     *rand.Rand
	now     time.Time
	events  events
	nodes   []*Coordinator
	applied []int
	log     []Entry
	leader  int // -1 if there is none
	ranks   []*rank
	step    Step
	// stepVersion is the map with which the first rank began the current step.
	stepVersion Version
	sent        []func()
	// dropRate, duplicateRate and delayRate are the probabilities of network
	// faults.
	dropRate, duplicateRate, delayRate float64
	// isolatedUntil is, for each control VM, the time until which it receives no
	// log entries but still reaches the ranks.
	isolatedUntil [3]time.Time
	// logStalledUntil is the time until which the log accepts no entries. Entries
	// appended until then follow in any order.
	logStalledUntil time.Time
	done            []Action
	fault           error
}

// rank is one engine and its agent.
type rank struct {
	id                int
	agent             *Participant
	boots             uint64
	activation        *Activation
	hold              Step
	loaded            map[Version]bool
	begun             bool
	unresponsiveUntil time.Time // neither engine nor agent does anything until then
	lastVersion       Version   // map of the last step begun
}

type event struct {
	at       time.Time
	tieBreak int
	do       func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].tieBreak < q[j].tieBreak)
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	x := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]

	return x
}

const tickInterval = 5 * time.Millisecond

func newGroup(seed uint64, ranks int) *group {
	g := &group{rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1, 0), leader: -1, step: 1}
	for i := range 3 {
		g.nodes, g.applied = append(g.nodes, nil), append(g.applied, 0)
		g.restartControl(i)
	}
	for i := range ranks {
		g.ranks = append(g.ranks, &rank{id: i, loaded: map[Version]bool{}})
		g.restartAgent(i)
	}
	g.setLeader(0)

	return g
}

func (g *group) restartControl(i int) {
	g.nodes[i] = &Coordinator{
		Ranks: 4, SwitchLead: 20, StageTimeout: 3 * time.Second, PrepareTimeout: 2 * time.Second, ResendInterval: 50 * time.Millisecond,
	}
	g.nodes[i].Start(Record{Current: Activation{Version: 1, Previous: 1}})
	g.applied[i] = 0
	if g.leader == i {
		g.leader = -1
	}
}

func (g *group) restartAgent(i int) {
	r := g.ranks[i]
	r.boots++
	r.agent = &Participant{Rank: i, Incarnation: r.boots << 32, StatusInterval: 100 * time.Millisecond, PeerQueryInterval: 200 * time.Millisecond}
}

func (g *group) restartEngine(i int) {
	r := g.ranks[i]
	r.activation, r.hold, r.begun, r.loaded = nil, 0, false, map[Version]bool{}
	g.doRankActions(r, r.agent.EngineRestarted(g.now))
}

// setLeader makes node i the leader. The previous leader is notified with a
// delay.
func (g *group) setLeader(i int) {
	previous := g.leader
	if previous == i {
		return
	}
	if g.leader = i; i >= 0 {
		g.isolatedUntil[i] = time.Time{}
		g.applyLog(i)
		g.doNodeActions(i, g.nodes[i].Lead(g.now))
	}
	if previous >= 0 {
		c := g.nodes[previous]
		delay := max(g.isolatedUntil[previous].Sub(g.now), 0) + g.randomDuration(time.Second)
		g.after(delay, func() {
			if g.nodes[previous] == c && g.leader != previous {
				g.doNodeActions(previous, c.Follow())
			}
		})
	}
}

// isolate cuts the leader off from the log without notifying it, and makes node
// i the leader.
func (g *group) isolate(i int, d time.Duration) {
	if g.leader >= 0 && g.leader != i {
		g.isolatedUntil[g.leader] = g.now.Add(d)
	}
	g.setLeader(i)
}

func (g *group) applyLog(i int) {
	if g.now.Before(g.isolatedUntil[i]) {
		return
	}
	for g.applied[i] < len(g.log) {
		g.applied[i]++
		g.doNodeActions(i, g.nodes[i].Apply(g.now, Fence(g.applied[i]), g.log[g.applied[i]-1]))
	}
}

func (g *group) after(d time.Duration, do func()) {
	heap.Push(&g.events, event{at: g.now.Add(d), tieBreak: g.rng.Int(), do: do})
}

func (g *group) randomDuration(d time.Duration) time.Duration {
	return time.Duration(g.rng.Int64N(int64(d)))
}

// send delivers a message never, once or twice, with a short or a long delay,
// as the network's fault rates decide.
func (g *group) send(deliver func()) {
	g.sent = append(g.sent, deliver)
	if g.rng.Float64() < g.dropRate {
		return
	}
	delay := g.randomDuration(4 * time.Millisecond)
	if g.rng.Float64() < g.delayRate {
		delay = g.randomDuration(4 * time.Second)
	}
	g.after(delay, deliver)
	if g.rng.Float64() < g.duplicateRate {
		g.after(g.randomDuration(4*time.Second), deliver)
	}
}

// redeliverAll delivers every message sent so far once more.
func (g *group) redeliverAll() {
	for _, deliver := range g.sent {
		g.after(g.randomDuration(2*time.Second), deliver)
	}
}

func (g *group) doNodeActions(i int, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActionAppend:
			// The entry of a deposed leader is never committed.
			delay := g.randomDuration(4 * time.Millisecond)
			if g.rng.Float64() < g.delayRate {
				delay = g.randomDuration(time.Second)
			}
			delay += max(0, g.logStalledUntil.Sub(g.now))
			g.after(delay, func() {
				if g.leader == i {
					g.log = append(g.log, a.Entry)
				}
			})
		case ActionOrder:
			g.send(func() {
				r := g.ranks[a.Order.Rank]
				if !g.now.Before(r.unresponsiveUntil) {
					g.doRankActions(r, r.agent.Receive(g.now, a.Order))
				}
			})
		case ActionDone:
			g.done = append(g.done, a)
		}
	}
}

func (g *group) doRankActions(r *rank, actions []Action) {
	agent := r.agent
	incarnation, loads := agent.Incarnation, r.loaded
	for _, a := range actions {
		switch a.Kind {
		case ActionStatus:
			g.send(func() {
				for i := range g.nodes {
					g.doNodeActions(i, g.nodes[i].Receive(g.now, a.Status))
				}
			})
		case ActionQueryPeers:
			for _, peer := range g.ranks {
				g.send(func() { g.doRankActions(peer, peer.agent.HandlePeerQuery(r.id)) })
			}
		case ActionAnswerPeer:
			to := g.ranks[a.Peer]
			g.send(func() { g.doRankActions(to, to.agent.HandlePeerRecord(g.now, a.Record)) })
		case ActionLoad:
			g.after(g.randomDuration(100*time.Millisecond), func() {
				loads[a.Version] = true
				if r.agent == agent && agent.Incarnation == incarnation {
					g.doRankActions(r, agent.Loaded(g.now, a.Version, true))
				}
			})
		case ActionDrop:
			delete(r.loaded, a.Version)
		case ActionHold:
			g.holdEngine(r, a)
		case ActionRun:
			r.hold, r.activation = 0, &a.Activation
			for v := range r.loaded {
				if v != a.Activation.Version && v != a.Activation.Previous {
					delete(r.loaded, v)
				}
			}
		}
	}
}

func (g *group) holdEngine(r *rank, a Action) {
	next := g.step
	if r.begun {
		next++
	}
	at := max(a.Step, next)
	ok := a.Step == 0 || a.Step >= next
	if ok {
		r.hold = at
	}
	g.doRankActions(r, r.agent.Held(g.now, a.Fence, ok))
}

// beginStep lets an engine begin the group's current step if its hold and
// activation allow it.
func (g *group) beginStep(r *rank) {
	if r.begun || r.activation == nil || (r.hold != 0 && g.step >= r.hold) || g.now.Before(r.unresponsiveUntil) {
		return
	}
	v := r.activation.VersionAt(g.step)
	if !r.loaded[v] {
		g.doRankActions(r, r.agent.Missing(v))

		return
	}
	if g.stepVersion != 0 && g.stepVersion != v && g.fault == nil {
		g.fault = fmt.Errorf("step %d: rank %d computes with map %d, another with %d", g.step, r.id, v, g.stepVersion)
	}
	g.stepVersion, r.begun, r.lastVersion = v, true, v
	g.doRankActions(r, r.agent.Joined(g.step))
}

// run advances virtual time by d, or until the condition until is true.
func (g *group) run(d time.Duration, until func() bool) bool {
	for end := g.now.Add(d); g.now.Before(end) && g.fault == nil; g.now = g.now.Add(tickInterval) {
		for len(g.events) > 0 && !g.events[0].at.After(g.now) {
			heap.Pop(&g.events).(event).do()
			if until != nil && until() {
				return true
			}
		}
		for i := range g.nodes {
			if i == g.leader || g.rng.Float64() < 0.2 {
				g.applyLog(i)
			}
			g.doNodeActions(i, g.nodes[i].Tick(g.now))
		}
		g.advanceStep()
		if until != nil && until() {
			return true
		}
	}

	return false
}

func (g *group) advanceStep() {
	all := true
	for _, i := range g.rng.Perm(len(g.ranks)) {
		r := g.ranks[i]
		if !g.now.Before(r.unresponsiveUntil) {
			g.doRankActions(r, r.agent.Tick(g.now))
		}
		if g.rng.Float64() < 0.7 {
			g.beginStep(r)
		}
		all = all && r.begun
	}
	if !all {
		return
	}
	for _, r := range g.ranks {
		r.begun = false
	}
	g.step++
	g.stepVersion = 0
}

// propose proposes version v to the leader.
func (g *group) propose(v Version) {
	if g.leader < 0 {
		return
	}
	if out, err := g.nodes[g.leader].Propose(g.now, v); err == nil {
		g.doNodeActions(g.leader, out)
	}
}
