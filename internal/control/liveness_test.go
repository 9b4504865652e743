package control_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// 300 processes restart and poll at once, as after the failure of a switch. Within two
// seconds each must be in the directory with its new incarnation, without a log command for
// each.
func TestMassRestartIsBatched(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const processes = 300

		vms := newControlVMs(t, 3)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		for i := range processes {
			readers.start(entryNode(fmt.Sprint(i), 1), 0, 1, 2)
		}

		time.Sleep(2 * time.Second)

		commands := vms.commands()

		for i := range processes {
			readers.stop(fmt.Sprint(i))
			readers.start(entryNode(fmt.Sprint(i), 2), 0, 1, 2)
		}

		time.Sleep(2 * time.Second)
		require.Less(t, vms.commands()-commands, 30)

		for id, r := range readers.byID {
			require.True(t, r.Snapshot().Valid(time.Now()))

			node, ok := r.Snapshot().Node(id)
			require.True(t, ok)
			require.EqualValues(t, 2, node.GetIncarnation())
			require.Len(t, r.Snapshot().Nodes(), processes)
		}
	})
}

// A thousand processes restart at once, and each needs the full state while their reports
// create new versions. Encoding it for each took longer than their poll timeout, so they
// retried and none got an answer. Full answers must share one base and add the changes
// since.
func TestFullAnswersShareOneBase(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 1)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		vms.decide(t, 0, 1, declareZones)

		first := fullAnswer(t, vms)
		readers.start(entryNode("entry-1", 1), 0)
		time.Sleep(time.Second)
		vms.decide(t, 0, 2, "[Zone \"saraburi\"]\nRemoved = true\n")

		second := fullAnswer(t, vms)
		require.Greater(t, second.GetVersion(), first.GetVersion())
		require.Equal(t, first.GetBase(), second.GetBase())
		require.Equal(t, []string{"Zone/saraburi"}, second.GetRemoved())

		r := readers.start(entryNode("entry-2", 1), 0)
		time.Sleep(time.Second)
		require.True(t, r.Snapshot().ZoneInUse("ayutthaya"))
		require.Len(t, r.Snapshot().Zones(), 1)
		require.Len(t, r.Snapshot().Nodes(), 3, "two entries and the sender of the polls above")

		for n := range uint64(300) {
			vms.decide(t, 0, n+3, fmt.Sprintf("[Workspace \"w%d\"]\nWeight = 2\n", n))
		}

		require.NotEqual(t, first.GetBase(), fullAnswer(t, vms).GetBase(), "a base that is far behind was not encoded again")
	})
}

func fullAnswer(t *testing.T, vms *controlVMs) *wire.PollResponse {
	t.Helper()

	answer, err := vms.servers[0].Poll(t.Context(), &wire.PollRequest{Cluster: cluster, Node: entryNode("asker", 1)})
	require.NoError(t, err)
	require.True(t, answer.GetFull())

	return answer
}

// One agent crashes, another is partitioned for a while, a third ends in order. The first
// two must leave the directory after the timeout and the third immediately. The second must
// return when its partition ends.
func TestUnresponsiveProcessesExpire(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 3)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		watcher := readers.start(entryNode("watcher", 1), 0, 1, 2)
		for _, id := range []string{"dead", "cut-off", "ended"} {
			readers.start(agentNode(id, "ayutthaya", 1), 0, 1, 2)
		}

		time.Sleep(2 * time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 4)

		ended := readers.byID["ended"]
		readers.stop("ended")
		require.NoError(t, ended.Leave(t.Context()))
		readers.stop("dead")
		readers.setPartitioned("cut-off", true)
		time.Sleep(time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 3)

		time.Sleep(14 * time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 1)

		readers.setPartitioned("cut-off", false)
		time.Sleep(2 * time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 2)
	})
}

// An agent reports that it is leaving, then that it is not. The directory keeps it as
// leaving, and its further polls must not add commands to the log.
func TestLeavingIsReportedOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 1)
		poll := func(leaving bool) {
			node := agentNode("a", "ayutthaya", 1)
			node.Leaving = leaving

			_, err := vms.servers[0].Poll(t.Context(), &wire.PollRequest{Cluster: cluster, Node: node})
			require.NoError(t, err)
			time.Sleep(time.Second)
		}

		poll(true)

		reports := vms.countNodeReports()

		for range 20 {
			poll(false)
		}

		require.Equal(t, reports, vms.countNodeReports())
	})
}

// A network fault on the side of the control VMs partitions all processes but one. The
// ledger bounds the share of the directory that is expired per minute, and the directory
// must be complete again soon after the fault ends.
func TestControlNetworkFaultDoesNotEmptyDirectory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const processes = 80

		vms := newControlVMs(t, 3)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		for i := range processes {
			readers.start(entryNode(fmt.Sprint(i), 1), 0, 1, 2)
		}

		watcher := readers.start(entryNode("watcher", 1), 0, 1, 2)
		time.Sleep(3 * time.Second)

		for i := range processes {
			readers.setPartitioned(fmt.Sprint(i), true)
		}

		time.Sleep(50 * time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 1+processes*3/4)

		for i := range processes {
			readers.setPartitioned(fmt.Sprint(i), false)
		}

		time.Sleep(2 * time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 1+processes)
	})
}

// A zone with 40 of 100 processes fails. All of these, and no others, must leave the
// directory within two minutes despite the bound on expiries.
func TestFailedZoneExpires(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 3)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		for i := range 100 {
			readers.start(agentNode(fmt.Sprint(i), []string{"ayutthaya", "saraburi"}[i/60], 1), 0, 1, 2)
		}

		time.Sleep(3 * time.Second)

		for i := 60; i < 100; i++ {
			readers.setPartitioned(fmt.Sprint(i), true)
		}

		time.Sleep(2 * time.Minute)
		require.Len(t, readers.byID["0"].Snapshot().Nodes(), 60)
	})
}

// The control VMs lose their quorum. A loss as short as an election must not make processes
// refuse requests. In a longer one they must refuse, as they cannot know what was decided
// elsewhere, and resume soon after it ends.
func TestQuorumLoss(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		vms := newControlVMs(t, 3)
		readers := newReaderSet(t, vms)
		defer readers.stopAll()

		r := readers.start(entryNode("entry-1", 1), 0, 1, 2)
		time.Sleep(3 * time.Second)

		refused := func(loss time.Duration) time.Duration {
			var out time.Duration

			for i := range vms.servers {
				vms.isolate(i, true)
			}

			for at := time.Duration(0); at < loss+10*time.Second; at += 10 * time.Millisecond {
				if at == loss {
					for i := range vms.servers {
						vms.isolate(i, false)
					}
				}

				if !r.Snapshot().Valid(time.Now()) {
					out += 10 * time.Millisecond
				}

				time.Sleep(10 * time.Millisecond)
			}

			return out
		}

		require.Zero(t, refused(2*time.Second))

		long := refused(time.Minute)
		require.Greater(t, long, 55*time.Second)
		require.Less(t, long, 58*time.Second)
	})
}
