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
	declareZones = "[Zone \"ayutthaya\"]\n[Zone \"saraburi\"]\n"
	zoneOut      = "[Zone \"ayutthaya\"]\nOut = true\n"
	zoneIn       = "[Zone \"ayutthaya\"]\nOut = false\n"
)

// While no process is partitioned, taking a zone out must be in force as soon as all
// processes acknowledged it, long before a lease expires.
func TestInForceByAcknowledgement(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 3)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		for i := range 30 {
			readers.start(entryNode(fmt.Sprintf("entry-%d", i), 1), 0, 1, 2)
		}

		time.Sleep(3 * time.Second)
		vms.decide(t, 0, 1, declareZones)
		time.Sleep(200 * time.Millisecond)

		status := vms.status(t, 1, 1)
		require.True(t, status.GetInForce(), status.GetWhy())
		require.EqualValues(t, 30, status.GetAcknowledged())

		for _, r := range readers.byID {
			require.True(t, r.Snapshot().ZoneInUse("ayutthaya"))
		}
	})
}

// A partition that silently drops packets cuts off one entry just before a zone goes out. While
// the entry's lease holds, it still sends into the zone: the decision must not be in force,
// and the status must name the entry. Once the lease has expired, the entry refuses new work
// and the decision must be in force, although the entry never received it.
func TestInForceOnceLeaseOfPartitionedProcessExpires(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 3)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		partitioned := readers.start(entryNode("entry-1", 1), 0, 1, 2)
		readers.start(entryNode("entry-2", 1), 0, 1, 2)
		vms.decide(t, 0, 1, declareZones)
		time.Sleep(10 * time.Second)
		readers.setPartitioned("entry-1", true)
		vms.decide(t, 0, 2, zoneOut)
		time.Sleep(time.Second)

		status := vms.status(t, 0, 2)
		require.False(t, status.GetInForce(), status.GetWhy())
		require.Len(t, status.GetOutstanding(), 1)
		require.Equal(t, "entry-1", status.GetOutstanding()[0].GetNodeID())
		require.True(t, partitioned.Snapshot().Valid(time.Now()))
		require.True(t, partitioned.Snapshot().ZoneInUse("ayutthaya"))

		time.Sleep(4 * time.Second)

		// The lease has expired, but a partitioned agent may still admit a request that the
		// entry sent before, until its credit expires.
		require.False(t, partitioned.Snapshot().Valid(time.Now()))
		require.False(t, vms.status(t, 0, 2).GetInForce())
		time.Sleep(2 * time.Second)

		status = vms.status(t, 0, 2)
		require.True(t, status.GetInForce(), status.GetWhy())
		require.Equal(t, "entry-1", status.GetOutstanding()[0].GetNodeID(), "the status no longer names the partitioned entry")

		readers.setPartitioned("entry-1", false)
		time.Sleep(2 * time.Second)
		require.True(t, partitioned.Snapshot().Valid(time.Now()))
		require.False(t, partitioned.Snapshot().ZoneInUse("ayutthaya"))
	})
}

// A control VM is isolated, or applies the log slowly, and a new process polls only that
// VM. It gets the configuration before the decision with the rest of a lease, and the other
// VMs do not know of it. The decision must not be in force while that process may act.
func TestNotInForceWhileOneControlVMServesOldVersion(t *testing.T) {
	t.Parallel()

	cases := map[string]func(*controlVMs){
		"isolated":     func(vms *controlVMs) { vms.isolate(2, true) },
		"apply paused": func(vms *controlVMs) { vms.pauseApply(2, true) },
	}

	for name, breakVM := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				vms := newControlVMs(t, 3)
				readers := newReaderSet(t, vms)
				defer readers.stopAll()

				readers.start(entryNode("known", 1), 0, 1)
				vms.decide(t, 0, 1, declareZones)
				time.Sleep(10 * time.Second)
				breakVM(vms)
				vms.decide(t, 0, 2, zoneOut)
				time.Sleep(500 * time.Millisecond)
				require.False(t, vms.status(t, 0, 2).GetInForce(), "in force before the process starts")

				unknown := readers.start(entryNode("unknown", 1), 2)
				time.Sleep(500 * time.Millisecond)
				require.True(t, unknown.Snapshot().Valid(time.Now()))
				require.True(t, unknown.Snapshot().ZoneInUse("ayutthaya"))

				status := vms.status(t, 0, 2)
				require.False(t, status.GetInForce(), status.GetWhy())
				time.Sleep(4 * time.Second)
				require.False(t, unknown.Snapshot().Valid(time.Now()))
				require.False(t, vms.status(t, 0, 2).GetInForce(), "in force before the credits expired")
				time.Sleep(2 * time.Second)
				require.True(t, vms.status(t, 0, 2).GetInForce())
			})
		})
	}
}

