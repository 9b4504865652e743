package control_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// A switch comes back and 300 processes restart and poll at once. Each must be
// in the directory under its new incarnation within a second or two, and they
// must not cost a command of the log each.
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

		commands := len(vms.log)

		for i := range processes {
			readers.stop(fmt.Sprint(i))
			readers.start(entryNode(fmt.Sprint(i), 2), 0, 1, 2)
		}

		time.Sleep(2 * time.Second)
		require.Less(t, len(vms.log)-commands, 30)

		for id, r := range readers.byID {
			require.True(t, r.Snapshot().Fresh(time.Now()))

			node, ok := r.Snapshot().Node(id)
			require.True(t, ok)
			require.EqualValues(t, 2, node.GetIncarnation())
			require.Len(t, r.Snapshot().Nodes(), processes)
		}
	})
}

// A thousand processes return at once and each needs everything, while their
// own reports make new versions. Encoding everything for each took longer than
// they waited; they asked again, and none was ever served. So what was encoded
// for one serves the next, with what changed since beside it.
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
		require.Len(t, r.Snapshot().Nodes(), 3, "the asker is one of them")

		for n := range uint64(300) {
			vms.decide(t, 0, n+3, fmt.Sprintf("[Workspace \"w%d\"]\nWeight = 2\n", n))
		}

		require.NotEqual(t, first.GetBase(), fullAnswer(t, vms).GetBase(), "a base that is far behind is made anew")
	})
}

func fullAnswer(t *testing.T, vms *controlVMs) *wire.PollResponse {
	t.Helper()

	answer, err := vms.servers[0].Poll(t.Context(), &wire.PollRequest{Cluster: cluster, Node: entryNode("asker", 1)})
	require.NoError(t, err)
	require.True(t, answer.GetFull())

	return answer
}

// An agent dies without a word, another is cut off for a while, a third ends in
// order. The first two leave the directory after the bound, the third at once,
// and the second comes back by itself.
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

// An agent says that it leaves, and then that it does not. The directory keeps
// it leaving, and the agent's polls must not fill the log from then on.
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

// The control VMs' network fails towards all processes but one. Only a share of the
// directory may be believed dead each minute, and it is whole again soon after.
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

// A zone goes dark with 40 of 100 processes. The directory must lose them in
// bounded time, though not all at once, and must lose nobody else.
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

// The control VMs lose their quorum. A loss as short as an election must cost no
// request; in a longer one processes refuse, since they cannot know what is
// decided elsewhere, and go on soon after it ends.
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

				if !r.Snapshot().Fresh(time.Now()) {
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
