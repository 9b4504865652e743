package e2e_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// injectUnderLoad does what happens while bookings are in flight, and holds that they
// are still answered afterwards.
func injectUnderLoad(t *testing.T, d *deployment, seed uint64, inject func()) {
	t.Helper()

	stopWatching := d.watchVersions()
	done := make(chan struct{})

	go func() {
		defer close(done)
		time.Sleep(300 * time.Millisecond)
		inject()
	}()

	r := d.runLoad(100, time.Second, seed)

	<-done
	require.Positive(t, r.Count("Answered"))
	d.awaitAnswers()
	stopWatching()
}

// A buyer books while something on the way fails. The booking must not be lost
// or doubled, a refusal that says NotRun must be true, and no process may fall
// back to an older configuration; then bookings are answered as before. The
// faults follow each other in one deployment, as they do in a bad week.
func TestBookingsUnderFaults(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name    string
		happens func(d *deployment)
	}{
		{"connections to an agent go silent for good", func(d *deployment) { d.getProcess(&d.agents[0]).listener.dropCurrent(true, true) }},
		{"answers of an agent are lost for good", func(d *deployment) { d.getProcess(&d.agents[0]).listener.dropCurrent(false, true) }},
		{"an agent restarts", func(d *deployment) { d.restartAgent(1) }},
		{"an entry restarts", func(d *deployment) { d.restartEntry(2) }},
		{"the leader is isolated and comes back", func(d *deployment) {
			l := d.controlListeners[d.leader()]
			l.isolate(true, true)
			time.Sleep(time.Second)
			l.isolate(false, false)
		}},
		{"the leader hears nothing, and an agent restarts", func(d *deployment) {
			l := d.controlListeners[d.leader()]
			l.isolate(true, false)
			d.restartAgent(0)
			time.Sleep(time.Second)
			l.isolate(false, false)
		}},
		{"the leader's answers are lost", func(d *deployment) {
			l := d.controlListeners[d.leader()]
			l.isolate(false, true)
			time.Sleep(time.Second)
			l.isolate(false, false)
		}},
	}

	d := newDeployment(t)

	for i, c := range cases {
		t.Log(c.name)
		injectUnderLoad(t, d, uint64(100+i), func() { c.happens(d) })
	}
}

// Two operators decide under the same number at two control VMs while the leader
// is cut off, and both resend because their answers were lost. One decision is
// made, and both always hear the same; the other is told who won. The zone that
// the decision takes out gets no work once Status says that it is in force.
func TestOneOfTwoConcurrentDecisionsUnderOneNumberWins(t *testing.T) {
	t.Parallel()

	d := newDeployment(t)
	defer d.watchVersions()()

	leader := d.leader()
	one, two := d.controls[(leader+1)%3], d.controls[(leader+2)%3]
	plans := []string{d.plan(one, "[Zone \"a\"]\nOut = true\n"), d.plan(two, "[Zone \"b\"]\nOut = true\n")}
	d.controlListeners[leader].isolate(true, true)

	answers := make(chan *wire.DecisionAnswer, 2)

	go func() { answers <- d.confirm(one, "o", 2, plans[0]) }()
	go func() { answers <- d.confirm(two, "p", 2, plans[1]) }()

	first, second := <-answers, <-answers
	states := []wire.DecisionState{first.GetState(), second.GetState()}
	require.ElementsMatch(t, []wire.DecisionState{wire.DecisionState_DecisionMade, wire.DecisionState_DecisionConflict}, states)

	d.controlListeners[leader].isolate(false, false)

	winner, out := 0, 0
	for i, c := range []string{"o", "p"} {
		again := d.confirm(d.controls[leader], c, 2, plans[i])
		if again.GetState() == wire.DecisionState_DecisionMade {
			winner, out = winner+1, i

			require.True(t, again.GetRepeated())
		}
	}

	require.Equal(t, 1, winner)
	require.Eventually(t, func() bool { return d.inForce(one, 2) }, waitTimeout, 20*time.Millisecond)

	before := len(d.bookings[out].Runs())
	require.Positive(t, d.runLoad(100, time.Second, 21).Count("Answered"))
	require.Len(t, d.bookings[out].Runs(), before, "the zone that is out gets no work")
}