// A control VM is isolated for an hour, during 300 decisions, and one entry can reach only
// that VM. The entry must soon refuse work although the VM still answers it, and must hold
// the last decision after the isolation ends. An entry that can reach the other VMs must
// switch to them immediately.
func TestEntryOfIsolatedControlVMRefusesUntilHeal(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 3)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		single := readers.start(entryNode("bound", 1), 2)
		redundant := readers.start(entryNode("free", 1), 0, 1, 2)
		vms.decide(t, 0, 1, declareZones)
		time.Sleep(time.Second)
		vms.isolate(2, true)
		vms.decide(t, 0, 2, zoneOut)
		time.Sleep(5 * time.Second)

		require.False(t, single.Snapshot().Valid(time.Now()))
		require.True(t, redundant.Snapshot().Valid(time.Now()))
		require.False(t, redundant.Snapshot().ZoneInUse("ayutthaya"))

		_, err := vms.servers[2].Plan(t.Context(), &wire.PlanRequest{Operator: "may", Declaration: []byte(zoneIn)})
		require.ErrorContains(t, err, "ask another")

		for n := range uint64(300) {
			vms.decide(t, int(n%2), n+3, fmt.Sprintf("[Workspace \"w%d\"]\nWeight = %d\n", n%40, n+1))
			time.Sleep(12 * time.Second)
			require.False(t, single.Snapshot().Valid(time.Now()))
		}

		vms.isolate(2, false)
		time.Sleep(2 * time.Second)

		require.True(t, single.Snapshot().Valid(time.Now()))
		require.Equal(t, redundant.Snapshot().Version, single.Snapshot().Version)
		require.False(t, single.Snapshot().ZoneInUse("ayutthaya"))

		w, ok := single.Snapshot().Workspace("w19")
		require.True(t, ok)
		require.EqualValues(t, 300, w.GetWeight())
	})
}

// A control VM that was far behind catches up by a snapshot with two decisions of the last
// second, and skips the version of the first. If that version counted from the VM's start,
// hours ago, the status would treat every lease as expired while a partitioned entry still
// sends into the zone.
func TestInForceAfterCatchUpBySnapshot(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 3)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		partitioned := readers.start(entryNode("entry-1", 1), 0, 1, 2)
		vms.decide(t, 0, 1, declareZones)
		time.Sleep(time.Hour)
		vms.isolate(2, true)
		readers.setPartitioned("entry-1", true)
		vms.decide(t, 0, 2, zoneOut)
		vms.decide(t, 0, 3, "[Workspace \"w\"]\nWeight = 2\n")
		time.Sleep(time.Second)
		vms.installSnapshot(t, 0, 2)

		require.True(t, actsOnOldVersion(partitioned, vms.status(t, 2, 2).GetEntry().GetVersion()))
		require.False(t, vms.status(t, 2, 2).GetInForce())
		time.Sleep(5 * time.Second)
		require.False(t, vms.status(t, 2, 2).GetInForce(), "in force before the credits expired")
		time.Sleep(2 * time.Second)
		require.True(t, vms.status(t, 2, 2).GetInForce())
	})
}

// Whenever a control VM reports a decision as in force, no process that may act holds an
// earlier version. The schedule is random: processes start, restart and are partitioned,
// control VMs are isolated and rejoin, and decisions follow each other. All VMs are queried
// at each step.
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

	vms := newControlVMs(t, 3)
	readers := newReaderSet(t, vms)
	defer readers.stopAll()

	for i := range processes {
		readers.start(entryNode(fmt.Sprint(i), 1), rnd.Perm(3)...)
	}

	number, reported := uint64(0), 0

	for step := range 150 {
		id := fmt.Sprint(rnd.IntN(processes))

		switch rnd.IntN(8) {
		case 0:
			readers.setPartitioned(id, true)
		case 1, 2:
			readers.setPartitioned(id, false)
		case 3:
			readers.stop(id)
			readers.start(entryNode(id, uint64(step+2)), rnd.Perm(3)[:1+rnd.IntN(3)]...)
		case 4:
			vms.isolate(rnd.IntN(3), rnd.IntN(2) == 0)
		default:
			number += tryDecide(vms, number+1, []string{zoneOut, zoneIn}[rnd.IntN(2)])
		}

		time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)

		for i := range vms.servers {
			reported += requireInForceIsTrue(t, vms, readers, i)
		}
	}

	require.Positive(t, reported, "no decision was in force, so nothing was checked")
}

// tryDecide makes a decision if a VM is left to lead. It returns the number of decisions
// made.
func tryDecide(vms *controlVMs, number uint64, declaration string) uint64 {
	i := vms.leader()
	if i < 0 {
		return 0
	}

	return tryDecideAt(vms, i, number, declaration)
}

func requireInForceIsTrue(t *testing.T, vms *controlVMs, readers *readerSet, i int) int {
	status, err := vms.servers[i].Status(t.Context(), &wire.StatusRequest{Limit: 3})
	require.NoError(t, err)

	reported := 0

	for _, d := range status.GetDecisions() {
		if !d.GetInForce() {
			continue
		}

		reported++

		for id, r := range readers.byID {
			require.False(t, actsOnOldVersion(r, d.GetEntry().GetVersion()),
				"control-%d reports version %d as in force (%s), but process %s may act on version %d", i+1, d.GetEntry().GetVersion(), d.GetWhy(), id, r.Snapshot().Version)
		}
	}

	return reported
}

func actsOnOldVersion(r *view.Reader, version uint64) bool {
	s := r.Snapshot()
	return s.Version < version && s.Valid(time.Now())
}
