package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/view"
	"github.com/parsleygate/parsleygate/internal/wire"
)

const (
	zonesIn = "[Zone \"ayutthaya\"]\n[Zone \"saraburi\"]\n"
	zoneOut = "[Zone \"ayutthaya\"]\nOut = true\n"
	zoneIn  = "[Zone \"ayutthaya\"]\nOut = false\n"
)

// An operator takes a zone out while all processes are well. It is in force
// everywhere as soon as they acknowledge it, long before a lease runs out.
func TestInForceByAcknowledgement(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		f := newFleet(t, g)
		defer f.endAll()

		for i := range 30 {
			f.start(entry(fmt.Sprintf("entry-%d", i), 1), 0, 1, 2)
		}

		time.Sleep(3 * time.Second)
		g.decide(t, 0, 1, zonesIn)
		time.Sleep(200 * time.Millisecond)

		status := g.status(t, 1, 1)
		require.True(t, status.GetInForce(), status.GetWhy())
		require.EqualValues(t, 30, status.GetAcknowledged())

		for _, r := range f.readers {
			require.True(t, r.Snapshot().ZoneInUse("ayutthaya"))
		}
	})
}

// One entry is cut off by a silent partition just before a zone goes out. It
// goes on sending into the zone while its lease holds, so the decision is not
// in force yet, and status names it. Then its lease has run out, it refuses new
// work, and the decision is in force, though the entry never learnt of it.
func TestInForceDespiteASilentProcess(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		f := newFleet(t, g)
		defer f.endAll()

		cutOff := f.start(entry("entry-1", 1), 0, 1, 2)
		f.start(entry("entry-2", 1), 0, 1, 2)
		g.decide(t, 0, 1, zonesIn)
		time.Sleep(10 * time.Second)
		f.silence("entry-1", true)
		g.decide(t, 0, 2, zoneOut)
		time.Sleep(time.Second)

		status := g.status(t, 0, 2)
		require.False(t, status.GetInForce(), status.GetWhy())
		require.Len(t, status.GetOutstanding(), 1)
		require.Equal(t, "entry-1", status.GetOutstanding()[0].GetNodeID())
		require.True(t, cutOff.Snapshot().Valid(time.Now()))
		require.True(t, cutOff.Snapshot().ZoneInUse("ayutthaya"))

		time.Sleep(4 * time.Second)

		// Its lease has run out, but an agent that is cut off too may still let in a
		// request that it sent before, for as long as its credit lasts.
		require.False(t, cutOff.Snapshot().Valid(time.Now()))
		require.False(t, g.status(t, 0, 2).GetInForce())
		time.Sleep(2 * time.Second)

		status = g.status(t, 0, 2)
		require.True(t, status.GetInForce(), status.GetWhy())
		require.Equal(t, "entry-1", status.GetOutstanding()[0].GetNodeID(), "it is still named")

		f.silence("entry-1", false)
		time.Sleep(2 * time.Second)
		require.True(t, cutOff.Snapshot().Valid(time.Now()))
		require.False(t, cutOff.Snapshot().ZoneInUse("ayutthaya"))
	})
}

// A control VM has just been cut off, or applies the log slowly, and a process
// starts that asks only this one. It gets the configuration from before the
// decision with a rest of a lease, and the other VMs do not know of it. Were the
// decision said to be in force, that process would still act against it.
func TestProcessThatOnlyOneControlVMKnows(t *testing.T) {
	t.Parallel()

	cases := map[string]func(*group){
		"cut off": func(g *group) { g.isolate(2, true) },
		"slow":    func(g *group) { g.slowDown(2, true) },
	}

	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 3)
				f := newFleet(t, g)
				defer f.endAll()

				f.start(entry("known", 1), 0, 1)
				g.decide(t, 0, 1, zonesIn)
				time.Sleep(10 * time.Second)
				spoil(g)
				g.decide(t, 0, 2, zoneOut)
				time.Sleep(500 * time.Millisecond)
				require.False(t, g.status(t, 0, 2).GetInForce(), "before the process starts")

				unknown := f.start(entry("unknown", 1), 2)
				time.Sleep(500 * time.Millisecond)
				require.True(t, unknown.Snapshot().Valid(time.Now()))
				require.True(t, unknown.Snapshot().ZoneInUse("ayutthaya"))

				status := g.status(t, 0, 2)
				require.False(t, status.GetInForce(), status.GetWhy())
				time.Sleep(4 * time.Second)
				require.False(t, unknown.Snapshot().Valid(time.Now()))
				require.False(t, g.status(t, 0, 2).GetInForce(), "its credits last")
				time.Sleep(2 * time.Second)
				require.True(t, g.status(t, 0, 2).GetInForce())
			})
		})
	}
}

