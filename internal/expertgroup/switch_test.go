package expertgroup_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// statuses returns what the agents say of themselves.
func (w *simulation) statuses() []*wire.RankStatus {
	var out []*wire.RankStatus

	for _, p := range w.rankAgents() {
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)

		s, err := w.rankAt(p.Address).Order(ctx, &wire.RankOrder{Group: groupName, Rank: uint32(p.Rank)})

		cancel()

		if err == nil {
			out = append(out, s)
		}
	}

	return out
}

func (w *simulation) countRanks(match func(s *wire.RankStatus, open uint64) bool) int {
	open := w.record().GetOpenFence()
	n := 0

	for _, s := range w.statuses() {
		if open != 0 && match(s, open) {
			n++
		}
	}

	return n
}

func isStaged(s *wire.RankStatus, open uint64) bool   { return s.GetStaged() == open }
func isPromised(s *wire.RankStatus, open uint64) bool { return s.GetPromised() == open }

// phases are the moments of a switch at which something goes wrong.
var phases = []struct {
	name    string
	reached func(w *simulation, ruling uint64) bool
}{
	{"no switch", func(*simulation, uint64) bool { return true }},
	{"begun", func(w *simulation, _ uint64) bool { return w.record().GetOpenFence() != 0 }},
	{"one rank staged", func(w *simulation, _ uint64) bool { return w.countRanks(isStaged) > 0 }},
	{"one rank promised", func(w *simulation, _ uint64) bool { return w.countRanks(isPromised) > 0 }},
	{"all ranks promised", func(w *simulation, _ uint64) bool { return w.countRanks(isPromised) == ranks }},
	{"committed", func(w *simulation, ruling uint64) bool { return w.record().GetRulingVersion() != ruling }},
	{"all ranks switched", func(w *simulation, ruling uint64) bool { return w.allRanksNewerThan(ruling) }},
}

func (w *simulation) partition(i int, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.controlVMs[i].partitionedUntil, w.controlVMs[i].assumesLeadershipUntil = time.Now().Add(d), time.Now().Add(d)
}

func (w *simulation) assumeLeadership(i int, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.controlVMs[i].assumesLeadershipUntil = time.Now().Add(d)
}

func (w *simulation) stallEngine(n int, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.stalledUntil[n] = time.Now().Add(d)
}

func (w *simulation) dropProposalsFor(d time.Duration) {
	w.mu.Lock()
	w.dropProposals = true
	w.mu.Unlock()
	w.waitFor(d, nil)
	w.mu.Lock()
	w.dropProposals = false
	w.mu.Unlock()
}

// faults are what goes wrong there.
var faults = []struct {
	name   string
	inject func(w *simulation)
}{
	{"the leader changes", func(w *simulation) { w.setLeader(1) }},
	{"the leader is cut off and does not know", func(w *simulation) { w.partition(0, 5*time.Second); w.setLeader(1) }},
	{"two control VMs lead and both propose", func(w *simulation) { w.assumeLeadership(0, 5*time.Second); w.setLeader(1) }},
	{"nobody leads for long", func(w *simulation) { w.setLeader(-1); w.waitFor(6*time.Second, nil); w.setLeader(2) }},
	{"an agent restarts", func(w *simulation) { w.startAgent(1) }},
	{"an agent restarts twice within a second", func(w *simulation) { w.startAgent(1); w.waitFor(300*time.Millisecond, nil); w.startAgent(1) }},
	{"all agents restart", func(w *simulation) {
		for n := range ranks {
			w.startAgent(n)
		}
	}},
	{"an engine restarts", func(w *simulation) { w.group.RestartRank(2) }},
	{"an engine and its agent restart, and the engine is slow to answer", func(w *simulation) {
		w.stallEngine(2, 3*time.Second)
		w.group.RestartRank(2)
		w.startAgent(2)
	}},
	{"an engine takes nothing for long", func(w *simulation) { w.stallEngine(3, 5*time.Second) }},
	{"an engine takes nothing, then restarts", func(w *simulation) {
		w.stallEngine(3, 3*time.Second)
		w.waitFor(time.Second, nil)
		w.group.RestartRank(3)
	}},
	{"the log loses all proposals", func(w *simulation) { w.dropProposalsFor(4 * time.Second) }},
	{"all orders come again", func(w *simulation) { w.replayOrders() }},
	{"leader cut off, engine restarts, all orders come again", func(w *simulation) {
		w.partition(0, 5*time.Second)
		w.setLeader(1)
		w.group.RestartRank(0)
		w.waitFor(700*time.Millisecond, nil)
		w.replayOrders()
	}},
	{"agent restarts and the leader changes", func(w *simulation) { w.startAgent(0); w.setLeader(1) }},
	{"two engines restart, one after the other", func(w *simulation) {
		w.group.RestartRank(0)
		w.waitFor(400*time.Millisecond, nil)
		w.group.RestartRank(3)
	}},
}

// Coopers would see garbled drafts if two ranks computed a step with different
// maps, and none at all if the group waited for good. A leader, an agent, an
// engine or the log fails somewhere in a switch, two of them together, or old
// orders come again; then all is well again, and the next map must come to rule.
func TestFaultsInEachSwitchPhase(t *testing.T) {
	t.Parallel()

	for _, phase := range phases {
		for i, fault := range faults {
			t.Run(phase.name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					w := newSimulation(t, uint64(i))
					w.requireProgress()

					ruling := w.record().GetRulingVersion()
					require.True(t, w.waitFor(2*time.Minute, func() bool { return phase.reached(w, ruling) }), "the phase is reached")
					fault.inject(w)
					w.waitFor(6*time.Second, nil)
					w.clearFaults()
					w.requireProgress()
				})
			})
		}
	}
}

// Any fault may come at any moment, together or twice, while messages are lost,
// doubled and seconds late. The same must hold as after single faults.
func TestRandomFaults(t *testing.T) {
	t.Parallel()

	for seed := range uint64(12) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation(t, seed)
				w.mu.Lock()
				w.lossRate, w.duplicateRate, w.delayRate = 0.1*w.rng.Float64(), 0.2*w.rng.Float64(), 0.1*w.rng.Float64()
				w.mu.Unlock()

				for range 12 {
					w.mu.Lock()
					d := time.Duration(w.rng.Int64N(int64(3 * time.Second)))
					n := w.rng.IntN(len(faults))
					w.mu.Unlock()
					w.waitFor(d, nil)
					faults[n].inject(w)
				}

				w.clearFaults()
				w.setLeader(0)
				w.requireProgress()
			})
		})
	}
}
