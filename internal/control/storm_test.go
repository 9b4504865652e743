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
func TestThunderingReturn(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const processes = 300

		g := newGroup(t, 3)
		f := newFleet(t, g)
		defer f.endAll()

		for i := range processes {
			f.start(entry(fmt.Sprint(i), 1), 0, 1, 2)
		}

		time.Sleep(2 * time.Second)

		commands := len(g.log)

		for i := range processes {
			f.end(fmt.Sprint(i))
			f.start(entry(fmt.Sprint(i), 2), 0, 1, 2)
		}

		time.Sleep(2 * time.Second)
		require.Less(t, len(g.log)-commands, 30)

		for id, r := range f.readers {
			require.True(t, r.Snapshot().Valid(time.Now()))

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
		g := newGroup(t, 1)
		f := newFleet(t, g)
		defer f.endAll()

		g.decide(t, 0, 1, zonesIn)

		first := fullAnswer(t, g)
		f.start(entry("entry-1", 1), 0)
		time.Sleep(time.Second)
		g.decide(t, 0, 2, "[Zone \"saraburi\"]\nRemoved = true\n")

		second := fullAnswer(t, g)
		require.Greater(t, second.GetVersion(), first.GetVersion())
		require.Equal(t, first.GetBase(), second.GetBase())
		require.Equal(t, []string{"Zone/saraburi"}, second.GetRemoved())

		r := f.start(entry("entry-2", 1), 0)
		time.Sleep(time.Second)
		require.True(t, r.Snapshot().ZoneInUse("ayutthaya"))
		require.Len(t, r.Snapshot().Zones(), 1)
		require.Len(t, r.Snapshot().Nodes(), 3, "the asker is one of them")

		for n := range uint64(300) {
			g.decide(t, 0, n+3, fmt.Sprintf("[Workspace \"w%d\"]\nWeight = 2\n", n))
		}

		require.NotEqual(t, first.GetBase(), fullAnswer(t, g).GetBase(), "a base that is far behind is made anew")
	})
}

func fullAnswer(t *testing.T, g *group) *wire.PollResponse {
	t.Helper()

	answer, err := g.servers[0].Poll(t.Context(), &wire.PollRequest{Cluster: cluster, Node: entry("asker", 1)})
	require.NoError(t, err)
	require.True(t, answer.GetFull())

	return answer
}

// An agent dies without a word, another is cut off for a while, a third ends in
// order. The first two leave the directory after the bound, the third at once,
// and the second comes back by itself.
func TestSilentProcessesAreExpired(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		f := newFleet(t, g)
		defer f.endAll()

		watcher := f.start(entry("watcher", 1), 0, 1, 2)
		for _, id := range []string{"dead", "cut-off", "ended"} {
			f.start(target(id, "ayutthaya", 1), 0, 1, 2)
		}

		time.Sleep(2 * time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 4)

		ended := f.readers["ended"]
		f.end("ended")
		require.NoError(t, ended.Leave(t.Context()))
		f.end("dead")
		f.silence("cut-off", true)
		time.Sleep(time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 3)

		time.Sleep(14 * time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 1)

		f.silence("cut-off", false)
		time.Sleep(2 * time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 2)
	})
}

// An agent says that it leaves, and then that it does not. The directory keeps
// it leaving, and the agent's polls must not fill the log from then on.
func TestLeavingIsReportedOnce(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1)
		poll := func(leaving bool) {
			node := target("a", "ayutthaya", 1)
			node.Leaving = leaving

			_, err := g.servers[0].Poll(t.Context(), &wire.PollRequest{Cluster: cluster, Node: node})
			require.NoError(t, err)
			time.Sleep(time.Second)
		}

		poll(true)

		reports := g.count()

		for range 20 {
			poll(false)
		}

		require.Equal(t, reports, g.count())
	})
}

// The control VMs' network fails towards all processes but one. Only a share of the
// directory may be believed dead each minute, and it is whole again soon after.
func TestControlFaultDoesNotEmptyTheDirectory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const processes = 80

		g := newGroup(t, 3)
		f := newFleet(t, g)
		defer f.endAll()

		for i := range processes {
			f.start(entry(fmt.Sprint(i), 1), 0, 1, 2)
		}

		watcher := f.start(entry("watcher", 1), 0, 1, 2)
		time.Sleep(3 * time.Second)

		for i := range processes {
			f.silence(fmt.Sprint(i), true)
		}

		time.Sleep(50 * time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 1+processes*3/4)

		for i := range processes {
			f.silence(fmt.Sprint(i), false)
		}

		time.Sleep(2 * time.Second)
		require.Len(t, watcher.Snapshot().Nodes(), 1+processes)
	})
}

// A zone goes dark with 40 of 100 processes. The directory must lose them in
// bounded time, though not all at once, and must lose nobody else.
func TestVanishedZoneLeavesTheDirectory(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		f := newFleet(t, g)
		defer f.endAll()

		for i := range 100 {
			f.start(target(fmt.Sprint(i), []string{"ayutthaya", "saraburi"}[i/60], 1), 0, 1, 2)
		}

		time.Sleep(3 * time.Second)

		for i := 60; i < 100; i++ {
			f.silence(fmt.Sprint(i), true)
		}

		time.Sleep(2 * time.Minute)
		require.Len(t, f.readers["0"].Snapshot().Nodes(), 60)
	})
}

// The control VMs lose their quorum. A loss as short as an election must cost no
// request; in a longer one processes refuse, since they cannot know what is
// decided elsewhere, and go on soon after it ends.
func TestQuorumLoss(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 3)
		f := newFleet(t, g)
		defer f.endAll()

		r := f.start(entry("entry-1", 1), 0, 1, 2)
		time.Sleep(3 * time.Second)

		refused := func(loss time.Duration) time.Duration {
			var out time.Duration

			for i := range g.servers {
				g.isolate(i, true)
			}

			for at := time.Duration(0); at < loss+10*time.Second; at += 10 * time.Millisecond {
				if at == loss {
					for i := range g.servers {
						g.isolate(i, false)
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
