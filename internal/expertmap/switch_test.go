package expertmap

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func (g *group) anyRank(ok func(r *rank) bool) bool {
	for _, r := range g.ranks {
		if ok(r) {
			return true
		}
	}

	return false
}

func (g *group) allRanks(ok func(r *rank) bool) bool {
	return !g.anyRank(func(r *rank) bool { return !ok(r) })
}

func staged(r *rank) bool   { return r.agent.loaded.has(2) }
func promised(r *rank) bool { return r.agent.promise.Held }
func informed(r *rank) bool { return r.agent.record.Current.Version == 2 }
func switched(r *rank) bool { return r.lastVersion == 2 }

func (g *group) inPhase(p phase) bool { return g.leader >= 0 && g.nodes[g.leader].progress.phase == p }

func (g *group) hasEntry(k EntryKind) bool {
	for _, e := range g.log {
		if e.Kind == k {
			return true
		}
	}

	return false
}

// faultPoints are the points of a switch at which a fault can occur, in order.
var faultPoints = []struct {
	name string
	at   func(g *group) bool
}{
	{"begin proposed", func(g *group) bool { return g.inPhase(phaseBeginning) }},
	{"begin in the log", func(g *group) bool { return g.inPhase(phaseStaging) }},
	{"one rank staged", func(g *group) bool { return g.anyRank(staged) }},
	{"all ranks staged", func(g *group) bool { return g.allRanks(staged) }},
	{"prepare sent", func(g *group) bool { return g.inPhase(phasePreparing) }},
	{"one rank promised", func(g *group) bool { return g.anyRank(promised) }},
	{"all ranks promised", func(g *group) bool { return g.allRanks(promised) }},
	{"commit proposed", func(g *group) bool { return g.inPhase(phaseCommitting) }},
	{"commit in the log, no rank informed", func(g *group) bool { return g.hasEntry(EntryCommit) }},
	{"one rank informed", func(g *group) bool { return g.anyRank(informed) }},
	{"all ranks informed", func(g *group) bool { return g.allRanks(informed) }},
	{"one rank began the step", func(g *group) bool { return g.anyRank(switched) }},
	{"all ranks began the step", func(g *group) bool { return g.allRanks(switched) }},
}

// faults are the faults that can occur at each point.
var faults = []struct {
	name string
	do   func(g *group)
}{
	{"first engine restarts", func(g *group) { g.restartEngine(0) }},
	{"first agent restarts", func(g *group) { g.restartAgent(0) }},
	{"two engines restart", func(g *group) { g.restartEngine(0); g.restartEngine(2) }},
	{"all agents restart", func(g *group) {
		for i := range g.ranks {
			g.restartAgent(i)
		}
	}},
	{"a rank is unresponsive for 6 s", func(g *group) { g.ranks[3].unresponsiveUntil = g.now.Add(6 * time.Second) }},
	{"the leader fails and another takes over", func(g *group) { g.restartControl(0); g.setLeader(1) }},
	{"the leader is deposed without notice", func(g *group) { g.setLeader(1) }},
	{"the leader is cut off from the log, then an engine restarts", func(g *group) {
		g.isolate(1, 30*time.Second)
		for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
			g.after(d, func() { g.restartEngine(2) })
		}
		g.after(time.Second, func() { g.propose(g.nodes[1].record.Current.Version + 1) })
	}},
	{"the log stalls, then an engine restarts", func(g *group) {
		g.logStalledUntil = g.now.Add(2 * time.Second)
		g.restartEngine(0)
	}},
	{"no control VM leads for 6 s", func(g *group) { g.setLeader(-1); g.after(6*time.Second, func() { g.setLeader(2) }) }},
	{"all messages are redelivered", func(g *group) { g.redeliverAll() }},
	{"an agent and the leader fail", func(g *group) { g.restartAgent(1); g.restartControl(0); g.setLeader(1) }},
	{"an engine restarts, the leader is deposed, messages are redelivered", func(g *group) { g.restartEngine(1); g.setLeader(2); g.redeliverAll() }},
	{"all messages are lost for 1 s", func(g *group) {
		g.dropRate = 1
		g.after(time.Second, func() { g.dropRate = 0 })
	}},
}