// A control VM is isolated for an hour, and an entry can reach only that one.
// Hundreds of decisions pass it by. The entry must refuse soon after the cut,
// though the VM still answers it, and must hold the last decision after the
// heal; an entry that knows the other VMs moves to them at once.
func TestIsolatedControlVM(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		f := newFleet(t, g)
		defer f.endAll()

		bound := f.start(entry("bound", 1), 2)
		free := f.start(entry("free", 1), 0, 1, 2)
		g.decide(t, 0, 1, zonesIn)
		time.Sleep(time.Second)
		g.isolate(2, true)
		g.decide(t, 0, 2, zoneOut)
		time.Sleep(5 * time.Second)

		require.False(t, bound.Snapshot().Valid(time.Now()))
		require.True(t, free.Snapshot().Valid(time.Now()))
		require.False(t, free.Snapshot().ZoneInUse("ayutthaya"))

		_, err := g.servers[2].Plan(t.Context(), &wire.PlanRequest{Operator: "may", Declaration: []byte(zoneIn)})
		require.ErrorContains(t, err, "ask another")

		for n := range uint64(300) {
			g.decide(t, int(n%2), n+3, fmt.Sprintf("[Workspace \"w%d\"]\nWeight = %d\n", n%40, n+1))
			time.Sleep(12 * time.Second)
			require.False(t, bound.Snapshot().Valid(time.Now()))
		}

		g.isolate(2, false)
		time.Sleep(2 * time.Second)

		require.True(t, bound.Snapshot().Valid(time.Now()))
		require.Equal(t, free.Snapshot().Version, bound.Snapshot().Version)
		require.False(t, bound.Snapshot().ZoneInUse("ayutthaya"))

		w, ok := bound.Snapshot().Workspace("w19")
		require.True(t, ok)
		require.EqualValues(t, 300, w.GetWeight())
	})
}

// A control VM was far behind and catches up by a snapshot that holds two
// decisions of the last second. It skips the version of the first; if that
// counted from the VM's start, hours ago, status would say that every lease has
// run out since, while a cut-off entry still sends into the zone.
func TestInForceAfterCatchingUpBySnapshot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		f := newFleet(t, g)
		defer f.endAll()

		cutOff := f.start(entry("entry-1", 1), 0, 1, 2)
		g.decide(t, 0, 1, zonesIn)
		time.Sleep(time.Hour)
		g.isolate(2, true)
		f.silence("entry-1", true)
		g.decide(t, 0, 2, zoneOut)
		g.decide(t, 0, 3, "[Workspace \"w\"]\nWeight = 2\n")
		time.Sleep(time.Second)
		g.install(t, 0, 2)

		require.True(t, actsBefore(cutOff, g.status(t, 2, 2).GetEntry().GetVersion()))
		require.False(t, g.status(t, 2, 2).GetInForce())
		time.Sleep(5 * time.Second)
		require.False(t, g.status(t, 2, 2).GetInForce(), "its credits last")
		time.Sleep(2 * time.Second)
		require.True(t, g.status(t, 2, 2).GetInForce())
	})
}

// What operators rely on: whenever any control VM says that a decision is in
// force, no process that could act still holds an earlier version. Processes
// start, restart and are cut off, control VMs are isolated and heal, decisions
// follow each other, in any order; and at each step all VMs are asked.
func TestInForceIsTrue(t *testing.T) {
	t.Parallel()

	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkInForce(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func checkInForce(t *testing.T, rnd *rand.Rand) {
	const processes = 8

	g := newGroup(t, 3)
	f := newFleet(t, g)
	defer f.endAll()

	for i := range processes {
		f.start(entry(fmt.Sprint(i), 1), rnd.Perm(3)...)
	}

	number, said := uint64(0), 0

	for step := range 150 {
		id := fmt.Sprint(rnd.IntN(processes))

		switch rnd.IntN(8) {
		case 0:
			f.silence(id, true)
		case 1, 2:
			f.silence(id, false)
		case 3:
			f.end(id)
			f.start(entry(id, uint64(step+2)), rnd.Perm(3)[:1+rnd.IntN(3)]...)
		case 4:
			g.isolate(rnd.IntN(3), rnd.IntN(2) == 0)
		default:
			number += tryDecide(g, number+1, []string{zoneOut, zoneIn}[rnd.IntN(2)])
		}

		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)

		for i := range g.servers {
			said += requireTrue(t, g, f, i)
		}
	}

	require.Positive(t, said, "the check must have met decisions in force")
}

// tryDecide makes a decision where a quorum is left, and returns how many were made.
func tryDecide(g *group, number uint64, declaration string) uint64 {
	i := g.leader()
	if i < 0 {
		return 0
	}

	return made(g, i, number, declaration)
}

func requireTrue(t *testing.T, g *group, f *fleet, i int) int {
	status, err := g.servers[i].Status(t.Context(), &wire.StatusRequest{Limit: 3})
	require.NoError(t, err)

	said := 0

	for _, d := range status.GetDecisions() {
		if !d.GetInForce() {
			continue
		}

		said++

		for id, r := range f.readers {
			require.False(t, actsBefore(r, d.GetEntry().GetVersion()),
				"control-%d says %d is in force (%s); %s has %d", i+1, d.GetEntry().GetVersion(), d.GetWhy(), id, r.Snapshot().Version)
		}
	}

	return said
}

func actsBefore(r *view.Reader, version uint64) bool {
	s := r.Snapshot()
	return s.Version < version && s.Valid(time.Now())
}
