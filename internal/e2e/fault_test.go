package e2e_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/parsleygate/parsleygate/internal/wire"
)

// underLoad does what happens while bookings are in flight, and holds that they
// are still answered afterwards.
func underLoad(t *testing.T, b *bed, seed uint64, happens func()) {
	t.Helper()

	unwatch := b.watchVersions()
	done := make(chan struct{})

	go func() {
		defer close(done)
		time.Sleep(300 * time.Millisecond)
		happens()
	}()

	r := b.load(100, time.Second, seed)

	<-done
	require.Positive(t, r.Count("Answered"))
	b.awaitAnswers()
	unwatch()
}

// A buyer books while something on the way fails. The booking must not be lost
// or doubled, a refusal that says NotRun must be true, and no process may fall
// back to an older configuration; then bookings are answered as before. The
// faults follow each other in one deployment, as they do in a bad week.
func TestBookingsUnderFaults(t *testing.T) {
	t.Parallel()

	cases := []struct {
		name    string
		happens func(b *bed)
	}{
		{"connections to an agent go silent for good", func(b *bed) { b.get(&b.agents[0]).line.silence(true, true) }},
		{"answers of an agent are lost for good", func(b *bed) { b.get(&b.agents[0]).line.silence(false, true) }},
		{"an agent restarts", func(b *bed) { b.restartAgent(1) }},
		{"an entry restarts", func(b *bed) { b.restartEntry(2) }},
		{"the leader is isolated and comes back", func(b *bed) {
			l := b.lines[b.leader()]
			l.isolate(true, true)
			time.Sleep(time.Second)
			l.isolate(false, false)
		}},
		{"the leader hears nothing, and an agent restarts", func(b *bed) {
			l := b.lines[b.leader()]
			l.isolate(true, false)
			b.restartAgent(0)
			time.Sleep(time.Second)
			l.isolate(false, false)
		}},
		{"the leader's answers are lost", func(b *bed) {
			l := b.lines[b.leader()]
			l.isolate(false, true)
			time.Sleep(time.Second)
			l.isolate(false, false)
		}},
	}

	b := newBed(t)

	for i, c := range cases {
		t.Log(c.name)
		underLoad(t, b, uint64(100+i), func() { c.happens(b) })
	}
}

// Two operators decide under the same number at two control VMs while the leader
// is cut off, and both resend because their answers were lost. One decision is
// made, and both always hear the same; the other is told who won. The zone that
// the decision takes out gets no work once Status says that it is in force.
func TestRacingOperators(t *testing.T) {
	t.Parallel()

	b := newBed(t)
	defer b.watchVersions()()

	leader := b.leader()
	one, two := b.controls[(leader+1)%3], b.controls[(leader+2)%3]
	plans := []string{b.plan(one, "[Zone \"a\"]\nOut = true\n"), b.plan(two, "[Zone \"b\"]\nOut = true\n")}
	b.lines[leader].isolate(true, true)

	answers := make(chan *wire.DecisionAnswer, 2)

	go func() { answers <- b.confirm(one, "o", 2, plans[0]) }()
	go func() { answers <- b.confirm(two, "p", 2, plans[1]) }()

	first, second := <-answers, <-answers
	states := []wire.DecisionState{first.GetState(), second.GetState()}
	require.ElementsMatch(t, []wire.DecisionState{wire.DecisionState_DecisionMade, wire.DecisionState_DecisionConflict}, states)

	b.lines[leader].isolate(false, false)

	winner, out := 0, 0
	for i, c := range []string{"o", "p"} {
		again := b.confirm(b.controls[leader], c, 2, plans[i])
		if again.GetState() == wire.DecisionState_DecisionMade {
			winner, out = winner+1, i

			require.True(t, again.GetRepeated())
		}
	}

	require.Equal(t, 1, winner)
	require.Eventually(t, func() bool { return b.inForce(one, 2) }, patient, 20*time.Millisecond)

	before := len(b.desks[out].Runs())
	require.Positive(t, b.load(100, time.Second, 21).Count("Answered"))
	require.Len(t, b.desks[out].Runs(), before, "the zone that is out gets no work")
}
