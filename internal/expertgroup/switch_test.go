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
func (w *world) statuses() []*wire.RankStatus {
	var out []*wire.RankStatus

	for _, p := range w.places() {
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)

		s, err := w.at(p.Address).Order(ctx, &wire.RankOrder{Group: groupName, Rank: uint32(p.Rank)})

		cancel()

		if err == nil {
			out = append(out, s)
		}
	}

	return out
}

func (w *world) count(is func(s *wire.RankStatus, open uint64) bool) int {
	open := w.record().GetOpenFence()
	n := 0

	for _, s := range w.statuses() {
		if open != 0 && is(s, open) {
			n++
		}
	}

	return n
}

func staged(s *wire.RankStatus, open uint64) bool   { return s.GetStaged() == open }
func promised(s *wire.RankStatus, open uint64) bool { return s.GetPromised() == open }

// phases are the moments of a switch at which something goes wrong.
var phases = []struct {
	name string
	at   func(w *world, ruling uint64) bool
}{
	{"no switch", func(*world, uint64) bool { return true }},
	{"begun", func(w *world, _ uint64) bool { return w.record().GetOpenFence() != 0 }},
	{"one rank staged", func(w *world, _ uint64) bool { return w.count(staged) > 0 }},
	{"one rank promised", func(w *world, _ uint64) bool { return w.count(promised) > 0 }},
	{"all ranks promised", func(w *world, _ uint64) bool { return w.count(promised) == ranks }},
	{"committed", func(w *world, ruling uint64) bool { return w.record().GetRulingVersion() != ruling }},
	{"all ranks switched", func(w *world, ruling uint64) bool { return w.followed(ruling) }},
}

func (w *world) cutOff(i int, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.nodes[i].cut, w.nodes[i].believes = time.Now().Add(d), time.Now().Add(d)
}

func (w *world) believe(i int, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.nodes[i].believes = time.Now().Add(d)
}

func (w *world) stall(n int, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.stalled[n] = time.Now().Add(d)
}

func (w *world) logDown(d time.Duration) {
	w.mu.Lock()
	w.logLoses = true
	w.mu.Unlock()
	w.run(d, nil)
	w.mu.Lock()
	w.logLoses = false
	w.mu.Unlock()
}

// faults are what goes wrong there.
var faults = []struct {
	name string
	do   func(w *world)
}{
	{"the leader changes", func(w *world) { w.lead(1) }},
	{"the leader is cut off and does not know", func(w *world) { w.cutOff(0, 5*time.Second); w.lead(1) }},
	{"two control VMs lead and both propose", func(w *world) { w.believe(0, 5*time.Second); w.lead(1) }},
	{"nobody leads for long", func(w *world) { w.lead(-1); w.run(6*time.Second, nil); w.lead(2) }},
	{"an agent restarts", func(w *world) { w.startAgent(1) }},
	{"an agent restarts twice within a second", func(w *world) { w.startAgent(1); w.run(300*time.Millisecond, nil); w.startAgent(1) }},
	{"all agents restart", func(w *world) {
		for n := range ranks {
			w.startAgent(n)
		}
	}},
	{"an engine restarts", func(w *world) { w.group.RestartRank(2) }},
	{"an engine and its agent restart, and the engine is slow to answer", func(w *world) {
		w.stall(2, 3*time.Second)
		w.group.RestartRank(2)
		w.startAgent(2)
	}},
	{"an engine takes nothing for long", func(w *world) { w.stall(3, 5*time.Second) }},
	{"an engine takes nothing, then restarts", func(w *world) {
		w.stall(3, 3*time.Second)
		w.run(time.Second, nil)
		w.group.RestartRank(3)
	}},
	{"the log loses all proposals", func(w *world) { w.logDown(4 * time.Second) }},
	{"all orders come again", func(w *world) { w.replay() }},
	{"leader cut off, engine restarts, all orders come again", func(w *world) {
		w.cutOff(0, 5*time.Second)
		w.lead(1)
		w.group.RestartRank(0)
		w.run(700*time.Millisecond, nil)
		w.replay()
	}},
	{"agent restarts and the leader changes", func(w *world) { w.startAgent(0); w.lead(1) }},
	{"two engines restart, one after the other", func(w *world) {
		w.group.RestartRank(0)
		w.run(400*time.Millisecond, nil)
		w.group.RestartRank(3)
	}},
}

// Coopers would see garbled drafts if two ranks computed a step with different
// maps, and none at all if the group waited for good. A leader, an agent, an
// engine or the log fails somewhere in a switch, two of them together, or old
// orders come again; then all is well again, and the next map must come to rule.
func TestEveryPhase(t *testing.T) {
	t.Parallel()

	for _, phase := range phases {
		for i, fault := range faults {
			t.Run(phase.name+"/"+fault.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					w := newWorld(t, uint64(i))
					w.requireAlive()

					ruling := w.record().GetRulingVersion()
					require.True(t, w.run(2*time.Minute, func() bool { return phase.at(w, ruling) }), "the phase is reached")
					fault.do(w)
					w.run(6*time.Second, nil)
					w.heal()
					w.requireAlive()
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
				w := newWorld(t, seed)
				w.mu.Lock()
				w.lose, w.double, w.late = 0.1*w.rnd.Float64(), 0.2*w.rnd.Float64(), 0.1*w.rnd.Float64()
				w.mu.Unlock()

				for range 12 {
					w.mu.Lock()
					d := time.Duration(w.rnd.Int64N(int64(3 * time.Second)))
					n := w.rnd.IntN(len(faults))
					w.mu.Unlock()
					w.run(d, nil)
					faults[n].do(w)
				}

				w.heal()
				w.lead(0)
				w.requireAlive()
			})
		})
	}
}
