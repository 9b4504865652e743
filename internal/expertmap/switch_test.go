package expertmap

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func (g *group) some(ok func(r *rank) bool) bool {
	for _, r := range g.ranks {
		if ok(r) {
			return true
		}
	}

	return false
}

func (g *group) every(ok func(r *rank) bool) bool {
	return !g.some(func(r *rank) bool { return !ok(r) })
}

func staged(r *rank) bool   { return r.agent.loaded.has(2) }
func promised(r *rank) bool { return r.agent.promise.Held }
func told(r *rank) bool     { return r.agent.record.Current.Version == 2 }
func switched(r *rank) bool { return r.version == 2 }

func (g *group) in(p phase) bool { return g.leader >= 0 && g.nodes[g.leader].job.phase == p }

func (g *group) logged(k EntryKind) bool {
	for _, e := range g.log {
		if e.Kind == k {
			return true
		}
	}

	return false
}

// points are the moments of a switch at which something can die, in order.
var points = []struct {
	name string
	at   func(g *group) bool
}{
	{"begin proposed", func(g *group) bool { return g.in(phaseBeginning) }},
	{"begin in the log", func(g *group) bool { return g.in(phaseStaging) }},
	{"one rank staged", func(g *group) bool { return g.some(staged) }},
	{"all ranks staged", func(g *group) bool { return g.every(staged) }},
	{"prepare sent", func(g *group) bool { return g.in(phasePreparing) }},
	{"one rank promised", func(g *group) bool { return g.some(promised) }},
	{"all ranks promised", func(g *group) bool { return g.every(promised) }},
	{"commit proposed", func(g *group) bool { return g.in(phaseCommitting) }},
	{"commit in the log, no rank told", func(g *group) bool { return g.logged(EntryCommit) }},
	{"one rank told", func(g *group) bool { return g.some(told) }},
	{"all ranks told", func(g *group) bool { return g.every(told) }},
	{"one rank began the step", func(g *group) bool { return g.some(switched) }},
	{"all ranks began the step", func(g *group) bool { return g.every(switched) }},
}

// faults are what can happen there.
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
	{"a rank is silent for long", func(g *group) { g.ranks[3].silent = g.now.Add(6 * time.Second) }},
	{"the leader dies", func(g *group) { g.restartControl(0); g.lead(1) }},
	{"the leader is deposed and does not know", func(g *group) { g.lead(1) }},
	{"the leader is cut off from the log, then an engine restarts", func(g *group) {
		g.isolate(1, 30*time.Second)
		for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
			g.after(d, func() { g.restartEngine(2) })
		}
		g.after(time.Second, func() { g.propose(g.nodes[1].record.Current.Version + 1) })
	}},
	{"the log stalls, then an engine restarts", func(g *group) {
		g.stalled = g.now.Add(2 * time.Second)
		g.restartEngine(0)
	}},
	{"no control leads for long", func(g *group) { g.lead(-1); g.after(6*time.Second, func() { g.lead(2) }) }},
	{"all messages come again", func(g *group) { g.replay() }},
	{"agent and leader die", func(g *group) { g.restartAgent(1); g.restartControl(0); g.lead(1) }},
	{"engine dies, leader deposed, messages come again", func(g *group) { g.restartEngine(1); g.lead(2); g.replay() }},
	{"messages are lost for a second", func(g *group) {
		g.drop = 1
		g.after(time.Second, func() { g.drop = 0 })
	}},
}

// A rank, an agent or the control leader dies somewhere in the switch, or
// messages come late and twice. A user would see garbled drafts if two ranks
// then computed one step with different maps, and none at all if the group
// waited forever for a decision that nobody makes.
func TestEveryPointOfDeath(t *testing.T) {
	t.Parallel()

	for _, point := range points {
		for _, fault := range faults {
			t.Run(point.name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				g := newGroup(1, 4)
				require.True(t, g.run(5*time.Second, func() bool { return g.step > 20 }), "the group starts")
				g.propose(2)
				require.True(t, point.at(g) || g.run(5*time.Second, func() bool { return point.at(g) }), "the point is reached")
				fault.do(g)
				g.run(8*time.Second, nil)
				requireAlive(t, g)
			})
		}
	}
}

// requireAlive checks that the group steps again, all ranks with the map that
// the log names, and that a next switch succeeds.
func requireAlive(t require.TestingT, g *group) {
	require.NoError(t, g.fault)
	if g.leader < 0 {
		g.lead(0)
	}
	want := g.step + 50
	require.True(t, g.run(10*time.Second, func() bool { return g.step > want }), "the group steps: %v", g.fault)
	require.NoError(t, g.fault)

	next := g.nodes[g.leader].record.Current.Version + 1
	for range 4 {
		g.propose(next)
		if g.run(5*time.Second, func() bool { return g.every(func(r *rank) bool { return r.version == next }) }) {
			break
		}
	}
	require.NoError(t, g.fault)
	for _, r := range g.ranks {
		require.Equal(t, next, r.version)
	}
}

// Faults may come at any moment, together or twice.
func TestSwitchHolds(t *testing.T) {
	t.Parallel()

	rapid.Check(t, func(t *rapid.T) {
		playFaults(t, rapid.Uint64().Draw(t, "seed"))
	})
}

// playFaults runs a group for a minute under random faults, then checks that it recovers.
func playFaults(t require.TestingT, seed uint64) {
	g := newGroup(seed, 4)
	rng := rand.New(rand.NewPCG(seed, 2))
	g.drop, g.twice, g.slow = 0.2*rng.Float64(), 0.3*rng.Float64(), 0.2*rng.Float64()
	calm := rng.Float64() * 0.9
	for v := Version(2); v < 24; v++ {
		g.propose(g.nodes[max(0, g.leader)].record.Current.Version + 1)
		g.run(g.upTo(3*time.Second), nil)
		if rng.Float64() < calm {
			continue
		}
		switch rng.IntN(9) {
		case 0:
			g.restartEngine(rng.IntN(4))
		case 1:
			g.restartAgent(rng.IntN(4))
		case 2:
			g.ranks[rng.IntN(4)].silent = g.now.Add(g.upTo(4 * time.Second))
		case 3:
			i := rng.IntN(3)
			g.restartControl(i)
			g.lead((i + 1) % 3)
		case 4:
			g.lead(rng.IntN(3))
		case 5:
			g.lead(-1)
		case 6:
			g.lead(rng.IntN(3))
			g.restartAgent(rng.IntN(4))
		case 7:
			g.isolate(rng.IntN(3), g.upTo(10*time.Second))
		case 8:
			g.stalled = g.now.Add(g.upTo(3 * time.Second))
			g.restartEngine(rng.IntN(4))
		}
	}
	g.drop, g.twice, g.slow = 0, 0, 0
	g.isolated = [3]time.Time{}
	g.run(5*time.Second, nil)
	requireAlive(t, g)
}

// All control VMs are lost just after one rank learnt the decision, and the
// others hold at the step. They learn it from that rank, so drafts go on.
func TestPeersEndTheSwitch(t *testing.T) {
	t.Parallel()

	g := newGroup(7, 4)
	require.True(t, g.run(5*time.Second, func() bool { return g.step > 20 }))
	g.propose(2)
	require.True(t, g.run(5*time.Second, func() bool { return g.some(told) }))
	for i := range g.nodes {
		g.restartControl(i)
	}
	g.events = nil // what they sent is lost with them
	require.False(t, g.every(told))
	require.True(t, g.run(5*time.Second, func() bool { return g.every(switched) }))
	require.NoError(t, g.fault)
}
