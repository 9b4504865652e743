package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/dispatch"
)

// idleFixture returns a dispatcher with four equal targets, of which those named have an idle connection.
func idleFixture(idle ...string) *dispatch.Dispatcher {
	d := &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 2))}

	var targets []dispatch.Target

	for n := range 4 {
		t := dispatch.Target{ID: fmt.Sprint("t", n), Service: "drafts", Slots: 10, Idle: func() bool { return false }}

		for _, id := range idle {
			if id == t.ID {
				t.Idle = func() bool { return true }
			}
		}

		targets = append(targets, t)
	}

	d.Update(startTime, []dispatch.Service{{Name: "drafts"}}, targets)

	return d
}

// place submits a request, which is placed at once.
func place(t *testing.T, d *dispatch.Dispatcher, n int, reuse bool) dispatch.Action {
	t.Helper()

	now := startTime.Add(time.Duration(n) * time.Millisecond)
	placed := d.Submit(now, dispatch.Request{ID: uint64(n), Service: "drafts", SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second), Reuse: reuse})
	require.Len(t, placed, 1)
	require.True(t, placed[0].Placed)

	return placed[0]
}

// Guards against new connections to other targets while equal ones have an idle connection, and
// against one of several such targets that gets all requests.
func TestTargetsWithAnIdleConnectionArePreferred(t *testing.T) {
	t.Parallel()

	d := idleFixture("t1", "t3")
	got := make(map[string]int)

	for n := range 100 {
		placed := place(t, d, n, true)
		got[placed.Target.ID]++
		d.Finish(startTime.Add(time.Duration(n)*time.Millisecond), placed, 1, dispatch.Completed)
	}

	require.Equal(t, 100, got["t1"]+got["t3"], got)
	require.Greater(t, got["t1"], 25)
	require.Greater(t, got["t3"], 25)
}

// Guards against targets that are loaded more than others because of their idle connections.
func TestIdleConnectionDoesNotOutweighLoad(t *testing.T) {
	t.Parallel()

	d := idleFixture("t2")
	got := make(map[string]int)

	for n := range 12 {
		got[place(t, d, n, true).Target.ID]++
	}

	require.Equal(t, map[string]int{"t0": 3, "t1": 3, "t2": 3, "t3": 3}, got)
}

// Guards against another choice of targets for requests that always get a new connection: they would
// take the place of an idle one.
func TestIdleConnectionsDoNotMatterWithoutReuse(t *testing.T) {
	t.Parallel()

	with, without := idleFixture("t1"), idleFixture()

	for n := range 40 {
		require.Equal(t, place(t, without, n, true).Target.ID, place(t, with, n, false).Target.ID)
	}
}

// BenchmarkSubmitReuse is BenchmarkSubmit for requests that may use idle connections, which half of
// the targets have.
func BenchmarkSubmitReuse(b *testing.B) {
	d := &dispatch.Dispatcher{Settings: dispatch.DefaultSettings(), Rand: rand.New(rand.NewPCG(1, 2))}

	var (
		targets []dispatch.Target
		counts  [63]atomic.Int32
	)

	for i := range counts {
		counts[i].Store(int32(i % 2))
		targets = append(targets, dispatch.Target{ID: fmt.Sprint(i), Service: "drafts", Slots: 10, Idle: func() bool { return counts[i].Load() > 0 }})
	}

	d.Update(startTime, []dispatch.Service{{Name: "drafts"}}, targets)

	for i := range b.N {
		now := startTime.Add(time.Duration(i) * time.Millisecond)
		for _, a := range d.Submit(now, dispatch.Request{ID: uint64(i), Service: "drafts", SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second), Reuse: true}) {
			d.Finish(now, a, 1, dispatch.Completed)
		}
	}
}