// Guards against faults during a switch: a rank, an agent or the leader fails,
// or messages arrive late or twice. If two ranks then computed the same step
// with different maps, responses would be garbled. If the group waited for a
// decision that is never made, there would be no responses.
func TestSwitchRecoversFromFaultsAtEveryPoint(t *testing.T) {
	t.Parallel()

	for _, point := range faultPoints {
		for _, fault := range faults {
			t.Run(point.name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				g := newGroup(1, 4)
				require.True(t, g.run(5*time.Second, func() bool { return g.step > 20 }), "the group starts")
				g.propose(2)
				require.True(t, point.at(g) || g.run(5*time.Second, func() bool { return point.at(g) }), "the fault point is reached")
				fault.do(g)
				g.run(8*time.Second, nil)
				requireRecovery(t, g)
			})
		}
	}
}

// requireRecovery checks that the group continues to step, that all ranks use
// the same map, and that the next switch succeeds.
func requireRecovery(t require.TestingT, g *group) {
	require.NoError(t, g.fault)
	if g.leader < 0 {
		g.setLeader(0)
	}
	want := g.step + 50
	require.True(t, g.run(10*time.Second, func() bool { return g.step > want }), "the group steps: %v", g.fault)
	require.NoError(t, g.fault)

	next := g.nodes[g.leader].record.Current.Version + 1
	for range 4 {
		g.propose(next)
		if g.run(5*time.Second, func() bool { return g.allRanks(func(r *rank) bool { return r.lastVersion == next }) }) {
			break
		}
	}
	require.NoError(t, g.fault)
	for _, r := range g.ranks {
		require.Equal(t, next, r.lastVersion)
	}
}

// Faults may occur at any time, several at once or repeatedly.
func TestSwitchRecoversFromRandomFaults(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		runRandomFaults(t, rapid.Uint64().Draw(t, "seed"))
	})
}

// runRandomFaults runs a group under random faults through 22 proposals, then
// checks that it recovers.
func runRandomFaults(t require.TestingT, seed uint64) {
	g := newGroup(seed, 4)
	rng := rand.New(rand.NewPCG(seed, 2))
	g.dropRate, g.duplicateRate, g.delayRate = 0.2*rng.Float64(), 0.3*rng.Float64(), 0.2*rng.Float64()
	faultFreeRate := rng.Float64() * 0.9
	for v := Version(2); v < 24; v++ {
		g.propose(g.nodes[max(0, g.leader)].record.Current.Version + 1)
		g.run(g.randomDuration(3*time.Second), nil)
		if rng.Float64() < faultFreeRate {
			continue
		}
		switch rng.IntN(9) {
		case 0:
			g.restartEngine(rng.IntN(4))
		case 1:
			g.restartAgent(rng.IntN(4))
		case 2:
			g.ranks[rng.IntN(4)].unresponsiveUntil = g.now.Add(g.randomDuration(4 * time.Second))
		case 3:
			i := rng.IntN(3)
			g.restartControl(i)
			g.setLeader((i + 1) % 3)
		case 4:
			g.setLeader(rng.IntN(3))
		case 5:
			g.setLeader(-1)
		case 6:
			g.setLeader(rng.IntN(3))
			g.restartAgent(rng.IntN(4))
		case 7:
			g.isolate(rng.IntN(3), g.randomDuration(10*time.Second))
		case 8:
			g.logStalledUntil = g.now.Add(g.randomDuration(3 * time.Second))
			g.restartEngine(rng.IntN(4))
		}
	}
	g.dropRate, g.duplicateRate, g.delayRate = 0, 0, 0
	g.isolatedUntil = [3]time.Time{}
	g.run(5*time.Second, nil)
	requireRecovery(t, g)
}

// All control VMs are lost just after one rank has received the decision, while
// the others hold at the step. They must receive the decision from that rank,
// so that the group continues.
func TestPeersDeliverDecisionWithoutControlVMs(t *testing.T) {
	t.Parallel()

	g := newGroup(7, 4)
	require.True(t, g.run(5*time.Second, func() bool { return g.step > 20 }))
	g.propose(2)
	require.True(t, g.run(5*time.Second, func() bool { return g.anyRank(informed) }))
	for i := range g.nodes {
		g.restartControl(i)
	}
	g.events = nil // messages sent by the lost control VMs are lost too
	require.False(t, g.allRanks(informed))
	require.True(t, g.run(5*time.Second, func() bool { return g.allRanks(switched) }))
	require.NoError(t, g.fault)
}
