package e2e_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// injectUnderLoad injects a fault while bookings are in flight. It checks that some of
// them are answered, and that bookings are answered again afterwards.
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

// Connections or processes fail while bookings are in flight. No booking may be lost or
// run twice, no booking that was refused as NotRun may have run, and no process may
// return to an older configuration. Afterwards bookings must be answered again. The
// faults are injected one after the other in one deployment.
func TestBookingsUnderFaults(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name   string
		inject func(d *deployment)
	}{
		{"connections to an agent are black-holed", func(d *deployment) { d.getProcess(&d.agents[0]).listener.dropCurrent(true, true) }},
		{"answers of an agent are black-holed", func(d *deployment) { d.getProcess(&d.agents[0]).listener.dropCurrent(false, true) }},
		{"an agent restarts", func(d *deployment) { d.restartAgent(1) }},
		{"an entry restarts", func(d *deployment) { d.restartEntry(2) }},
		{"the leader is isolated and reconnects", func(d *deployment) {
			l := d.controlListeners[d.leader()]
			l.isolate(true, true)
			time.Sleep(time.Second)
			l.isolate(false, false)
		}},
		{"the leader receives nothing, and an agent restarts", func(d *deployment) {
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
		injectUnderLoad(t, d, uint64(100+i), func() { c.inject(d) })
	}
}

// Two operators send different decisions with the same number to two control VMs while
// the leader is isolated, and resend them. Exactly one decision must be made, the other
// operator must receive a conflict, and repeated confirmations must receive the same
// outcome. Once Status reports the decision in force, the zone that it takes out must
// receive no requests.
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

	winners, winning := 0, 0
	for i, operator := range []string{"o", "p"} {
		answer := d.confirm(d.controls[leader], operator, 2, plans[i])
		if answer.GetState() == wire.DecisionState_DecisionMade {
			winners, winning = winners+1, i

			require.True(t, answer.GetRepeated())
		}
	}

	require.Equal(t, 1, winners)
	require.Eventually(t, func() bool { return d.inForce(one, 2) }, waitTimeout, 20*time.Millisecond)

	before := len(d.bookings[winning].Runs())
	require.Positive(t, d.runLoad(100, time.Second, 21).Count("Answered"))
	require.Len(t, d.bookings[winning].Runs(), before, "the zone that is out received requests")
}
