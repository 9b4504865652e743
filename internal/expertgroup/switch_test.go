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

// statuses returns the statuses that the agents report.
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

// phases are the points of a switch at which a fault is injected.
var phases = []struct {
	name    string
	reached func(w *simulation, current uint64) bool
}{
	{"no switch", func(*simulation, uint64) bool { return true }},
	{"switch begun", func(w *simulation, _ uint64) bool { return w.record().GetOpenFence() != 0 }},
	{"one rank staged", func(w *simulation, _ uint64) bool { return w.countRanks(isStaged) > 0 }},
	{"one rank promised", func(w *simulation, _ uint64) bool { return w.countRanks(isPromised) > 0 }},
	{"all ranks promised", func(w *simulation, _ uint64) bool { return w.countRanks(isPromised) == ranks }},
	{"switch committed", func(w *simulation, current uint64) bool { return w.record().GetRulingVersion() != current }},
	{"all ranks switched", func(w *simulation, current uint64) bool { return w.allRanksNewerThan(current) }},
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

// faults are the faults to inject.
var faults = []struct {
	name   string
	inject func(w *simulation)
}{
	{"the leader changes", func(w *simulation) { w.setLeader(1) }},
	{"the leader is partitioned and still considers itself leader", func(w *simulation) { w.partition(0, 5*time.Second); w.setLeader(1) }},
	{"two control VMs lead and both propose", func(w *simulation) { w.assumeLeadership(0, 5*time.Second); w.setLeader(1) }},
	{"no leader for 6 seconds", func(w *simulation) { w.setLeader(-1); w.waitFor(6*time.Second, nil); w.setLeader(2) }},
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
	{"an engine stalls", func(w *simulation) { w.stallEngine(3, 5*time.Second) }},
	{"an engine stalls, then restarts", func(w *simulation) {
		w.stallEngine(3, 3*time.Second)
		w.waitFor(time.Second, nil)
		w.group.RestartRank(3)
	}},
	{"the log loses all proposals", func(w *simulation) { w.dropProposalsFor(4 * time.Second) }},
	{"old orders are delivered again", func(w *simulation) { w.replayOrders() }},
	{"leader partitioned, engine restarts, old orders are delivered again", func(w *simulation) {
		w.partition(0, 5*time.Second)
		w.setLeader(1)
		w.group.RestartRank(0)
		w.waitFor(700*time.Millisecond, nil)
		w.replayOrders()
	}},
	{"an agent restarts and the leader changes", func(w *simulation) { w.startAgent(0); w.setLeader(1) }},
	{"two engines restart, one after the other", func(w *simulation) {
		w.group.RestartRank(0)
		w.waitFor(400*time.Millisecond, nil)
		w.group.RestartRank(3)
	}},
}

// Guards against ranks that compute a step with different maps, which corrupts responses, and
// against a group that never resumes. In each phase of a switch a leader, an agent, an engine
// or the log fails, some of them together, or old orders are delivered again. After the faults
// end, the next map must come into force.
func TestFaultsInEachSwitchPhase(t *testing.T) {
	t.Parallel()

	for _, phase := range phases {
		for i, fault := range faults {
			t.Run(phase.name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					w := newSimulation(t, uint64(i))
					w.requireProgress()

					current := w.record().GetRulingVersion()
					require.True(t, w.waitFor(2*time.Minute, func() bool { return phase.reached(w, current) }), "the phase must be reached")
					fault.inject(w)
					w.waitFor(6*time.Second, nil)
					w.clearFaults()
					w.requireProgress()
				})
			})
		}
	}
}

// The guarantees of TestFaultsInEachSwitchPhase must also hold for random faults that overlap
// and repeat, while messages are lost, duplicated and delayed by seconds.
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
